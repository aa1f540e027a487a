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
	crashProbeDelay = 5 * time.Millisecond
	// inquiryKept is for how long an upstream that has not ended is not tried again: servers
	// that break off a part of their answers would be asked all the time.
	crashProbeInterval = 100 * time.Millisecond
	// endRemembered is for how long it is remembered that an upstream has ended: all that was
	// in work there has broken off by then.
	crashRetention = time.Minute
	// mostSuspects bounds the requests that one end makes suspect here: more were not at work
	// at one upstream for one instance.
	maxSuspects = 256
)

// inquiries finds out which upstreams have ended. It is safe for concurrent use.
type crashProbes struct {
	mu   sync.Mutex
	byID map[string]*crashProbe
}

// inquiry is about one upstream of which answers broke off.
type crashProbe struct {
	// suspects are the requests whose answers broke off.
	suspects []quarantine.Fingerprint
	// answered is closed once it is known whether the upstream has ended.
	finished   chan struct{}
	crashed    bool
	finishedAt time.Time
}

func newCrashProbes() *crashProbes { return &crashProbes{byID: make(map[string]*crashProbe)} }

// open returns the inquiry about an upstream; fresh says that it has just begun, and whoever
// is told so must call answer.
func (q *crashProbes) join(id string, suspect quarantine.Fingerprint, now time.Time) (probe *crashProbe, fresh bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	probe = q.byID[id]
	if probe == nil || (!probe.finishedAt.IsZero() && !probe.crashed && now.Sub(probe.finishedAt) > crashProbeInterval) {
		probe, fresh = &crashProbe{finished: make(chan struct{})}, true
		q.byID[id] = probe
	}
	if probe.finishedAt.IsZero() && len(probe.suspects) < maxSuspects {
		probe.suspects = append(probe.suspects, suspect)
	}
	return probe, fresh
}

// answer ends an inquiry and returns its suspects.
func (q *crashProbes) finish(probe *crashProbe, crashed bool, now time.Time) []quarantine.Fingerprint {
	q.mu.Lock()
	defer q.mu.Unlock()
	probe.crashed, probe.finishedAt = crashed, now
	close(probe.finished)
	return probe.suspects
}

// sweep drops the inquiries that are long answered.
func (q *crashProbes) sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.byID, func(_ string, probe *crashProbe) bool {
		return !probe.finishedAt.IsZero() && now.Sub(probe.finishedAt) > crashRetention
	})
}

// brokeOff notes that an attempt at an upstream ended without its answer. If the upstream has
// ended, the request is one of those that may be the cause. One that is suspected already
// waits until that is known: it must not go on to the next upstream before.
func (j *job) handleBrokenAnswer(ctx context.Context, upstream *fleet.Upstream) {
	request := j.fingerprint()
	probe, fresh := j.crashProbes.join(upstream.ID, request, j.now())
	if fresh {
		go j.probeCrash(upstream, probe)
	}
	if j.quarantine.Suspect(request) {
		select {
		case <-probe.finished:
		case <-ctx.Done():
		}
	}
	if probe.foundCrash() {
		j.recordObservation(quarantine.Observation{Request: request, Ended: quarantine.UpstreamOf(upstream.ID)})
	}
}

// knownToHaveEnded says whether the inquiry has found that its upstream has ended.
func (i *crashProbe) foundCrash() bool {
	select {
	case <-i.finished:
		return i.crashed
	default:
		return false
	}
}

// inquire finds out whether an upstream has ended, and notes its suspects if so.
func (e *Edge) probeCrash(upstream *fleet.Upstream, probe *crashProbe) {
	crashed := e.hasCrashed(upstream)
	suspects := e.crashProbes.finish(probe, crashed, e.now())
	if !crashed {
		return
	}
	e.counts.series.Counter("upstreams.ended").Inc(1)
	e.log.Warn().Str(event.KeyUpstream, upstream.ID).Int(event.KeyActive, len(suspects)).Msg(string(event.UpstreamEnded))
	for _, request := range suspects {
		e.recordObservation(quarantine.Observation{Request: request, Ended: quarantine.UpstreamOf(upstream.ID)})
	}
}

// hasEnded says whether nobody listens at an upstream's address. One that does not answer at
// all may be cut off, and tells nothing.
func (e *Edge) hasCrashed(upstream *fleet.Upstream) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeDelay+upstreamDial)
	defer cancel()
	timer := time.NewTimer(crashProbeDelay)
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
