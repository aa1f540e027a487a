package peer

import "time"

// news holds placements for as long as those who ask may not have been told of them, so
// that each is told once. A reply that is lost loses them for who asked: they only help to
// find what is cached. The Gossip's lock guards it.
type placementLog struct {
	// log is in the order of arrival; known holds its placements.
	log   []loggedPlacement
	known map[Placement]bool
	// last numbers the newest of the log.
	last uint64
	// told is up to which number each instance was told, and when it last asked.
	delivered map[string]*received[uint64]
}

type loggedPlacement struct {
	Placement
	number uint64
	at     time.Time
	// own is true where an instance of the own domain made the placement.
	own bool
}

// newsFor is for how long a placement is kept, and for how long one that arrives again is
// no news: as long as its instance tells it.
const placementTTL = 2500 * time.Millisecond

func newPlacementLog() *placementLog {
	return &placementLog{known: make(map[Placement]bool), delivered: make(map[string]*received[uint64])}
}

// add takes placements that an instance of the own domain made, or of another.
func (n *placementLog) add(placements []Placement, own bool, now time.Time) {
	n.expire(now)
	for _, placement := range placements {
		if n.known[placement] {
			continue
		}
		n.known[placement] = true
		n.last++
		n.log = append(n.log, loggedPlacement{placement, n.last, now, own})
	}
}

// shrink forgets what is old.
func (n *placementLog) expire(now time.Time) {
	old := 0
	for old < len(n.log) && now.Sub(n.log[old].at) > placementTTL {
		delete(n.known, n.log[old].Placement)
		old++
	}
	n.log = append(n.log[:0], n.log[old:]...)
	for name, delivered := range n.delivered {
		if now.Sub(delivered.at) > forgetAfter {
			delete(n.delivered, name)
		}
	}
}

// since returns what arrived since the instance last asked. One of another domain is told
// of the own domain's placements alone: it asks the others itself.
func (n *placementLog) since(name string, ownOnly bool, now time.Time) []Placement {
	last := uint64(0)
	if delivered := n.delivered[name]; delivered != nil {
		last = delivered.value
	}
	n.delivered[name] = &received[uint64]{value: n.last, at: now}
	var placements []Placement
	for i := range n.log {
		if n.log[i].number > last && (n.log[i].own || !ownOnly) {
			placements = append(placements, n.log[i].Placement)
		}
	}
	return placements
}
