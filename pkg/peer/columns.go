package peer

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// Loads at the upstreams of a region are reported ten times a second, and an upstream's ID takes
// more bytes than its load. Instances nearly always hold the same list of upstreams, from the
// platform's store. Where the lists of both sides match, the IDs are omitted.

// dictionary lists the upstreams of a region in the order of the columns.
type dictionary struct {
	view *fleet.View
	ids  []string
	// indexes maps an ID to its index in ids.
	indexes map[string]int
	// fingerprint is a hash of the IDs; zero if there are none.
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
		// Writes to an xxhash.Digest never fail.
		_, _ = sum.WriteString(upstream.ID)
		_, _ = sum.Write([]byte{0})
	}
	if len(d.ids) > 0 {
		d.fingerprint = sum.Sum64()
	}
	return d
}

// dictionary returns the dictionary of the own region for the current view of the fleet.
func (g *Gossip) dictionary() *dictionary {
	view := g.options.Fleet.Load()
	if d := g.newestDictionary.Load(); d != nil && d.view == view {
		return d
	}
	d := newDictionary(view, g.options.Self.Region)
	g.newestDictionary.Store(d)
	return d
}

// Columns holds the loads at the upstreams of a dictionary, without their IDs. A column is empty
// if all of its values are zero.
type Columns struct {
	// Dictionary is the fingerprint of the IDs; zero if no columns are sent.
	Dictionary                         uint64
	InFlight, Prefill, Flowing, Silent []int
}

// columns encodes the loads at upstreams of the dictionary as columns, and returns the other
// loads unchanged.
func (d *dictionary) columns(loads []Load) (Columns, []Load) {
	c := Columns{Dictionary: d.fingerprint}
	var rest []Load
	for _, load := range loads {
		index, ok := d.indexes[load.Name]
		if !ok {
			rest = append(rest, load)
			continue
		}
		d.set(&c.InFlight, index, load.InFlight)
		d.set(&c.Prefill, index, load.Prefill)
		d.set(&c.Flowing, index, load.Flowing)
		d.set(&c.Silent, index, load.Silent)
	}
	return c, rest
}

func (d *dictionary) set(column *[]int, index, value int) {
	if value == 0 {
		return
	}
	if *column == nil {
		*column = make([]int, len(d.ids))
	}
	(*column)[index] = value
}

// DictionaryError reports columns that do not match the dictionary of the request.
type DictionaryError struct {
	// Received and Expected are fingerprints.
	Received, Expected uint64
	// Length is the number of values in the column, Upstreams the number that it should have
	// unless it is empty.
	Length, Upstreams int
}

// Error implements error.
func (e *DictionaryError) Error() string {
	return fmt.Sprintf("reply uses dictionary %x with a column of %d values, expected dictionary %x of %d upstreams", e.Received, e.Length, e.Expected, e.Upstreams)
}

// loads decodes columns. The error is a *DictionaryError.
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
	for index, id := range d.ids {
		load := Load{
			InFlight: valueAt(c.InFlight, index), Prefill: valueAt(c.Prefill, index),
			Flowing: valueAt(c.Flowing, index), Silent: valueAt(c.Silent, index),
		}
		if load == (Load{}) {
			continue
		}
		load.Name = id
		loads = append(loads, load)
	}
	return loads, nil
}

// valueAt returns a value of a column that may be empty.
func valueAt(column []int, index int) int {
	if len(column) == 0 {
		return 0
	}
	return column[index]
}
