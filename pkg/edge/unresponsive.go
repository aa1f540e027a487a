package edge

import (
	"context"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/peer"
)

// An engine whose machine fails silently closes no connection. Keep-alive probes take three
// seconds to detect that, in which the engine gets new requests and its streams stall. An engine
// serves many streams of many instances at once, however, and one of them receives data every few
// steps. If none of its streams does, the engine is unresponsive: it gets no new requests, and
// its stalled requests are hedged. A single stalled stream among others that flow is no evidence
// against its engine.

const (
	// stallGaps is the number of its service's usual gaps between parts of an answer after which
	// a stream counts as stalled. minStallTime and maxStallTime bound that time.
	stallGaps    = 5
	minStallTime = 250 * time.Millisecond
	maxStallTime = time.Second
	// defaultGap is the usual gap of a service until one is measured.
	defaultGap = 100 * time.Millisecond
	// gapSmoothing is the weight of the newest gap in the mean.
	gapSmoothing = 0.02
	// minStalledStreams is the number of stalled streams that make an engine unresponsive: a
	// single one may have been preempted.
	minStalledStreams = 2
	// minUnresponsiveTime is the time for which an unresponsive engine gets no requests, unless it
	// delivers data before. After it one request is sent as a probe. Each probe without data doubles
	// the time, up to maxUnresponsiveTime.
	minUnresponsiveTime = 2 * time.Second
	maxUnresponsiveTime = 16 * time.Second
)

// streamMonitor watches the streams of engines. It is safe for concurrent use.
type streamMonitor struct {
	mu sync.Mutex
	// running holds the running streams of each upstream.
	running map[string]map[*monitoredStream]struct{}
	// meanGaps holds the usual gap of each service.
	meanGaps map[string]time.Duration
	// lastData holds the time of the last data of each upstream.
	lastData map[string]time.Time
	// silences holds the unresponsive upstreams.
	silences map[string]*silence
	// recovered is closed and replaced when an upstream is not unresponsive any more.
	recovered chan struct{}
}

// silence is the state of an upstream that was found unresponsive and has delivered no data since.
type silence struct {
	since time.Time
	// until is the end of the time in which the upstream gets no requests, length its length.
	until  time.Time
	length time.Duration
}

// monitoredStream is one stream of an engine.
type monitoredStream struct {
	service, upstream string
	sent              time.Time
	// opaque is true if the parts of its answer are not recorded.
	opaque bool
	// lastData is the arrival time of the last part of the answer, zero if none arrived.
	lastData time.Time
	// unread is true while nothing is read since the caller does not take what it was sent.
	unread bool
	// onStalled is called while the stream is stalled at an unresponsive upstream. It must not
	// block. It is nil if the request may run nowhere else.
	onStalled func()
}

func newStreamMonitor() *streamMonitor {
	return &streamMonitor{running: make(map[string]map[*monitoredStream]struct{}), meanGaps: make(map[string]time.Duration), lastData: make(map[string]time.Time), silences: make(map[string]*silence), recovered: make(chan struct{})}
}

// begin watches a stream that is about to be sent, until the returned function is called. ok is false if
// its upstream gets no requests.
func (p *streamMonitor) begin(upstream string, stream *monitoredStream) (remove func(), ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isUnresponsiveLocked(upstream, stream.sent) {
		return nil, false
	}
	return p.addLocked(upstream, stream), true
}

