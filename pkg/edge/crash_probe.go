package edge

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// A broken answer is weak evidence: servers break single answers and go on. Whether the upstream
// has crashed is detected by connecting to it, since a process that has ended refuses
// connections. So does a partition that resets connections, but to all upstreams at once.

const (
	// crashProbeDelay passes before an upstream is probed. After a crash, all answers of the
	// upstream break and its listener closes within this time.
	crashProbeDelay = 5 * time.Millisecond
	// crashProbeInterval is the time for which an upstream that has not crashed is not probed
	// again: servers that break some of their answers would be probed all the time.
	crashProbeInterval = 100 * time.Millisecond
	// crashRetention is the time for which a crash is remembered. All requests that ran there
	// have failed by then.
	crashRetention = time.Minute
	// maxSuspects bounds the requests that one crash makes suspect here. No more run at one
	// upstream for one instance.
	maxSuspects = 256
	// maxSiblingProbes bounds the other upstreams that are probed after one refused a connection.
	maxSiblingProbes = 4
	// corroborationTime is the time after which the reports of other instances show whether they
	// still receive data from the region's upstreams.
	corroborationTime = 300 * time.Millisecond
)

// crashProbes detects crashed upstreams. It is safe for concurrent use.
type crashProbes struct {
	mu   sync.Mutex
	byID map[string]*crashProbe
}

// crashProbe is the probe of one upstream after broken answers.
type crashProbe struct {
	service string
	// crashedAt is the time at which it was found to have crashed, zero if it was not.
	crashedAt time.Time
	// suspects are the requests with broken answers.
	suspects []quarantine.Observation
	// finished is closed once it is known whether the upstream has crashed.
	finished   chan struct{}
	crashed    bool
	finishedAt time.Time
	// roomless is true if the upstream crashed because it had to reject too many requests, which is no
	// evidence against those that it ran.
	roomless bool
}

func newCrashProbes() *crashProbes { return &crashProbes{byID: make(map[string]*crashProbe)} }

// join adds a suspect to the probe of an upstream. fresh is true if the probe is new, in which
// case the caller must call finish.
func (q *crashProbes) join(upstream *fleet.Upstream, broken quarantine.Observation, now time.Time) (probe *crashProbe, fresh bool) {
	id := upstream.ID
	q.mu.Lock()
	defer q.mu.Unlock()
	probe = q.byID[id]
	if probe == nil || (!probe.finishedAt.IsZero() && !probe.crashed && now.Sub(probe.finishedAt) > crashProbeInterval) {
		probe, fresh = &crashProbe{service: upstream.Service, finished: make(chan struct{})}, true
		q.byID[id] = probe
	}
	if probe.finishedAt.IsZero() && len(probe.suspects) < maxSuspects {
		probe.suspects = append(probe.suspects, broken)
	}
	return probe, fresh
}

// recordCrash records that a probe's upstream has crashed.
func (q *crashProbes) recordCrash(probe *crashProbe, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	probe.crashedAt = now
}

// crashedTogether reports whether another upstream of the same service has crashed within a time of a
// probe's.
func (q *crashProbes) crashedTogether(probe *crashProbe, within time.Duration) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, other := range q.byID {
		if other != probe && other.service == probe.service && !other.crashedAt.IsZero() && other.crashedAt.Sub(probe.crashedAt).Abs() < within {
			return true
		}
	}
	return false
}

// finish ends a probe and returns its suspects.
func (q *crashProbes) finish(probe *crashProbe, crashed, roomless bool, now time.Time) []quarantine.Observation {
	q.mu.Lock()
	defer q.mu.Unlock()
	probe.crashed, probe.roomless, probe.finishedAt = crashed, roomless, now
	close(probe.finished)
	return probe.suspects
}

// sweep deletes probes that finished more than crashRetention ago.
func (q *crashProbes) sweep(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.byID, func(_ string, probe *crashProbe) bool {
		return !probe.finishedAt.IsZero() && now.Sub(probe.finishedAt) > crashRetention
	})
}

// handleBrokenAnswer handles an attempt at an upstream that ended without an answer. If the
// upstream has crashed, the request is a possible cause. A request that is already suspected, or
// that holds a suspected segment, waits for the probe's result before it may be sent to the next upstream.
func (j *job) handleBrokenAnswer(ctx context.Context, upstream *fleet.Upstream) {
	broken := j.suspicionOf()
	probe, fresh := j.crashProbes.join(upstream, broken, j.now())
	if fresh {
		go j.probeCrash(upstream, probe)
	}
	if j.quarantine.IsSuspect(broken.Request) || j.quarantine.SuspectsSegments(j.promptSegments()) {
		j.await(func() {
			select {
			case <-probe.finished:
			case <-ctx.Done():
			}
		})
	}
	if probe.foundCrash() {
		broken.Ended = quarantine.UpstreamOf(upstream.ID)
		j.recordObservation(broken)
	}
}

// foundCrash reports whether the probe has found that its upstream has crashed, for another reason than
// want of room.
func (i *crashProbe) foundCrash() bool {
	select {
	case <-i.finished:
		return i.crashed && !i.roomless
	default:
		return false
	}
}

