package limit

import (
	"sync"
	"sync/atomic"
	"time"
)

// Named is what an upstream says of how much it takes.
type Named struct {
	// PerSecond is the requests a second from all instances together.
	PerSecond float64
	// Limited is false where the upstream says nothing of it, and takes what it can.
	Limited bool
}

// NamedLimits holds the limits that upstreams name in their answers. An upstream that is not
// in need names none. It is safe for concurrent use.
type NamedLimits struct {
	now func() time.Time
	// size is the number of entries, read without the lock.
	size atomic.Int64
	mu   sync.Mutex
	byID map[string]*namedLimit
}

type namedLimit struct {
	Named
	// heard is when the upstream last named a limit, or last answered without one.
	heard time.Time
}

// NewNamedLimits returns limits of which none is known.
func NewNamedLimits(now func() time.Time) *NamedLimits {
	return &NamedLimits{now: now, byID: make(map[string]*namedLimit)}
}

// Answered takes what an answer says of its upstream's limit, and whether that is news. One
// without a limit ends the limit that was known only if its request was sent after that was
// last named: answers may overtake each other.
func (n *NamedLimits) Answered(upstream string, said Named, sent time.Time) (changed bool) {
	if !said.Limited && n.size.Load() == 0 {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	known := n.byID[upstream]
	switch {
	case known == nil && !said.Limited:
		return false
	case known == nil:
		known = &namedLimit{}
		n.byID[upstream] = known
		n.size.Store(int64(len(n.byID)))
	case !said.Limited && sent.Before(known.heard):
		return false
	}
	changed = known.Named != said
	known.Named, known.heard = said, n.now()
	return changed
}

// Of returns the limit of an upstream.
func (n *NamedLimits) Of(upstream string) Named {
	if n.size.Load() == 0 {
		return Named{}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if known := n.byID[upstream]; known != nil {
		return known.Named
	}
	return Named{}
}

// Forget drops what is known of an upstream that is gone.
func (n *NamedLimits) Forget(upstream string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.byID, upstream)
	n.size.Store(int64(len(n.byID)))
}