// addLocked watches a stream until the returned function is called. The caller holds p.mu.
func (p *streamMonitor) addLocked(upstream string, stream *monitoredStream) (remove func()) {
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

// setOnStalled sets the function that is called while a stream is stalled at an unresponsive upstream.
func (p *streamMonitor) setOnStalled(stream *monitoredStream, onStalled func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stream.onStalled = onStalled
}

// received records data of a stream. It ends the silence of its upstream, and returns its length if
// there was one.
func (p *streamMonitor) received(stream *monitoredStream, now time.Time) (silentFor time.Duration, wasSilent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !stream.lastData.IsZero() {
		usual := p.meanGap(stream.service)
		gap := min(now.Sub(stream.lastData), maxStallTime)
		p.meanGaps[stream.service] = usual + time.Duration(gapSmoothing*float64(gap-usual))
	}
	stream.lastData = now
	p.lastData[stream.upstream] = now
	return p.endSilenceLocked(stream.upstream, now)
}

// setUnread records that a stream is not read until its caller has taken a part, or that the caller has.
// The stream counts as if it had delivered data then: it may have stood still for want of a reader.
func (p *streamMonitor) setUnread(stream *monitoredStream, unread bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	stream.unread = unread
	if !unread {
		stream.lastData = now
	}
}

// answered records an answer of an upstream, a whole one or a rejection. It ends the silence of
// the upstream, and returns its length if there was one.
func (p *streamMonitor) answered(upstream string, now time.Time) (silentFor time.Duration, wasSilent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastData[upstream] = now
	return p.endSilenceLocked(upstream, now)
}

// endSilence ends the silence of an upstream from which other instances receive data, and returns its
// length if there was one. This instance may have lost its path to it.
func (p *streamMonitor) endSilence(upstream string, now time.Time) (silentFor time.Duration, wasSilent bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endSilenceLocked(upstream, now)
}

// endSilenceLocked is endSilence. The caller holds p.mu.
func (p *streamMonitor) endSilenceLocked(upstream string, now time.Time) (silentFor time.Duration, wasSilent bool) {
	known := p.silences[upstream]
	if known == nil {
		return 0, false
	}
	delete(p.silences, upstream)
	close(p.recovered)
	p.recovered = make(chan struct{})
	return now.Sub(known.since), true
}

// whenRecovered returns a channel that is closed when the next silence ends.
func (p *streamMonitor) whenRecovered() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.recovered
}

func (p *streamMonitor) meanGap(service string) time.Duration {
	if gap, ok := p.meanGaps[service]; ok {
		return gap
	}
	return defaultGap
}

// count returns the numbers of flowing and of stalled streams of an upstream. A stream that has not
// begun may be queued, and is stalled only if the upstream delivers nothing at all meanwhile.
func (p *streamMonitor) count(upstream string, now time.Time) (flowing, stalled int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	quiet := now.Sub(p.lastData[upstream]) >= maxStallTime
	for stream := range p.running[upstream] {
		switch {
		case stream.opaque || stream.unread:
		case stream.lastData.IsZero():
			if quiet && now.Sub(stream.sent) >= maxStallTime {
				stalled++
			}
		case now.Sub(stream.lastData) < p.stallTime(stream.service):
			flowing++
		default:
			stalled++
		}
	}
	return flowing, stalled
}

// isSilent reports whether an attempt at an upstream has waited for maxStallTime, and nothing came
// from the upstream meanwhile.
func (p *streamMonitor) isSilent(upstream string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	silent := false
	for stream := range p.running[upstream] {
		if stream.unread {
			continue
		}
		waited := now.Sub(stream.lastActivity()) >= maxStallTime
		if !waited && !stream.lastData.IsZero() {
			return false
		}
		silent = silent || waited
	}
	return silent && now.Sub(p.lastData[upstream]) >= maxStallTime
}

// stallTime returns the time without data after which a stream of a service is stalled.
func (p *streamMonitor) stallTime(service string) time.Duration {
	return min(maxStallTime, max(minStallTime, stallGaps*p.meanGap(service)))
}

// markUnresponsive records that an upstream is unresponsive, notifies the stalled attempts there
// and returns their number. found is true if the upstream got requests until now.
func (p *streamMonitor) markUnresponsive(upstream string, now time.Time) (notified int, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.silences[upstream]
	switch {
	case known == nil:
		known, found = &silence{since: now, length: minUnresponsiveTime}, true
		p.silences[upstream] = known
	case !now.Before(known.until):
		known.length, found = min(2*known.length, maxUnresponsiveTime), true
	}
	known.until = now.Add(known.length)
	return p.notifyStalledLocked(upstream, now), found
}

// isProbeStalled reports whether a request that was sent to an unresponsive upstream as a probe has
// waited for maxStallTime.
func (p *streamMonitor) isProbeStalled(upstream string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	probe := p.probeLocked(upstream)
	return probe != nil && now.Sub(probe.sent) >= maxStallTime
}

// probeLocked returns the request that runs at an unresponsive upstream as a probe, nil if there is
// none. The caller holds p.mu.
func (p *streamMonitor) probeLocked(upstream string) *monitoredStream {
	known := p.silences[upstream]
	if known == nil {
		return nil
	}
	for stream := range p.running[upstream] {
		if !stream.sent.Before(known.until) {
			return stream
		}
	}
	return nil
}

