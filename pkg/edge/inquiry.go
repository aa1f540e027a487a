package edge

import (
	"context"
	"errors"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// An answer that breaks off says little: servers break off single answers and go on. Whether
// the upstream has ended is found out by connecting to it: a process that has ended refuses.

const (
	// inquirySettle passes before an upstream is tried: all that was in work there breaks off
	// within it, and its listener is gone.
	inquirySettle = 5 * time.Millisecond
	// inquiryKept is for how long an upstream that has not ended is not tried again: servers
	// that break off a part of their answers would be asked all the time.
	inquiryKept = 100 * time.Millisecond
	// endRemembered is for how long it is remembered that an upstream has ended: all that was
	// in work there has broken off by then.
	endRemembered = time.Minute
	// mostSuspects bounds the requests that one end makes suspect here: more were not at work
	// at one upstream for one instance.
	mostSuspects = 256
)

// inquiries finds out which upstreams have ended. It is safe for concurrent use.
type inquiries struct {
	mu   sync.Mutex
	byID map[string]*inquiry
}

// inquiry is about one upstream of which answers broke off.
type inquiry struct {
	// suspects are the requests whose answers broke off.
	suspects []quarantine.Fingerprint
	// answered is closed once it is known whether the upstream has ended.
	answered chan struct{}
	ended    bool
	at       time.Time
}

func newInquiries() *inquiries { return &inquiries{byID: make(map[string]*inquiry)} }

// open returns the inquiry about an upstream; fresh says that it has just begun, and whoever
// is told so must call answer.
func (q *inquiries) open(id string, suspect quarantine.Fingerprint, now time.Time) (about *inquiry, fresh bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	about = q.byID[id]
	if about == nil || (!about.at.IsZero() && !about.ended && now.Sub(about.at) > inquiryKept) {
		about, fresh = &inquiry{answered: make(chan struct{})}, true
		q.byID[id] = about
	}
	if about.at.IsZero() && len(about.suspects) < mostSuspects {
		about.suspects = append(about.suspects, suspect)
	}
	return about, fresh
}

// answer ends an inquiry and returns its suspects.
func (q *inquiries) answer(about *inquiry, ended bool, now time.Time) []quarantine.Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	about.ended, about.at = ended, now
	close(about.answered)
	return about.suspects
}

// sweep drops the inquiries that are long answered.
func (q *inquiries) sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.byID, func(_ string, about *inquiry) bool {
		return !about.at.IsZero() && now.Sub(about.at) > endRemembered
	})
}

// brokeOff notes that an attempt at an upstream ended without its answer. If the upstream has
// ended, the request is one of those that may be the cause. One that is suspected already
// waits until that is known: it must not go on to the next upstream before.
func (j *job) brokeOff(ctx context.Context, upstream *fleet.Upstream) {
	request := j.fingerprint()
	about, fresh := j.inquiries.open(upstream.ID, request, j.now())
	if fresh {
		go j.inquire(upstream, about)
	}
	if j.quarantine.Suspect(request) {
		select {
		case <-about.answered:
		case <-ctx.Done():
		}
	}
	if about.knownToHaveEnded() {
		j.observe(quarantine.Observation{Request: request, Ended: quarantine.UpstreamOf(upstream.ID)})
	}
}

// knownToHaveEnded says whether the inquiry has found that its upstream has ended.
func (i *inquiry) knownToHaveEnded() bool {
	select {
	case <-i.answered:
		return i.ended
	default:
		return false
	}
}

// inquire finds out whether an upstream has ended, and notes its suspects if so.
func (e *Edge) inquire(upstream *fleet.Upstream, about *inquiry) {
	ended := e.hasEnded(upstream)
	suspects := e.inquiries.answer(about, ended, e.now())
	if !ended {
		return
	}
	e.counts.series.Counter("upstreams.ended").Inc(1)
	e.log.Warn().Str(event.KeyUpstream, upstream.ID).Int(event.KeyActive, len(suspects)).Msg(string(event.UpstreamEnded))
	for _, request := range suspects {
		e.observe(quarantine.Observation{Request: request, Ended: quarantine.UpstreamOf(upstream.ID)})
	}
}

// hasEnded says whether nobody listens at an upstream's address. One that does not answer at
// all may be cut off, and tells nothing.
func (e *Edge) hasEnded(upstream *fleet.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), inquirySettle+upstreamDial)
	defer cancel()
	timer := time.NewTimer(inquirySettle)
	defer timer.Stop()
	<-timer.C
	conn, err := e.options.medium().Dial(ctx, "tcp", upstream.Address)
	if err == nil {
		// Nothing was sent on it.
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}
