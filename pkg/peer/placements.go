package peer

import "time"

// placementLog holds recent placements so that each is sent once to each asker. A lost reply
// loses its placements, which is acceptable because they only help to find cached prefixes. The
// Gossip's lock guards it.
type placementLog struct {
	// log is in the order of arrival; known holds its placements.
	log   []loggedPlacement
	known map[Placement]bool
	// last is the number of the newest entry of the log.
	last uint64
	// delivered holds, by instance, the number up to which placements were sent and the time of
	// the last request.
	delivered map[string]*received[uint64]
}

type loggedPlacement struct {
	Placement
	number uint64
	at     time.Time
	// own is true if an instance of the own domain made the placement.
	own bool
}

// placementTTL is the time for which a placement is retained and duplicates are ignored.
// Instances report a placement for as long.
const placementTTL = 2500 * time.Millisecond

func newPlacementLog() *placementLog {
	return &placementLog{known: make(map[Placement]bool), delivered: make(map[string]*received[uint64])}
}

// add records placements that an instance of the own domain, or of another, made.
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

// expire drops old placements.
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

// since returns the placements that arrived since the instance last asked. An instance of
// another domain receives only the own domain's, because it asks the other domains itself.
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
