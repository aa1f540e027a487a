package ingress

import (
	"errors"
	"sync"
	"time"
)

// Errors of a request that gets no more memory. It has not been passed on to anything then.
var (
	// ErrMemory means that the clients of the process hold all the memory that they may have.
	ErrMemory = errors.New("clients hold all the memory that they may have")
	// ErrStalled means that the request stopped arriving while others needed its memory.
	ErrStalled = errors.New("the request stopped arriving while others needed its memory")
)

const (
	// smallRequest is the size in bytes up to which a request may use the reserve. A prompt of 17,000
	// tokens is smaller.
	smallRequest = 128 << 10
	// reservedPart is the divisor of the memory that gives the reserve for small requests, and headPart the one
	// that gives the memory of all heads.
	reservedPart = 4
	headPart     = 4
	// stallTime is the time without progress from which a request may lose its memory to others.
	stallTime = 100 * time.Millisecond
)

// Memory is what the clients of a process may hold together, in bytes. Only what has arrived counts. It is
// safe for concurrent use.
type Memory struct {
	mu sync.Mutex
	// limit is between usual and most, in bytes. heads is the part of used that heads hold.
	usual, most, limit, used, heads int64
	receipts                        map[*Receipt]struct{}
	now                             func() time.Time
}

// NewMemory returns a memory of a usual number of bytes, which Fit may raise up to most.
func NewMemory(usual, most int64, now func() time.Time) *Memory {
	return &Memory{usual: usual, most: max(usual, most), limit: usual, receipts: make(map[*Receipt]struct{}), now: now}
}

// Fit sets the limit so that one request of a size has room while no other request holds memory.
func (m *Memory) Fit(size int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	// While a buffer grows, half of it is held twice. It has a byte more than the limit of a body.
	peak := size + size/2 + 1
	m.limit = min(m.most, max(m.usual, peak*reservedPart/(reservedPart-1)+1))
}

// Used returns the bytes that are held, and the limit.
func (m *Memory) Used() (used, limit int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used, m.limit
}

// Receipt is the memory that one request holds of its head, or of its body, from its arrival until its end.
type Receipt struct {
	memory *Memory
	head   bool
	held   int64
	// progressAt is when it began, or last made progress.
	progressAt       time.Time
	complete, ceased bool
	// cease ends the reading of the request.
	cease func()
}

// Begin returns the receipt of a body that begins to arrive. cease is called, once at most, to end the reading of
// the request; it must not block.
func (m *Memory) Begin(cease func()) *Receipt { return m.begin(cease, false) }

// BeginHead is Begin for a head.
func (m *Memory) BeginHead(cease func()) *Receipt { return m.begin(cease, true) }

func (m *Memory) begin(cease func(), head bool) *Receipt {
	r := &Receipt{memory: m, head: head, cease: cease, progressAt: m.now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.receipts[r] = struct{}{}
	return r
}

// Admits reports whether a body of a size can get its memory, as far as is known before it arrives. Nothing
// is set aside for it.
func (m *Memory) Admits(size int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	needed := m.used + size - m.bound(size)
	if needed <= 0 {
		return true
	}
	now := m.now()
	for r := range m.receipts {
		if r.stalledFor(now) >= stallTime {
			needed -= r.held
		}
	}
	return needed <= 0
}

// fits reports whether n bytes more for a request are free.
func (m *Memory) fits(r *Receipt, n int64) bool {
	if r.head && m.heads+n > m.limit/headPart {
		return false
	}
	return m.used+n <= m.bound(r.held+n)
}

// take changes the bytes that a request holds.
func (m *Memory) take(r *Receipt, n int64) {
	m.used += n
	r.held += n
	if r.head {
		m.heads += n
	}
}

// bound returns the bytes of which a request of a size may take the rest.
func (m *Memory) bound(size int64) int64 {
	if size <= smallRequest {
		return m.limit
	}
	return m.limit - m.limit/reservedPart
}

// Grow takes n bytes more. If they are not free, requests that have stalled lose theirs. The error is ErrMemory or
// ErrStalled.
func (r *Receipt) Grow(n int64) error {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if r.ceased {
		return ErrStalled
	}
	r.progressAt = m.now()
	for !m.fits(r, n) {
		stalled := m.longestStalled(r.progressAt)
		if stalled == nil {
			return ErrMemory
		}
		stalled.free()
		stalled.ceased = true
		stalled.cease()
	}
	m.take(r, n)
	return nil
}

// longestStalled returns the request that has held the most bytes for the longest time without progress, nil if
// none has stalled.
func (m *Memory) longestStalled(now time.Time) *Receipt {
	var chosen *Receipt
	var most float64
	for r := range m.receipts {
		stalled := r.stalledFor(now)
		if held := stalled.Seconds() * float64(r.held); stalled >= stallTime && held > most {
			chosen, most = r, held
		}
	}
	return chosen
}

// stalledFor returns the time since the request made progress, zero if it has arrived.
func (r *Receipt) stalledFor(now time.Time) time.Duration {
	if r.complete || r.ceased {
		return 0
	}
	return now.Sub(r.progressAt)
}

// Progress records that a part of the request has arrived for which it needs no more memory.
func (r *Receipt) Progress() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.progressAt = r.memory.now()
}

// Shrink gives n bytes back.
func (r *Receipt) Shrink(n int64) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if !r.ceased {
		r.memory.take(r, -n)
	}
}

// Complete records that the request has arrived and keeps its memory until Release. It returns ErrStalled if
// the memory was lost.
func (r *Receipt) Complete() error {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if r.ceased {
		return ErrStalled
	}
	r.complete = true
	return nil
}

// Ceased reports whether the request lost its memory.
func (r *Receipt) Ceased() bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	return r.ceased
}

// Release gives all memory back. It may be called more than once.
func (r *Receipt) Release() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.free()
}

// free gives the memory back. The caller holds the memory's lock.
func (r *Receipt) free() {
	r.memory.take(r, -r.held)
	delete(r.memory.receipts, r)
}
