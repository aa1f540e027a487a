package edge

import (
	"fmt"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/httproute"
)

// Bounds of what a request that ends its upstreams may do: it may end three, and once
// instances have been in touch for reachTime after the third end, be sent to three more.
const (
	endsBorne = 3
	reachTime = 5 * time.Second
)

// question is a stream that may not be resumed.
var question = httproute.Route{Kind: httproute.Streaming, Timeout: 4 * time.Second, TargetLatency: time.Second, MaxAttempts: 1}

// sendsAfterBorne counts how often a body was sent later than the instances had to know it.
func (w *world) sendsAfterBorne(body string) int {
	w.mu.Lock()
	borne := len(w.ends) >= endsBorne
	w.mu.Unlock()
	if !borne {
		return 0
	}
	return len(w.sent(body, w.ends[endsBorne-1].Add(reachTime)))
}

// TestARequestThatEndsItsUpstreamsIsNotSentAgain guards against a request that ends each
// engine that runs it, and comes again at any instance under a new ID: it went on to end all
// engines of the regions that may process it, one after the other.
func TestARequestThatEndsItsUpstreamsIsNotSentAgain(t *testing.T) {
	inWorld(t, 1, question, threeRegions, func(w *world) {
		n := 0
		w.every(50*time.Millisecond, 30*time.Second, func() {
			n++
			w.ask(fmt.Sprintf("innocent %d", n))
			if n%8 == 0 {
				w.ask(lethal)
			}
		})
		if sends := w.sendsAfterBorne(lethal); sends > endsBorne {
			t.Errorf("sent %d times later than %v after the third end; %d engines ended", sends, reachTime, len(w.ends))
		}
	})
}
