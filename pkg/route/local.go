package route

import (
	"cmp"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/limit"
)

// Rates that are assumed of an engine that reports none, in tokens a second.
const (
	defaultDecodeRate  = 30.0
	defaultPrefillRate = 4000.0
)

// reportTimeConstant is the age at which a report has lost most (1-1/e) of its weight
// relative to the pool's mean.
const reportTimeConstant = 5 * time.Second

// rampTime is the time for which an upstream that became usable again counts with less than
// its declared concurrency, while its cache fills.
const rampTime = 10 * time.Second

// candidate is one usable local upstream.
type candidate struct {
	upstream *config.Upstream
	hash     uint64
	// others estimates the requests at the upstream from all senders but this gateway, and
	// ownAtReport is what this gateway had there at that time.
	others, ownAtReport float64
	// age is the report's age when the table was compiled; negative if there is none.
	age                     time.Duration
	decodeRate, prefillRate float64
	concurrency             float64
	share                   int
	usableSince             time.Time
}

func (t *Table) compileLocals(in *Input) {
	gateways := liveGateways(in)
	for i := range in.Head.Declaration.Upstreams {
		upstream := &in.Head.Declaration.Upstreams[i]
		if upstream.Domain != in.Domain {
			continue
		}
		report := reportOf(in.Upstreams, upstream.Name)
		if !usable(upstream, report) {
			continue
		}
		c := newCandidate(upstream, report, in)
		c.usableSince = t.usableSinceOf(upstream.Name, in)
		c.share = limit.Share(upstream.Name, upstream.Concurrency, in.Self, demands(gateways, upstream))
		p := t.pool(poolID{upstream.Serves, loadedVersion(upstream, report)})
		p.peers = float64(len(gateways) - 1)
		if report != nil {
			p.addHints(int32(len(p.locals)), report.Prefixes)
		}
		p.locals = append(p.locals, c)
	}
}

// usable reports whether an upstream may get new work.
func usable(upstream *config.Upstream, report *board.UpstreamLoad) bool {
	if upstream.Drained {
		return false
	}
	return report == nil || report.State == board.UpstreamLive || report.State == ""
}

// loadedVersion is the version that the engine reported as loaded, else the declared one.
func loadedVersion(upstream *config.Upstream, report *board.UpstreamLoad) string {
	if upstream.Kind == config.KindService {
		return ""
	}
	if report != nil && report.Version != "" {
		return report.Version
	}
	return upstream.Version
}

// usableSinceOf returns since when an upstream has been continuously usable; zero if since
// the start, when no ramp is needed.
func (t *Table) usableSinceOf(name string, in *Input) time.Time {
	since := in.Now
	if in.Previous == nil || in.Previous.revision == 0 {
		since = time.Time{}
	} else if before, ok := in.Previous.usableSince[name]; ok {
		since = before
	}
	t.usableSince[name] = since
	return since
}

func newCandidate(upstream *config.Upstream, report *board.UpstreamLoad, in *Input) candidate {
	c := candidate{
		upstream:    upstream,
		hash:        xxhash.Sum64String(upstream.Name),
		decodeRate:  defaultDecodeRate,
		prefillRate: defaultPrefillRate,
		concurrency: float64(max(1, upstream.Concurrency)),
		age:         -1,
	}
	peers, self := inFlightOf(in, upstream.Name)
	c.others = float64(peers)
	c.ownAtReport = float64(self)
	if report == nil || report.ReportedAt.IsZero() {
		return c
	}
	c.age = max(0, in.Now.Sub(report.ReportedAt))
	c.decodeRate = cmp.Or(report.DecodeRate, c.decodeRate)
	c.prefillRate = cmp.Or(report.PrefillRate, c.prefillRate)
	// The report includes this gateway's own requests. They are subtracted as of its last
	// published load, which is about as old as the report.
	reported := float64(report.Running + report.Queued - self)
	c.others = max(c.others, reported)
	return c
}

// inFlightOf returns the sum of the peers' requests at an upstream, and this gateway's own
// as last published.
func inFlightOf(in *Input, upstream string) (peers, self int) {
	if in.Members == nil {
		return peers, self
	}
	for i := range in.Members.Instances {
		instance := &in.Members.Instances[i]
		switch {
		case instance.Name == in.Self:
			self += instance.Load.InFlight[upstream]
		case instance.State == board.InstanceSilent, instance.State == board.InstanceLeft:
		default:
			peers += instance.Load.InFlight[upstream]
		}
	}
	return peers, self
}

// othersNow estimates the present requests of others at the upstream. The reported number
// approaches the pool's mean as the report ages; since then each peer is assumed to have
// sent as much as this gateway. Without that, all gateways would send to the upstream that
// the report showed as idle, until the next one.
func (c *candidate) othersNow(own int, peers, mean float64, sinceCompile time.Duration) float64 {
	others := c.others
	if c.age >= 0 {
		trust := math.Exp(-float64(c.age+sinceCompile) / float64(reportTimeConstant))
		others = trust*c.others + (1-trust)*mean
	}
	return max(0, others+peers*(float64(own)-c.ownAtReport))
}

// rampedSlots is the concurrency that is assumed: less than declared while the upstream's
// cache fills after it became usable again.
func (c *candidate) rampedSlots(now time.Time) float64 {
	up := now.Sub(c.usableSince)
	if up >= rampTime {
		return c.concurrency
	}
	const minFraction = 0.25
	fraction := minFraction + (1-minFraction)*float64(max(0, up))/float64(rampTime)
	return max(1, c.concurrency*fraction)
}

func (p *pool) finish() {
	for i := range p.locals {
		p.mean += p.locals[i].others / float64(len(p.locals))
	}
	p.groups = groupCandidates(p.locals)
}

func reportOf(upstreams *board.Upstreams, name string) *board.UpstreamLoad {
	if upstreams == nil {
		return nil
	}
	report, ok := upstreams.ByName[name]
	if !ok {
		return nil
	}
	return &report
}