// notifyStalled notifies the stalled attempts at an upstream.
func (p *streamMonitor) notifyStalled(upstream string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.notifyStalledLocked(upstream, now)
}

// notifyStalledLocked is notifyStalled and returns the number of attempts. The caller holds p.mu.
func (p *streamMonitor) notifyStalledLocked(upstream string, now time.Time) (notified int) {
	for stream := range p.running[upstream] {
		if stream.onStalled != nil && !stream.unread && now.Sub(stream.lastActivity()) >= p.stallTime(stream.service) {
			stream.onStalled()
			notified++
		}
	}
	return notified
}

// lastActivity returns the time of the last data of the stream, or of its request.
func (s *monitoredStream) lastActivity() time.Time {
	if s.lastData.IsZero() {
		return s.sent
	}
	return s.lastData
}

// isUnresponsive reports whether an upstream gets no requests. Once its time is over, it gets one.
func (p *streamMonitor) isUnresponsive(upstream string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isUnresponsiveLocked(upstream, now)
}

// isUnresponsiveLocked is isUnresponsive. The caller holds p.mu.
func (p *streamMonitor) isUnresponsiveLocked(upstream string, now time.Time) bool {
	known := p.silences[upstream]
	return known != nil && (now.Before(known.until) || p.probeLocked(upstream) != nil)
}

// forget deletes the record of an upstream that was removed.
func (p *streamMonitor) forget(upstream string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.silences, upstream)
	delete(p.lastData, upstream)
}

// unresponsive reports whether an engine is unresponsive, by the streams of this instance and
// those that the others report.
func unresponsive(flowing, stalled int, others peer.Load) bool {
	return flowing+others.Flowing == 0 && stalled+others.Silent >= minStalledStreams
}

// watchStreams looks for unresponsive engines of the own region after each exchange of reports,
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
	switch {
	case e.paths.isLost(upstream.ID):
		// The upstream may be well, and the streams of other instances flow.
		e.streams.notifyStalled(upstream.ID, now)
	case stalled > 0 || e.streams.isSilent(upstream.ID, now):
		e.paths.suspect(upstream.ID, now)
	}
	others := e.gossip.View().Load().Upstream(upstream.ID)
	if flowing+others.Flowing > 0 {
		if silentFor, wasSilent := e.streams.endSilence(upstream.ID, now); wasSilent {
			e.logRecovery(upstream.ID, silentFor)
		}
	}
	if !unresponsive(flowing, stalled, others) && !e.streams.isProbeStalled(upstream.ID, now) {
		return
	}
	notified, found := e.streams.markUnresponsive(upstream.ID, now)
	if found {
		e.log.Warn().Str(event.KeyUpstream, upstream.ID).Int(event.KeySilent, stalled).Int(event.KeySilentElsewhere, others.Silent).
			Int(event.KeyStalled, notified).Msg(string(event.UpstreamDark))
	}
}

// recordAnswer records an answer of an upstream, a whole one or a rejection.
func (e *Edge) recordAnswer(upstream string) {
	if silentFor, wasSilent := e.streams.answered(upstream, e.now()); wasSilent {
		e.logRecovery(upstream, silentFor)
	}
}

// recordData records data of a stream.
func (e *Edge) recordData(stream *monitoredStream) {
	if silentFor, wasSilent := e.streams.received(stream, e.now()); wasSilent {
		e.logRecovery(stream.upstream, silentFor)
	}
}

// logRecovery logs the end of an upstream's silence.
func (e *Edge) logRecovery(upstream string, silentFor time.Duration) {
	e.log.Info().Str(event.KeyUpstream, upstream).Int64(event.KeyForMS, silentFor.Milliseconds()).Msg(string(event.UpstreamResponsive))
}

// localLoads is the load that this instance itself observes at upstreams at a given time.
type localLoads struct {
	*Edge
	now time.Time
}

// Load implements steer.Local.
func (s localLoads) Load(upstream string) limit.Load {
	load := s.tracker.Load(upstream)
	load.Unresponsive = s.streams.isUnresponsive(upstream, s.now)
	return load
}
