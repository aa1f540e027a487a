package limit

import (
	"sync"
	"time"
)

// ColdShares bounds the requests that a cold upstream gets in any one second from all
// instances together. It is safe for concurrent use.
type ColdShares struct {
	now    func() time.Time
	mu     sync.Mutex
	byName map[string]*sends
}

// ColdWindow is the time over which requests to cold upstreams are counted: a second, plus
// the variation of network delays.
const ColdWindow = 1100 * time.Millisecond

// MaxTransit is the time for which a request may be on its way to an upstream of the own region. One written that
// long before a query may arrive after it.
const MaxTransit = 20 * time.Millisecond

// maxColdUpstreams is the number of upstreams with counts at which old counts are dropped.
const maxColdUpstreams = 256

// sends counts the requests to one upstream.
type sends struct {
	// at holds the times at which requests were written within ColdWindow, in ascending order.
	at []time.Time
	// unwritten counts those that are about to be written.
	unwritten int
}

// since returns the number of requests that arrive after a time, as far as is known when they were written, or are
// about to be written. It forgets those before the window.
func (s *sends) since(after, now time.Time) int {
	old := 0
	for old < len(s.at) && now.Sub(s.at[old]) > ColdWindow {
		old++
	}
	s.at = append(s.at[:0], s.at[old:]...)
	count := len(s.at)
	for count > 0 && s.at[len(s.at)-count].Before(after.Add(-MaxTransit)) {
		count--
	}
	return s.unwritten + count
}

// ColdSend is a request that was counted and is about to be written. It counts as sent now until it is
// written: making a connection may take longer than the margin of ColdWindow.
type ColdSend struct {
	shares   *ColdShares
	upstream string
	written  bool
}

// Written records that the request is being written now. It may be called again when it is written on
// another connection.
func (c *ColdSend) Written() {
	c.shares.mu.Lock()
	defer c.shares.mu.Unlock()
	counts := c.shares.counts(c.upstream)
	if !c.written {
		c.written = true
		counts.unwritten--
	}
	counts.at = append(counts.at, c.shares.now())
}

// Done ends the request. One that was not written is given back.
func (c *ColdSend) Done() {
	c.shares.mu.Lock()
	defer c.shares.mu.Unlock()
	if !c.written {
		c.written = true
		c.shares.counts(c.upstream).unwritten--
	}
}

// NewColdShares returns ColdShares that have counted nothing.
func NewColdShares(now func() time.Time) *ColdShares {
	return &ColdShares{now: now, byName: make(map[string]*sends)}
}

// ColdShare returns how many requests each of the instances may send in a second, where all of them
// together may send perSecond.
func ColdShare(perSecond float64, instances int) int {
	return int(perSecond / float64(max(1, instances)))
}

// Take counts a request that is about to be sent to the upstream, unless most have been sent within
// ColdWindow that may arrive after a time: then it returns nil. The caller ends what it gets with Done.
func (s *ColdShares) Take(upstream string, most int, after time.Time) *ColdSend {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := s.counts(upstream)
	if counts.since(after, s.now()) >= most {
		return nil
	}
	counts.unwritten++
	return &ColdSend{shares: s, upstream: upstream}
}

// Sent returns the number of requests sent to the upstream within ColdWindow.
func (s *ColdShares) Sent(upstream string) int { return s.SentSince(upstream, time.Time{}) }

// SentSince returns the number of requests sent to the upstream within ColdWindow that may arrive after a time.
func (s *ColdShares) SentSince(upstream string, after time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if counts := s.byName[upstream]; counts != nil {
		return counts.since(after, s.now())
	}
	return 0
}

// FreedAt returns the earliest time after which an upstream must be known to be warm so that fewer than most requests,
// which is positive, count since then. It is in the future for requests that may still be on their way, and MaxTransit
// from now if those about to be written are as many.
func (s *ColdShares) FreedAt(upstream string, most int, after time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	counts := s.byName[upstream]
	if counts == nil {
		return after
	}
	excess := counts.since(after, now) - most
	switch {
	case excess < 0:
		return after
	case counts.unwritten >= most:
		return now.Add(MaxTransit)
	}
	// since has counted the last ones, of which the first excess+1 have to arrive before.
	first := len(counts.at) - (most + excess - counts.unwritten)
	return counts.at[first+excess].Add(MaxTransit + time.Nanosecond)
}

// counts returns the counts of an upstream. The caller holds s.mu.
func (s *ColdShares) counts(upstream string) *sends {
	counts := s.byName[upstream]
	if counts == nil {
		s.shrink()
		counts = &sends{}
		s.byName[upstream] = counts
	}
	return counts
}

func (s *ColdShares) shrink() {
	if len(s.byName) < maxColdUpstreams {
		return
	}
	now := s.now()
	for name, counts := range s.byName {
		if counts.since(time.Time{}, now) == 0 {
			delete(s.byName, name)
		}
	}
}
