package peer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// Work at the upstreams of a region is told ten times a second, and an upstream's ID is
// longer than all that is said of it. Instances hold the same list of upstreams, from the
// platform's store, nearly all of the time: where the lists of both sides are the same, the
// IDs are left out.

// dictionary is the upstreams of a region in the order in which work there is told.
type dictionary struct {
	view *fleet.View
	ids  []string
	// places holds each one's index.
	indexes map[string]int
	// fingerprint is the same for the same IDs; zero: there is none.
	fingerprint uint64
}

func newDictionary(view *fleet.View, region string) *dictionary {
	d := &dictionary{view: view, indexes: make(map[string]int)}
	if view == nil {
		return d
	}
	sum := xxhash.New()
	for i := range view.Upstreams {
		upstream := &view.Upstreams[i]
		if upstream.Region != region {
			continue
		}
		d.indexes[upstream.ID] = len(d.ids)
		d.ids = append(d.ids, upstream.ID)
		// A Digest of package xxhash takes all that is written.
		_, _ = sum.WriteString(upstream.ID)
		_, _ = sum.Write([]byte{0})
	}
	if len(d.ids) > 0 {
		d.fingerprint = sum.Sum64()
	}
	return d
}

// dictionary returns that of the own region as the fleet is known now.
func (g *Gossip) dictionary() *dictionary {
	view := g.options.Fleet.Load()
	if d := g.newestDictionary.Load(); d != nil && d.view == view {
		return d
	}
	d := newDictionary(view, g.options.Self.Region)
	g.newestDictionary.Store(d)
	return d
}

// Columns is work at the upstreams of a dictionary, without their IDs. One of its columns is
// empty when all upstreams have none of that.
type Columns struct {
	// Dictionary is the fingerprint of the IDs; zero: there is no work told in columns.
	Dictionary                         uint64
	InFlight, Prefill, Flowing, Silent []int
}

// columns puts what can be told without IDs into columns, and returns the rest, which is
// work at upstreams that the dictionary does not hold.
func (d *dictionary) columns(loads []Load) (Columns, []Load) {
	c := Columns{Dictionary: d.fingerprint}
	var rest []Load
	for _, load := range loads {
		place, ok := d.indexes[load.Name]
		if !ok {
			rest = append(rest, load)
			continue
		}
		d.set(&c.InFlight, place, load.InFlight)
		d.set(&c.Prefill, place, load.Prefill)
		d.set(&c.Flowing, place, load.Flowing)
		d.set(&c.Silent, place, load.Silent)
	}
	return c, rest
}

func (d *dictionary) set(column *[]int, place, value int) {
	if value == 0 {
		return
	}
	if *column == nil {
		*column = make([]int, len(d.ids))
	}
	(*column)[place] = value
}

// DictionaryError: columns that do not fit the dictionary that was asked for.
type DictionaryError struct {
	// Told and Asked are fingerprints.
	Received, Expected uint64
	// Length is that of a column that is neither empty nor one of Upstreams values.
	Length, Upstreams int
}

// Error implements error.
func (e *DictionaryError) Error() string {
	return fmt.Sprintf("told of dictionary %x with a column of %d, asked for %x of %d upstreams", e.Received, e.Length, e.Expected, e.Upstreams)
}

// loads is what columns say. The error is a *DictionaryError.
func (d *dictionary) loads(c *Columns) ([]Load, error) {
	if c.Dictionary == 0 {
		return nil, nil
	}
	for _, column := range [...][]int{c.InFlight, c.Prefill, c.Flowing, c.Silent} {
		if c.Dictionary != d.fingerprint || (len(column) != 0 && len(column) != len(d.ids)) {
			return nil, &DictionaryError{Received: c.Dictionary, Expected: d.fingerprint, Length: len(column), Upstreams: len(d.ids)}
		}
	}
	loads := make([]Load, 0, len(d.ids))
	for place, id := range d.ids {
		load := Load{
			InFlight: valueAt(c.InFlight, place), Prefill: valueAt(c.Prefill, place),
			Flowing: valueAt(c.Flowing, place), Silent: valueAt(c.Silent, place),
		}
		if load == (Load{}) {
			continue
		}
		load.Name = id
		loads = append(loads, load)
	}
	return loads, nil
}

// at is a value of a column that may be empty.
func valueAt(column []int, place int) int {
	if len(column) == 0 {
		return 0
	}
	return column[place]
}
