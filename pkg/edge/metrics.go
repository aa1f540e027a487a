package edge

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/origin"
	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/room"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// MaxMetrics bounds the labelled metrics of an instance. Three for each of 300 routes and 300
// targets use less than half of it. A full registry, with a third of them histograms of 1.7 KB,
// takes about 3 MB.
const MaxMetrics = 4000

// Label names.
const (
	labelRoute   = "route"
	labelService = "service"
	labelRegion  = "region"
	labelTarget  = "target"
	labelDomain  = "domain"
	labelOutcome = "outcome"
	labelReason  = "reason"
	labelResult  = "result"
	labelCall    = "call"
	labelSource  = "source"
	labelEndedBy = "ended_by"

	labelOrganisation = "organisation"
)

// noRoute is the route label of requests that match no route.
const noRoute = "none"

// outcomeCallerGone is the outcome, in logs and metrics, of a request whose caller disconnected.
const outcomeCallerGone outcome.Outcome = "caller-gone"

// counters counts and times requests and attempts.
type counters struct {
	series        *telemetry.Series
	organisations *organisationLabels
}

func label(name, value string) telemetry.Label { return telemetry.Label{Name: name, Value: value} }

// requestEnded counts the end of a request.
func (c *counters) requestEnded(j *job, refusal *outcome.Refusal, took time.Duration) {
	route := label(labelRoute, noRoute)
	if j.route != nil {
		route.Value = j.route.Name
	}
	ended, reason := j.answeredOutcome(), outcome.Reason("")
	if refusal != nil {
		ended, reason = refusal.Outcome, refusal.Reason
	}
	c.series.Counter("requests", route, label(labelOutcome, string(ended)), label(labelReason, string(reason))).Inc(1)
	if refusal != nil && j.writer.started {
		c.series.Counter("answers.aborted", route, label(labelReason, string(reason)), label(labelEndedBy, string(j.lastEnding))).Inc(1)
	}
	if ended != outcome.Complete {
		return
	}
	c.series.Latency("requests.ms", route).Add(took)
	c.series.Latency("requests.first.ms", route).Add(j.writer.firstByteAt.Sub(j.started))
}

// requestYielded counts a request of a service that is sent to another region to leave its slot to others.
func (c *counters) requestYielded(service, region string) {
	c.series.Counter("route.yielded", label(labelService, service), label(labelRegion, region)).Inc(1)
}

// yieldedShare counts a request that was refused because its organisation is above its fair share.
func (c *counters) yieldedShare(organisation string) {
	c.series.Counter("fairshare.refused", label(labelOrganisation, c.organisations.of(organisation))).Inc(1)
}

// attemptEnded counts the end of an attempt at an upstream or another instance.
func (c *counters) attemptEnded(to *target, ended result, took time.Duration) {
	domain, name := label(labelDomain, to.domain()), label(labelTarget, to.name())
	c.series.Counter("attempts", domain, name, label(labelResult, ended.String())).Inc(1)
	if ended == done {
		c.series.Latency("attempts.ms", domain, name).Add(took)
	}
}

// hedgeEnded counts the end of an attempt that was made beside a stalled one.
func (c *counters) hedgeEnded(ended result) {
	c.series.Counter("hedges", label(labelResult, ended.String())).Inc(1)
}

// sentCold counts a request that is sent to a cold upstream.
func (c *counters) sentCold(upstream string) {
	c.series.Counter("cold.sent", label(labelTarget, upstream)).Inc(1)
}

// streamResumed counts a stream that its caller takes up, by how its origin is known.
func (c *counters) streamResumed(source origin.Source) {
	c.series.Counter("streams.resumed", label(labelSource, string(source))).Inc(1)
}

// StoreCall is one call to the platform's store.
type StoreCall struct {
	// Name is the kind of call. Result is "ok" or the kind of failure.
	Name, Result string
	Took         time.Duration
}

// CountStoreCalls returns a function that counts calls to the store.
func CountStoreCalls(series *telemetry.Series) func(StoreCall) {
	return func(call StoreCall) {
		name := label(labelCall, call.Name)
		series.Counter("store.calls", name, label(labelResult, call.Result)).Inc(1)
		series.Latency("store.ms", name).Add(call.Took)
	}
}

// registerGauges adds the gauges that are computed when the metrics are read.
func (e *Edge) registerGauges(registry metrics.Registry) {
	gauges := map[string]func() int64{
		"upstreams.dialed":      e.upstreams.Dialed,
		"peers.dialed":          e.peers.Dialed,
		"requests.active":       e.active.Load,
		"store.age_ms":          func() int64 { return e.ageMS(e.store.LastAnswerAt()) },
		"store.contact_age_ms":  e.contactAgeMS,
		"store.known_age_ms":    func() int64 { return e.ageMS(e.gossip.Knowledge().AsOf) },
		"store.followed":        e.followsStore,
		"store.revision":        e.store.Revision,
		"store.era":             func() int64 { return int64(e.store.Epoch()) },
		"configuration.version": e.configurationVersion,
		"configuration.age_ms":  e.configurationAge,
		"streams.origins":       func() int64 { return int64(e.origins.Size()) },
		"peers.live":            func() int64 { return e.countPeers(true) },
		"peers.silent":          func() int64 { return e.countPeers(false) },
		"peers.oldest_ms":       e.oldestReportMS,
		"requests.suspected": func() int64 {
			suspected, _ := e.quarantine.Counts()
			return int64(suspected)
		},
		"requests.quarantined": func() int64 {
			_, quarantined := e.quarantine.Counts()
			return int64(quarantined)
		},
		"segments.suspected": func() int64 {
			suspected, _ := e.quarantine.CountSegments()
			return int64(suspected)
		},
		"segments.quarantined": func() int64 {
			_, quarantined := e.quarantine.CountSegments()
			return int64(quarantined)
		},
	}
	for name, read := range gauges {
		metrics.NewRegisteredFunctionalGauge(name, registry, read)
	}
}