// probeCrash detects whether an upstream has crashed, and records its suspects if so.
func (e *Edge) probeCrash(upstream *fleet.Upstream, probe *crashProbe) {
	full := e.isFull(upstream)
	crashed := e.hasCrashed(upstream)
	if crashed {
		e.crashProbes.recordCrash(probe, e.now())
	}
	roomless := crashed && e.crashedForRoom(upstream, probe, full)
	suspects := e.crashProbes.finish(probe, crashed, roomless, e.now())
	if !crashed {
		return
	}
	e.counts.series.Counter("upstreams.ended").Inc(1)
	if roomless {
		e.counts.series.Counter("upstreams.fallen").Inc(1)
		e.log.Warn().Str(event.KeyUpstream, upstream.ID).Int(event.KeyActive, len(suspects)).Msg(string(event.UpstreamFell))
		return
	}
	e.log.Warn().Str(event.KeyUpstream, upstream.ID).Int(event.KeyActive, len(suspects)).
		Str(event.KeySegments, describeSegments(suspects)).Msg(string(event.UpstreamEnded))
	for _, broken := range suspects {
		broken.Ended = quarantine.UpstreamOf(upstream.ID)
		e.recordObservation(broken)
	}
}

// hasCrashed reports whether connections to an upstream's address are refused, and not because this
// instance is partitioned. An upstream that does not answer at all may be partitioned, which is no
// evidence.
func (e *Edge) hasCrashed(upstream *fleet.Upstream) bool {
	ctx := context.Background()
	clock.Sleep(ctx, crashProbeDelay)
	if !errors.Is(e.connect(ctx, upstream), syscall.ECONNREFUSED) {
		return false
	}
	if e.reachesSibling(ctx, upstream) {
		return true
	}
	clock.Sleep(ctx, corroborationTime)
	return !e.othersReceiveData()
}

// fallTime is the time before its end within which the rejections of a brittle upstream may have caused
// it: they add up within a second, and are reported in tenths of one.
const fallTime = 2 * time.Second

// togetherTime is the time within which brittle upstreams that crash do so together.
const togetherTime = time.Second

// crashedForRoom reports whether an upstream that has crashed is brittle and had rejected requests, of any
// instance, or was full, or bears no rejection, since the one that crashed it reaches nobody, or crashed
// together with another one. Such a crash is no evidence against the requests that it ran.
func (e *Edge) crashedForRoom(upstream *fleet.Upstream, probe *crashProbe, full bool) bool {
	if !e.guards.Active(upstream.Service) {
		return false
	}
	said := e.upstreamLimits.Of(upstream.ID)
	if full || (said.Brittle && said.Tolerance == 0) {
		return true
	}
	clock.Sleep(context.Background(), corroborationTime)
	return e.upstreamLimits.RejectedWithin(upstream.ID, fallTime+corroborationTime) || e.crashProbes.crashedTogether(probe, togetherTime)
}

// isFull reports whether the requests of all instances take all slots of an upstream, as far as this one
// knows.
func (e *Edge) isFull(upstream *fleet.Upstream) bool {
	others := e.gossip.View().Load().Upstream(upstream.ID).InFlight
	return e.places.Occupied(upstream.ID)+others >= upstream.Slots
}

// connect opens a connection to an upstream and closes it.
func (e *Edge) connect(ctx context.Context, upstream *fleet.Upstream) error {
	ctx, cancel := context.WithTimeout(ctx, upstreamDial)
	defer cancel()
	conn, err := e.options.transport().Dial(ctx, "tcp", upstream.Address)
	if err == nil {
		// Nothing was sent on it.
		_ = conn.Close()
	}
	return err
}

// reachesSibling reports whether one of some other upstreams of the region accepts a connection.
func (e *Edge) reachesSibling(ctx context.Context, upstream *fleet.Upstream) bool {
	siblings := slices.DeleteFunc(e.regionalUpstreams(), func(id string) bool { return id == upstream.ID || e.paths.isLost(id) })
	rand.Shuffle(len(siblings), func(i, j int) { siblings[i], siblings[j] = siblings[j], siblings[i] })
	for _, id := range siblings[:min(len(siblings), maxSiblingProbes)] {
		if sibling := e.board.Fleet.Load().Find(id); sibling != nil && (e.upstreams.ShowsLife(id) || e.connectInPlace(ctx, sibling)) {
			return true
		}
	}
	return false
}

// connectInPlace reports whether an upstream accepts a connection, which may occupy a slot for a moment.
func (e *Edge) connectInPlace(ctx context.Context, upstream *fleet.Upstream) bool {
	place, ok := e.places.Enter(upstream.ID, e.part(upstream), 0)
	if !ok {
		return false
	}
	defer place.GivenUp()
	return e.connect(ctx, upstream) == nil
}

// othersReceiveData reports whether other instances receive data from upstreams of the own region.
func (e *Edge) othersReceiveData() bool {
	view := e.gossip.View().Load()
	return slices.ContainsFunc(e.regionalUpstreams(), func(id string) bool { return view.Upstream(id).Flowing > 0 })
}
