// Package journal records what stand-in upstreams processed, so that a test can
// compare it with the responses that callers received.
package journal

import (
	"sync"
	"time"
)

// maxEntries bounds the retained entries; counts include the dropped ones.
const maxEntries = 200_000

// Results of an entry.
const (
	ResultRunning   = "running"
	ResultFinished  = "finished"
	ResultCancelled = "cancelled"
	ResultBroken    = "broken"
	ResultTruncated = "truncated"
	ResultRefused   = "refused"
)

// Kinds of entry.
const (
	KindChat  = "chat"
	KindCall  = "call"
	KindOrder = "order"
)

// Entry is one request or order that an upstream processed.
type Entry struct {
	Upstream       string `json:"upstream"`
	Domain         string `json:"domain"`
	Kind           string `json:"kind"`
	RequestID      string `json:"request_id,omitempty"`
	Caller         string `json:"caller,omitempty"`
	Method         string `json:"method,omitempty"`
	Path           string `json:"path,omitempty"`
	IdempotencyKey string `json:"idempotency_key,omitempty"`
	// Offset is the index of the first chunk sent, Chunks the number sent.
	Offset int `json:"offset,omitempty"`
	Chunks int `json:"chunks,omitempty"`
	// Fence and Version are set for orders.
	Fence    int64     `json:"fence,omitempty"`
	Version  string    `json:"version,omitempty"`
	Started  time.Time `json:"started"`
	Finished time.Time `json:"finished"`
	Result   string    `json:"result"`
}

// Count is the number of requests of a caller that ran in a failure domain.
type Count struct {
	Domain string `json:"domain"`
	Caller string `json:"caller"`
	Count  int    `json:"count"`
}

// Journal is safe for concurrent use.
type Journal struct {
	mu          sync.Mutex
	firstNumber int
	entries     []Entry
	counts      map[countKey]int
}

type countKey struct{ domain, caller string }

// New returns an empty journal.
func New() *Journal { return &Journal{counts: make(map[countKey]int)} }

// Add records an entry and returns its number for Update.
func (j *Journal) Add(entry Entry) int {
	j.mu.Lock()
	defer j.mu.Unlock()
	if entry.Kind != KindOrder {
		j.counts[countKey{entry.Domain, entry.Caller}]++
	}
	if len(j.entries) == maxEntries {
		j.entries = append(j.entries[:0:0], j.entries[maxEntries/2:]...)
		j.firstNumber += maxEntries / 2
	}
	j.entries = append(j.entries, entry)
	return j.firstNumber + len(j.entries) - 1
}

// Update changes an entry, if it is still retained.
func (j *Journal) Update(number int, change func(*Entry)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if number >= j.firstNumber {
		change(&j.entries[number-j.firstNumber])
	}
}

// Entries returns the retained entries of an upstream in the order in which they
// started; an empty name means all upstreams.
func (j *Journal) Entries(upstream string) []Entry {
	j.mu.Lock()
	defer j.mu.Unlock()
	var found []Entry
	for _, entry := range j.entries {
		if upstream == "" || entry.Upstream == upstream {
			found = append(found, entry)
		}
	}
	return found
}

// Counts returns the number of requests by failure domain and caller.
func (j *Journal) Counts() []Count {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := make([]Count, 0, len(j.counts))
	for key, n := range j.counts {
		counts = append(counts, Count{Domain: key.domain, Caller: key.caller, Count: n})
	}
	return counts
}
