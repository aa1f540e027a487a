package steer

import (
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/peer"
)

// RecentPlacements records to which upstreams prompt segments were sent recently, by this instance
// and, as far as reported, by others. It is safe for concurrent use; its size is bounded.
type RecentPlacements struct {
	mu      sync.Mutex
	holders map[string]map[string]time.Time
	// published holds this instance's own placements of large segments, oldest first.
	published []publishedPlacement
}

type publishedPlacement struct {
	peer.Placement
	at time.Time
}

// Bounds of what is recorded.
const (
	// maxSegments bounds the segments that are recorded; each costs about 200 bytes.
	maxSegments = 8192
	// cacheRetention is how long an upstream is assumed to cache a segment since its last
	// use.
	cacheRetention = 20 * time.Second
	// minPublishedTokens is the least size in tokens of a segment to publish a placement
	// of: an engine reads a smaller one before the report arrives.
	minPublishedTokens = 1000
	// publishFor is how long a placement is published: a few gossip rounds, so that a lost
	// one does no harm.
	publishFor = 2 * time.Second
	// maxPublished bounds the placements that are published at once.
	maxPublished = 64
)

// NewRecentPlacements returns an empty RecentPlacements.
func NewRecentPlacements() *RecentPlacements {
	return &RecentPlacements{holders: make(map[string]map[string]time.Time)}
}

// Caches reports whether the upstream is assumed to cache the segment.
func (r *RecentPlacements) Caches(segment, upstream string, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok := r.holders[segment][upstream]
	return ok && now.Sub(at) < cacheRetention
}

// Holders returns the upstreams that are assumed to cache the segment, and the regions to
// which this instance has forwarded it.
func (r *RecentPlacements) Holders(segment string, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for name, at := range r.holders[segment] {
		if now.Sub(at) < cacheRetention {
			names = append(names, name)
		}
	}
	return names
}

// Add records that this instance has sent the segments to the upstream.
func (r *RecentPlacements) Add(segments []Segment, upstream string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, segment := range segments {
		if segment.Tokens < minSharedTokens {
			continue
		}
		r.record(segment.ID, upstream, now)
		// The last segment belongs to this request alone: no other request uses it.
		if segment.Tokens >= minPublishedTokens && i < len(segments)-1 {
			r.published = append(r.published, publishedPlacement{peer.Placement{Part: segment.ID, Upstream: upstream}, now})
		}
	}
}

// Sent records that this instance has forwarded the segments to another region; the
// instances there publish the upstream.
func (r *RecentPlacements) Sent(segments []Segment, region string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, segment := range segments {
		if segment.Tokens >= minPublishedTokens {
			r.record(segment.ID, region, now)
		}
	}
}

// Learn records a placement by another instance.
func (r *RecentPlacements) Learn(placement peer.Placement, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.holders[placement.Part][placement.Upstream]) {
		r.record(placement.Part, placement.Upstream, at)
	}
}

// ToPublish returns this instance's own placements that are to be published to others.
func (r *RecentPlacements) ToPublish(now time.Time) []peer.Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := 0
	for old < len(r.published) && (now.Sub(r.published[old].at) > publishFor || len(r.published)-old > maxPublished) {
		old++
	}
	r.published = append(r.published[:0], r.published[old:]...)
	placements := make([]peer.Placement, len(r.published))
	for i := range r.published {
		placements[i] = r.published[i].Placement
	}
	return placements
}

// record records a placement. The caller holds r.mu.
func (r *RecentPlacements) record(segment, upstream string, at time.Time) {
	held := r.holders[segment]
	if held == nil {
		r.shrink(at)
		held = make(map[string]time.Time, 1)
		r.holders[segment] = held
	}
	held[upstream] = at
}

// shrink makes space for one more segment.
func (r *RecentPlacements) shrink(now time.Time) {
	if len(r.holders) < maxSegments {
		return
	}
	for segment, at := range r.holders {
		for upstream, used := range at {
			if now.Sub(used) >= cacheRetention {
				delete(at, upstream)
			}
		}
		if len(at) == 0 {
			delete(r.holders, segment)
		}
	}
	for segment := range r.holders {
		if len(r.holders) < maxSegments {
			return
		}
		delete(r.holders, segment)
	}
}