// ageMS returns the time since t in ms, -1 if t is zero.
func (e *Edge) ageMS(t time.Time) int64 {
	if t.IsZero() {
		return -1
	}
	return e.now().Sub(t).Milliseconds()
}

// contactAgeMS returns the time in ms since the store's last answer to any call, -1 if it does not
// answer this instance.
func (e *Edge) contactAgeMS() int64 {
	age, reaches := e.store.Contact()
	if !reaches {
		return -1
	}
	return age.Milliseconds()
}

// followsStore returns 1 while this instance follows the store itself.
func (e *Edge) followsStore() int64 {
	if e.store.Following() {
		return 1
	}
	return 0
}

// configurationVersion returns the version of the configuration in force, zero if there is none.
func (e *Edge) configurationVersion() int64 {
	if config := e.board.Routes.Load(); config != nil {
		return int64(config.Version)
	}
	return 0
}

// configurationAge returns the time in ms for which the configuration has been in force, -1 if
// there is none.
func (e *Edge) configurationAge() int64 {
	if config := e.board.Routes.Load(); config != nil {
		return e.ageMS(config.InForce)
	}
	return -1
}

func (e *Edge) countPeers(live bool) int64 {
	count, now := int64(0), e.now()
	if view := e.gossip.View().Load(); view != nil {
		for i := range view.Others {
			if view.Others[i].Live(now) == live {
				count++
			}
		}
	}
	return count
}

// oldestReportMS returns the age in ms of the oldest report among live instances. It shows how far
// the known loads of other instances can be relied on.
func (e *Edge) oldestReportMS() int64 {
	oldest, now := int64(0), e.now()
	if view := e.gossip.View().Load(); view != nil {
		for i := range view.Others {
			if known := &view.Others[i]; known.Live(now) {
				oldest = max(oldest, now.Sub(known.ReportedAt).Milliseconds())
			}
		}
	}
	return oldest
}

// metricsHandler serves the metrics in the text format of Prometheus.
func (e *Edge) metricsHandler() http.Handler {
	handler := telemetry.Handler(e.registry)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.updateServiceGauges()
		e.updateLimitGauges()
		handler.ServeHTTP(w, r)
	})
}

// updateServiceGauges updates the gauges of single services.
func (e *Edge) updateServiceGauges() {
	config, view := e.board.Routes.Load(), e.board.Fleet.Load()
	if config == nil || view == nil {
		return
	}
	now := e.now()
	for _, service := range config.ServiceNames() {
		usable, cold, unreachable := 0, 0, 0
		for _, upstream := range view.Service(service) {
			switch {
			case upstream.Region != e.settings.Region || !view.Usable(upstream) || e.departures.Leaving(upstream.ID):
			case e.paths.isLost(upstream.ID):
				unreachable++
			case upstream.Cold(now):
				cold++
			default:
				usable++
			}
		}
		name := label(labelService, service)
		e.counts.series.Gauge("upstreams.usable", name).Update(int64(usable))
		e.counts.series.Gauge("upstreams.cold", name).Update(int64(cold))
		e.counts.series.Gauge("upstreams.unreachable", name).Update(int64(unreachable))
		e.updateRoomGauges(service, view)
	}
	for _, usage := range e.retries.Usage(e.sharingInstances()) {
		name := label(labelService, usage.Service)
		e.counts.series.Gauge("retries.left", name).Update(int64(usage.Left))
		e.counts.series.Gauge("retries.taken", name).Update(int64(usage.Taken))
		e.counts.series.Gauge("retries.refused", name).Update(int64(usage.Refused))
	}
}

// updateRoomGauges updates the gauges of a service's room in the own region: whether it is divided, this
// instance's places at upstreams, how many of them are taken, and how many requests wait for one. They are zero
// while it is not divided.
func (e *Edge) updateRoomGauges(service string, view *fleet.View) {
	divided, places, taken, waiting := 0, 0, 0, 0
	if e.divided(service) {
		divided, waiting = 1, e.lines.Of(service).Length()
		for _, upstream := range view.Service(service) {
			if part := e.part(upstream); part != nil && upstream.Region == e.settings.Region && view.Usable(upstream) {
				places += part.Slots
				taken += e.places.Occupied(upstream.ID)
				e.updateUpstreamRoomGauges(upstream, part)
			}
		}
	}
	name := label(labelService, service)
	e.counts.series.Gauge("room.divided", name).Update(int64(divided))
	e.counts.series.Gauge("room.places", name).Update(int64(places))
	e.counts.series.Gauge("room.taken", name).Update(int64(taken))
	e.counts.series.Gauge("room.waiting", name).Update(int64(waiting))
}

// updateUpstreamRoomGauges updates the gauges of an upstream with divided room: the rejections a second that it says it
// bears (-1 if it does not say so), this instance's places there, and the rejections in the last second that this
// instance knows of.
func (e *Edge) updateUpstreamRoomGauges(upstream *fleet.Upstream, part *room.Part) {
	tolerance := int64(-1)
	if known := e.upstreamLimits.Of(upstream.ID); known.Brittle {
		tolerance = int64(known.Tolerance)
	}
	name := label(labelTarget, upstream.ID)
	e.counts.series.Gauge("upstream.tolerance", name).Update(tolerance)
	e.counts.series.Gauge("upstream.places", name).Update(int64(part.Slots))
	e.counts.series.Gauge("upstream.rejected", name).Update(int64(e.places.Rejections(upstream.ID)))
}

// hash returns a hash of a request's ID that is the same in each attempt.
func hash(id string) uint64 { return xxhash.Sum64String(id) }
