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
	silentGaps   = 5
	leastSilence = 250 * time.Millisecond
	mostSilence  = time.Second
	// usualGap is taken for the usual gap where none was measured.
	usualGap = 100 * time.Millisecond
	// gapSmoothing is the weight of the newest gap.
	gapSmoothing = 0.02
	// leastWitnesses is how many silent streams make an engine dark: a single one may have
	// been preempted.
	leastWitnesses = 2
	// darkFor is how long an engine that is found dark gets nothing: then a request tries
	// it again.
	darkFor = 2 * time.Second
)

// errDark ends the attempts at an engine that is dark.
var errDark = errors.New("no stream of the engine is heard")

// pulses watches the streams of engines. It is safe for concurrent use.
type pulses struct {
	mu sync.Mutex
	// byID holds the running streams of each upstream.
	byID map[string]map[*pulse]struct{}
	// gaps holds the usual gap of each service.
	gaps map[string]time.Duration
	// dark holds until when an upstream gets nothing.
	dark map[string]time.Time
}

// pulse is one stream.
type pulse struct {
	service string
	// sent is when the request was sent.
	sent time.Time
	// heard is when the last part of its answer came; zero: none came.
	heard time.Time
	// end ends the attempt, so that the request goes on elsewhere; nil: it may not.
	end context.CancelCauseFunc
}

func newPulses() *pulses {
	return &pulses{byID: make(map[string]map[*pulse]struct{}), gaps: make(map[string]time.Duration), dark: make(map[string]time.Time)}
}

// begin watches a stream until the returned function is called.
func (p *pulses) begin(upstream string, stream *pulse) (ended func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byID[upstream] == nil {
		p.byID[upstream] = make(map[*pulse]struct{})
	}
	p.byID[upstream][stream] = struct{}{}
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.byID[upstream], stream)
		if len(p.byID[upstream]) == 0 {
			delete(p.byID, upstream)
		}
	}
}

// hear notes that a part of a stream has come.
func (p *pulses) hear(stream *pulse, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !stream.heard.IsZero() {
		usual := p.gap(stream.service)
		gap := min(now.Sub(stream.heard), mostSilence)
		p.gaps[stream.service] = usual + time.Duration(gapSmoothing*float64(gap-usual))
	}
	stream.heard = now
}

func (p *pulses) gap(service string) time.Duration {
	if gap, ok := p.gaps[service]; ok {
		return gap
	}
	return usualGap
}

// count returns how many streams of an upstream flow, and how many are silent.
func (p *pulses) count(upstream string, now time.Time) (flowing, silent int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for stream := range p.byID[upstream] {
		switch {
		case stream.heard.IsZero():
		case now.Sub(stream.heard) < p.silence(stream.service):
			flowing++
		default:
			silent++
		}
	}
	return flowing, silent
}

// silence is the time without a part after which a stream of a service is silent.
func (p *pulses) silence(service string) time.Duration {
	return min(mostSilence, max(leastSilence, silentGaps*p.gap(service)))
}

// darken notes that an upstream is dark, ends the attempts there that can go on elsewhere
// and returns how many; found is true when it was not known to be dark before.
func (p *pulses) darken(upstream string, now time.Time) (ended int, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found = !now.Before(p.dark[upstream])
	p.dark[upstream] = now.Add(darkFor)
	for stream := range p.byID[upstream] {
		if stream.end != nil && now.Sub(stream.last()) >= p.silence(stream.service) {
			stream.end(errDark)
			ended++
		}
	}
	return ended, found
}

// last is when something of the stream was last heard, or it was sent.
func (s *pulse) last() time.Time {
	if s.heard.IsZero() {
		return s.sent
	}
	return s.heard
}

// isDark says whether an upstream gets nothing.
func (p *pulses) isDark(upstream string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Before(p.dark[upstream])
}

// forget drops what is known of an upstream that is gone.
func (p *pulses) forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.dark, upstream)
}

// dark says whether nobody hears an engine, by what this instance and the others hear of
// its streams.
func dark(flowing, silent int, others peer.Load) bool {
	return flowing+others.Flowing == 0 && silent+others.Silent >= leastWitnesses
}

// watchStreams looks for dark engines of the own region after each exchange of reports,
// until ctx ends.
func (e *Edge) watchStreams(ctx context.Context) {
	for {
		heard := e.gossip.View().Changed()
		if view := e.board.Fleet.Load(); view != nil {
			e.watchUpstreams(view)
		}
		select {
		case <-heard:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Edge) watchUpstreams(view *fleet.View) {
	for i := range view.Upstreams {
		if upstream := &view.Upstreams[i]; upstream.Region == e.settings.Region {
			e.watchUpstream(upstream)
		}
	}
}

func (e *Edge) watchUpstream(upstream *fleet.Upstream) {
	now := e.now()
	flowing, silent := e.pulses.count(upstream.ID, now)
	others := e.gossip.View().Load().Upstream(upstream.ID)
	if !dark(flowing, silent, others) {
		return
	}
	ended, found := e.pulses.darken(upstream.ID, now)
	if found || ended > 0 {
		e.log.Warn().Str(event.KeyUpstream, upstream.ID).Int(event.KeySilent, silent).Int(event.KeySilentElsewhere, others.Silent).
			Int(event.KeyEnded, ended).Msg(string(event.UpstreamDark))
	}
}

// seen is what this instance knows at first hand of upstreams, as decisions see it at a
// time.
type seen struct {
	*Edge
	now time.Time
}

// Load implements steer.Local.
func (s seen) Load(upstream string) limit.Load {
	load := s.tracker.Load(upstream)
	load.Ejected = load.Ejected || s.pulses.isDark(upstream, s.now)
	return load
}
