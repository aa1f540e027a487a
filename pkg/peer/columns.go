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

// lineup is the upstreams of a region in the order in which work there is told.
type lineup struct {
	view *fleet.View
	ids  []string
	// places holds each one's index.
	places map[string]int
	// fingerprint is the same for the same IDs; zero: there is none.
	fingerprint uint64
}

func newLineup(view *fleet.View, region string) *lineup {
	l := &lineup{view: view, places: make(map[string]int)}
	if view == nil {
		return l
	}
	sum := xxhash.New()
	for i := range view.Upstreams {
		upstream := &view.Upstreams[i]
		if upstream.Region != region {
			continue
		}
		l.places[upstream.ID] = len(l.ids)
		l.ids = append(l.ids, upstream.ID)
		// A Digest of package xxhash takes all that is written.
		_, _ = sum.WriteString(upstream.ID)
		_, _ = sum.Write([]byte{0})
	}
	if len(l.ids) > 0 {
		l.fingerprint = sum.Sum64()
	}
	return l
}

// lineup returns that of the own region as the fleet is known now.
func (g *Gossip) lineup() *lineup {
	view := g.options.Fleet.Load()
	if l := g.lined.Load(); l != nil && l.view == view {
		return l
	}
	l := newLineup(view, g.options.Self.Region)
	g.lined.Store(l)
	return l
}

// Columns is work at the upstreams of a lineup, without their IDs. One of its columns is
// empty when all upstreams have none of that.
type Columns struct {
	// Lineup is the fingerprint of the IDs; zero: there is no work told in columns.
	Lineup                             uint64
	InFlight, Prefill, Flowing, Silent []int
}

// columns puts what can be told without IDs into columns, and returns the rest, which is
// work at upstreams that the lineup does not hold.
func (l *lineup) columns(loads []Load) (Columns, []Load) {
	c := Columns{Lineup: l.fingerprint}
	var rest []Load
	for _, load := range loads {
		place, ok := l.places[load.Name]
		if !ok {
			rest = append(rest, load)
			continue
		}
		l.set(&c.InFlight, place, load.InFlight)
		l.set(&c.Prefill, place, load.Prefill)
		l.set(&c.Flowing, place, load.Flowing)
		l.set(&c.Silent, place, load.Silent)
	}
	return c, rest
}

func (l *lineup) set(column *[]int, place, value int) {
	if value == 0 {
		return
	}
	if *column == nil {
		*column = make([]int, len(l.ids))
	}
	(*column)[place] = value
}

// LineupError: columns that do not fit the lineup that was asked for.
type LineupError struct {
	// Told and Asked are fingerprints.
	Told, Asked uint64
	// Length is that of a column that is neither empty nor one of Upstreams values.
	Length, Upstreams int
}

// Error implements error.
func (e *LineupError) Error() string {
	return fmt.Sprintf("told of lineup %x with a column of %d, asked for %x of %d upstreams", e.Told, e.Length, e.Asked, e.Upstreams)
}

// loads is what columns say. The error is a *LineupError.
func (l *lineup) loads(c *Columns) ([]Load, error) {
	if c.Lineup == 0 {
		return nil, nil
	}
	for _, column := range [...][]int{c.InFlight, c.Prefill, c.Flowing, c.Silent} {
		if c.Lineup != l.fingerprint || (len(column) != 0 && len(column) != len(l.ids)) {
			return nil, &LineupError{Told: c.Lineup, Asked: l.fingerprint, Length: len(column), Upstreams: len(l.ids)}
		}
	}
	loads := make([]Load, 0, len(l.ids))
	for place, id := range l.ids {
		load := Load{
			InFlight: at(c.InFlight, place), Prefill: at(c.Prefill, place),
			Flowing: at(c.Flowing, place), Silent: at(c.Silent, place),
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
func at(column []int, place int) int {
	if len(column) == 0 {
		return 0
	}
	return column[place]
}
