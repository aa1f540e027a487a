package agent

import (
	"maps"
	"slices"
	"strconv"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/control"
)

// maxNumberedNames bounds the numbered names that are kept of one peer.
const maxNumberedNames = 4096

// publishLoad makes the own gateway's load a fact. Upstreams go by number, as their
// names would be most of what a heartbeat carries; each name is a fact of its own
// and travels to each peer once.
func (m *mesh) publishLoad(load board.GatewayLoad) {
	counts := make([]control.LoadCount, 0, len(load.InFlight))
	for _, name := range slices.Sorted(maps.Keys(load.InFlight)) {
		counts = append(counts, control.LoadCount{Number: m.numberOf(name), InFlight: load.InFlight[name]})
	}
	load.InFlight = nil
	m.own.set(keyLoad, func(f *control.Facts) { f.Load, f.Counts = &load, counts })
}

// numberOf returns the number of a name, and tells the domain a new one. Numbers
// hold for this instance's epoch.
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

// decodeLoad takes a peer's load. Counts whose name has not come are left out.
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

// applyNames takes the names that a peer has numbered in its epoch.
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
