package edge

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/peer"
)

// An engine whose machine fails without a word closes no connection: keep-alive probes
// find that out after three seconds, in which the engine gets new requests and its streams
// stand still. But it serves many streams at once, of many instances, and one of them
// hears something every few steps. When nobody hears anything of any, the engine is dark:
// it gets nothing new, and what can go on elsewhere does. One stream that is silent among
// others that flow says nothing of its engine.

const (
	// silentGaps is how many of its service's usual gaps between parts of an answer make
	// a stream silent; leastSilence and mostSilence bound that time.
	stallGaps    = 5
	minStallTime = 250 * time.Millisecond
	maxStallTime = time.Second
	// usualGap is taken for the usual gap where none was measured.
	defaultGap = 100 * time.Millisecond
	// gapSmoothing is the weight of the newest gap.
	gapSmoothing = 0.02
	// leastWitnesses is how many silent streams make an engine dark: a single one may have
	// been preempted.
	minStalledStreams = 2
	// darkFor is how long an engine that is found dark gets nothing: then a request tries
	// it again.
	unresponsiveFor = 2 * time.Second
)

// errDark ends the attempts at an engine that is dark.
var errUnresponsive = errors.New("no stream of the engine is heard")

// pulses watches the streams of engines. It is safe for concurrent use.
type streamMonitor struct {
	mu sync.Mutex
	// byID holds the running streams of each upstream.
	running map[string]map[*monitoredStream]struct{}
	// gaps holds the usual gap of each service.
	meanGaps map[string]time.Duration
	// dark holds until when an upstream gets nothing.
	unresponsiveUntil map[string]time.Time
}

// pulse is one stream.
type monitoredStream struct {
	service string
	// sent is when the request was sent.
	sent time.Time
	// heard is when the last part of its answer came; zero: none came.
	lastData time.Time
	// end ends the attempt, so that the request goes on elsewhere; nil: it may not.
	cancel context.CancelCauseFunc
}

func newStreamMonitor() *streamMonitor {
	return &streamMonitor{running: make(map[string]map[*monitoredStream]struct{}), meanGaps: make(map[string]time.Duration), unresponsiveUntil: make(map[string]time.Time)}
}

// begin watches a stream until the returned function is called.
func (p *streamMonitor) add(upstream string, stream *monitoredStream) (remove func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[upstream] == nil {
		p.running[upstream] = make(map[*monitoredStream]struct{})
	}
	p.running[upstream][stream] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.running[upstream], stream)
		if len(p.running[upstream]) == 0 {
			delete(p.running, upstream)
		}
	}
}

// hear notes that a part of a stream has come.
func (p *streamMonitor) received(stream *monitoredStream, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !stream.lastData.IsZero() {
		usual := p.meanGap(stream.service)
		gap := min(now.Sub(stream.lastData), maxStallTime)
		p.meanGaps[stream.service] = usual + time.Duration(gapSmoothing*float64(gap-usual))
	}
	stream.lastData = now
}

func (p *streamMonitor) meanGap(service string) time.Duration {
	if gap, ok := p.meanGaps[service]; ok {
		return gap
	}
	return defaultGap
}

// count returns how many streams of an upstream flow, and how many are silent.
func (p *streamMonitor) count(upstream string, now time.Time) (flowing, stalled int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for stream := range p.running[upstream] {
		switch {
		case stream.lastData.IsZero():
		case now.Sub(stream.lastData) < p.stallTime(stream.service):
			flowing++
		default:
			stalled++
		}
	}
	return flowing, stalled
}

// silence is the time without a part after which a stream of a service is silent.
func (p *streamMonitor) stallTime(service string) time.Duration {
	return min(maxStallTime, max(minStallTime, stallGaps*p.meanGap(service)))
}

// darken notes that an upstream is dark, ends the attempts there that can go on elsewhere
// and returns how many; found is true when it was not known to be dark before.
func (p *streamMonitor) markUnresponsive(upstream string, now time.Time) (cancelled int, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found = !now.Before(p.unresponsiveUntil[upstream])
	p.unresponsiveUntil[upstream] = now.Add(unresponsiveFor)
	for stream := range p.running[upstream] {
		if stream.cancel != nil && now.Sub(stream.lastActivity()) >= p.stallTime(stream.service) {
			stream.cancel(errUnresponsive)
			cancelled++
		}
	}
	return cancelled, found
}

// last is when something of the stream was last heard, or it was sent.
func (s *monitoredStream) lastActivity() time.Time {
	if s.lastData.IsZero() {
		return s.sent
	}
	return s.lastData
}

// isDark says whether an upstream gets nothing.
func (p *streamMonitor) isUnresponsive(upstream string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.unresponsiveUntil[upstream])
}

// forget drops what is known of an upstream that is gone.
func (p *streamMonitor) forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.unresponsiveUntil, upstream)
}

// dark says whether nobody hears an engine, by what this instance and the others hear of
// its streams.
func unresponsive(flowing, stalled int, others peer.Load) bool {
	return flowing+others.Flowing == 0 && stalled+others.Silent >= minStalledStreams
}

// watchStreams looks for dark engines of the own region after each exchange of reports,
// until ctx ends.
func (e *Edge) watchStreams(ctx context.Context) {
	for {
		changed := e.gossip.View().Changed()
		if view := e.board.Fleet.Load(); view != nil {
			e.checkUpstreams(view)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Edge) checkUpstreams(view *fleet.View) {
	for i := range view.Upstreams {
		if upstream := &view.Upstreams[i]; upstream.Region == e.settings.Region {
			e.checkUpstream(upstream)
		}
	}
}

func (e *Edge) checkUpstream(upstream *fleet.Upstream) {
	now := e.now()
	flowing, stalled := e.streams.count(upstream.ID, now)
	others := e.gossip.View().Load().Upstream(upstream.ID)
	if !unresponsive(flowing, stalled, others) {
		return
	}
	cancelled, found := e.streams.markUnresponsive(upstream.ID, now)
	if found || cancelled > 0 {
		e.log.Warn().Str(event.KeyUpstream, upstream.ID).Int(event.KeySilent, stalled).Int(event.KeySilentElsewhere, others.Silent).
			Int(event.KeyEnded, cancelled).Msg(string(event.UpstreamDark))
	}
}

// seen is what this instance knows at first hand of upstreams, as decisions see it at a
// time.
type localLoads struct {
	*Edge
	now time.Time
}

// Load implements steer.Local.
func (s localLoads) Load(upstream string) limit.Load {
	load := s.tracker.Load(upstream)
	load.Ejected = load.Ejected || s.streams.isUnresponsive(upstream, s.now)
	return load
}
