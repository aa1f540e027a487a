package agent

import (
	"maps"
	"slices"
	"strconv"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/control"
)

// maxNumberedNames bounds the numbered names that are kept for one peer.
const maxNumberedNames = 4096

// publishLoad publishes the own gateway's load. Upstreams are identified by number,
// as their names would be most of a heartbeat; each name is a fact of its own and
// is sent to each peer once.
func (m *mesh) publishLoad(load board.GatewayLoad) {
	counts := make([]control.LoadCount, 0, len(load.InFlight))
	for _, name := range slices.Sorted(maps.Keys(load.InFlight)) {
		counts = append(counts, control.LoadCount{Number: m.numberOf(name), InFlight: load.InFlight[name]})
	}
	load.InFlight = nil
	m.own.set(keyLoad, func(f *control.Facts) { f.Load, f.Counts = &load, counts })
}

// numberOf returns the number of a name, and assigns and publishes a new one if
// needed. Numbers are valid for this instance's epoch.
func (m *mesh) numberOf(name string) int {
	if number, ok := m.numbers[name]; ok {
		return number
	}
	number := len(m.numbers) + 1
	m.numbers[name] = number
	fact := control.NameFact{Number: number, Name: name}
	m.own.set("name/"+strconv.Itoa(number), func(f *control.Facts) { f.Names = append(f.Names, fact) })
	return number
}

// decodeLoad returns a peer's load. Counts with a number that has no name yet are
// left out.
func (l *link) decodeLoad(f *control.Facts) board.GatewayLoad {
	load := *f.Load
	if len(f.Counts) == 0 {
		return load
	}
	load.InFlight = make(map[string]int, len(f.Counts))
	for _, count := range f.Counts {
		if name, ok := l.names[count.Number]; ok {
			load.InFlight[name] = count.InFlight
		}
	}
	return load
}

// applyNames records the names that a peer has numbered in its epoch.
func (l *link) applyNames(names []control.NameFact) {
	if l.names == nil {
		l.names = make(map[int]string, len(names))
	}
	for _, fact := range names {
		if len(l.names) < maxNumberedNames {
			l.names[fact.Number] = fact.Name
		}
	}
}
