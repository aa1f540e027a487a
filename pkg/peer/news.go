package peer

import "time"

// news holds placements for as long as those who ask may not have been told of them, so
// that each is told once. A reply that is lost loses them for who asked: they only help to
// find what is cached. The Gossip's lock guards it.
type news struct {
	// log is in the order of arrival; known holds its placements.
	log   []arrived
	known map[Placement]bool
	// last numbers the newest of the log.
	last uint64
	// told is up to which number each instance was told, and when it last asked.
	told map[string]*heard[uint64]
}

type arrived struct {
	Placement
	number uint64
	at     time.Time
	// own is true where an instance of the own domain made the placement.
	own bool
}

// newsFor is for how long a placement is kept, and for how long one that arrives again is
// no news: as long as its instance tells it.
const newsFor = 2500 * time.Millisecond

func newNews() *news {
	return &news{known: make(map[Placement]bool), told: make(map[string]*heard[uint64])}
}

// add takes placements that an instance of the own domain made, or of another.
func (n *news) add(placements []Placement, own bool, now time.Time) {
	n.shrink(now)
	for _, placement := range placements {
		if n.known[placement] {
			continue
		}
		n.known[placement] = true
		n.last++
		n.log = append(n.log, arrived{placement, n.last, now, own})
	}
}

// shrink forgets what is old.
func (n *news) shrink(now time.Time) {
	old := 0
	for old < len(n.log) && now.Sub(n.log[old].at) > newsFor {
		delete(n.known, n.log[old].Placement)
		old++
	}
	n.log = append(n.log[:0], n.log[old:]...)
	for name, told := range n.told {
		if now.Sub(told.at) > forgetAfter {
			delete(n.told, name)
		}
	}
}

// since returns what arrived since the instance last asked. One of another domain is told
// of the own domain's placements alone: it asks the others itself.
func (n *news) since(name string, ownOnly bool, now time.Time) []Placement {
	last := uint64(0)
	if told := n.told[name]; told != nil {
		last = told.value
	}
	n.told[name] = &heard[uint64]{value: n.last, at: now}
	var placements []Placement
	for i := range n.log {
		if n.log[i].number > last && (n.log[i].own || !ownOnly) {
			placements = append(placements, n.log[i].Placement)
		}
	}
	return placements
}
