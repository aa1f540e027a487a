package peer

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/warmth"
)

// ServiceName is the net/rpc name of the service.
const ServiceName = "Peer"

// Methods of the service.
const (
	methodExchange = ServiceName + ".Exchange"
	methodCopy     = ServiceName + ".Copy"
	methodAnnounce = ServiceName + ".Announce"
)

// Ask is the report of an instance, with a request for what the asked one knows.
type Ask struct {
	Domain, Region string
	Report         Report
	// Gossip is the address at which the asking instance serves its snapshot of the store; empty
	// if the asked one is known to have a snapshot, which contains all addresses.
	Gossip string
	// Sums is true in a large domain: the asking instance gets all of its knowledge from this
	// one, and wants the load of the others as a sum.
	Sums bool
	// Rosters are those that the asking instance holds. Dictionary is the fingerprint of the
	// region's upstreams as it knows them.
	Rosters    []Roster
	Dictionary uint64
	// Evidence holds observations of the asking instance that the asked one may lack, up to the
	// number Last. Have is the position up to which the asking instance has received the other's
	// evidence.
	Evidence []quarantine.Observation
	Last     uint64
	Have     Cursor
	// Limits are those that upstreams of the region advertise.
	Limits []limit.ToldLimit
	// Departures are the upstreams that have announced that they leave.
	Departures []string
	// Warmth is what the asking instance knows of the region's upstreams by their answers to queries,
	// in the form of warmth.Pack.
	Warmth []byte
}

// Reply is the state known to the asked instance. Within its own domain it contains the domain's
// reports and the digests of all other domains; to another domain, the digest of its own.
type Reply struct {
	Reports []AgedReport
	Digests []Digest
	// Summed is true if Columns and Sums hold the load of the region's instances except the
	// asking one, by upstream. Reports then holds only the report of the asked instance, Digests
	// also that of the own domain, both without loads, and Placed holds all placements that are
	// new to the asking instance.
	Summed bool
	// Columns holds the loads at upstreams if the dictionaries of both sides match; Sums holds
	// the other loads.
	Columns Columns
	Sums    []Load
	Placed  []Placement
	// Used is the usage of limited callers at the other instances of the domain, counted by the
	// asked instance with the incarnation Counter.
	Used    []quota.Usage
	Counter uint64
	// Evidence holds observations that the asking instance lacks, up to Told. Given acknowledges
	// the asking instance's evidence.
	Evidence []quarantine.Observation
	Told     Cursor
	Given    uint64
	// Limits are those that upstreams of the region advertise.
	Limits []limit.ToldLimit
	// Departures are the upstreams that have announced that they leave.
	Departures []string
	// Warmth is the same of the asked instance.
	Warmth []byte
}

// AgedReport is a report with its age at the time of sending.
type AgedReport struct {
	Report Report
	Age    time.Duration
}

// CopyArgs requests the changes in the snapshot of the store since a position.
type CopyArgs struct {
	Revision int64
	Era      uint64
}

// CopyReply holds a mirror.Delta, encoded and compressed.
type CopyReply struct{ Packed []byte }

// Service implements the methods that other instances call.
type Service struct{ gossip *Gossip }

// Register registers the service.
func (g *Gossip) Register(server *control.Server) error {
	return server.Register(ServiceName, &Service{gossip: g})
}

// Exchange applies another instance's report and returns the state known to this one.
func (s *Service) Exchange(ask Ask, reply *Reply) error {
	g := s.gossip
	now := g.options.Clock.Now()
	own := g.ownReport(now)
	if ask.Region == g.options.Self.Region {
		g.learnWarmth(ask.Warmth, time.Time{})
		reply.Warmth = g.warmth()
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.avoidedUntil, ask.Report.Name)
	g.recordReplicaOffer(&ask, &own, now)
	g.placementLog.add(own.Placed, true, now)
	g.answerEvidence(&ask, &own, reply, now)
	g.forwardDepartures(ask.Departures, ask.Report.Name)
	reply.Departures = g.departures()
	if ask.Region == g.options.Self.Region {
		g.forwardLimits(ask.Limits, ask.Report.Name)
		reply.Limits = g.limitsFor(&ask)
	}
	if ask.Domain != g.options.Self.Domain {
		digest := g.digest(&own, now, ask.Region)
		digest.Placed = g.placementLog.since(ask.Report.Name, true, now)
		digest.omitKnownMarks(ask.Rosters)
		reply.Digests = []Digest{digest}
		if digest := g.digests[ask.Domain]; digest == nil || now.Sub(digest.at) > SilentAfter {
			g.remoteRoundWanted.Store(true)
			g.RequestRound()
		}
		return nil
	}
	g.applyReport(ask.Report, now)
	reply.Reports = []AgedReport{{Report: own}}
	if ask.Sums {
		g.answerSums(&ask, reply, now)
		return nil
	}
	for name, report := range g.reports {
		if name != ask.Report.Name && now.Sub(report.at) <= SilentAfter {
			reply.Reports = append(reply.Reports, AgedReport{Report: report.value, Age: now.Sub(report.at)})
		}
	}
	for _, digest := range g.digests {
		current := digest.value
		current.Age = now.Sub(digest.at)
		if current.Age <= SilentAfter {
			current.omitKnownMarks(ask.Rosters)
			reply.Digests = append(reply.Digests, current)
		}
	}
	return nil
}

// answerSums replies to an instance of a large domain with the others' load as one sum by
// upstream, the roster if it has changed, and other new data. With the loads of each of 16
// instances that send 600 requests a second a reply took 180 KB. With each instance's name in
// it, it took 5 KB in a domain of 50, which a hub sends 480 times a second: its link of 20
// Mbit/s was saturated, and the reported loads were seconds old. The caller holds g.mu.
func (g *Gossip) answerSums(ask *Ask, reply *Reply, now time.Time) {
	own := &reply.Reports[0].Report
	g.used.Record(own.Name, own.Incarnation, own.Used, now)
	total := g.total(own, now)
	reply.Digests = []Digest{total.roster}
	before := g.lastAskedAt[ask.Report.Name]
	g.lastAskedAt[ask.Report.Name] = now
	for _, digest := range g.digests {
		current := digest.value
		current.Age = now.Sub(digest.at)
		if current.Age > SilentAfter {
			continue
		}
		if !digest.receivedAt.Before(before) {
			current.Upstreams, current.Placed = nil, nil
			reply.Digests = append(reply.Digests, current)
		}
	}
	for i := range reply.Digests {
		reply.Digests[i].omitKnownMarks(ask.Rosters)
	}
	own.Upstreams, own.Placed, own.Used = nil, nil, nil
	reply.Used, reply.Counter = g.used.Totals(ask.Report.Name, now), own.Incarnation
	reply.Summed, reply.Sums = true, total.without(ask.Report.Name)
	if dict := g.dictionary(); dict.fingerprint == ask.Dictionary {
		reply.Columns, reply.Sums = dict.columns(reply.Sums)
	}
	reply.Placed = g.placementLog.since(ask.Report.Name, false, now)
}

// AnnounceArgs tells the instances of a region what an instance of it knows of upstreams by their answers to queries,
// packed by the package warmth.
type AnnounceArgs struct {
	Region string
	Warmth []byte
}

// AnnounceReply is empty.
type AnnounceReply struct{}

// Announce applies what another instance tells unasked.
func (s *Service) Announce(args AnnounceArgs, _ *AnnounceReply) error {
	if args.Region == s.gossip.options.Self.Region {
		s.gossip.learnWarmth(args.Warmth, time.Time{})
	}
	return nil
}

// Copy returns the changes in this instance's snapshot of the store.
func (s *Service) Copy(args CopyArgs, reply *CopyReply) error {
	snapshot := s.gossip.options.Store.Snapshot().Load()
	if snapshot == nil {
		snapshot = &mirror.Snapshot{}
	}
	packed, err := s.gossip.packer.pack(snapshot, mirror.Position{Era: args.Era, Revision: args.Revision}, s.gossip.options.Clock.Now())
	reply.Packed = packed
	return err
}

// digest summarises the own domain for a region. The caller holds g.mu.
func (g *Gossip) digest(own *Report, now time.Time, region string) Digest {
	d := g.roster(own, now)
	upstreams := make(map[string]Load)
	addLoads(upstreams, own.Upstreams)
	for _, report := range g.reports {
		if now.Sub(report.at) <= SilentAfter {
			addLoads(upstreams, report.value.Upstreams)
		}
	}
	d.Services = g.byService(upstreams)
	if region == d.Region {
		d.Upstreams = sorted(upstreams)
	}
	g.used.Record(own.Name, own.Incarnation, own.Used, now)
	d.Used, d.Counter = g.used.Totals("", now), own.Incarnation
	return d
}

// byService sums loads at upstreams by service.
func (g *Gossip) byService(upstreams map[string]Load) []Load {
	view := g.options.Fleet.Load()
	if view == nil {
		return nil
	}
	services := make(map[string]Load)
	for i := range view.Upstreams {
		load, ok := upstreams[view.Upstreams[i].ID]
		if ok {
			load.Name = view.Upstreams[i].Service
			addLoads(services, []Load{load})
		}
	}
	return sorted(services)
}

// applyReply merges an instance's reply to a request that named a dictionary.
func (g *Gossip) applyReply(instance *fleet.Instance, reply *Reply, asked *dictionary) {
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.applyEvidence(instance, reply, now)
	g.forwardLimits(reply.Limits, instance.Name)
	g.forwardDepartures(reply.Departures, instance.Name)
	for i := range reply.Reports {
		aged := &reply.Reports[i]
		g.applyReport(aged.Report, now.Add(-aged.Age))
	}
	for i := range reply.Digests {
		if reply.Digests[i].Domain == g.options.Self.Domain {
			g.applyRoster(&reply.Digests[i], now)
			continue
		}
		g.applyDigest(reply.Digests[i], now)
	}
	if reply.Summed {
		g.applySums(reply, asked, now)
		g.handlePlacements(reply.Placed, false, now)
		g.recordUsage(domainSource(g.options.Self.Domain), reply.Counter, reply.Used)
	}
}

// limits returns the advertised limits of the region's upstreams known to this instance.
func (g *Gossip) limits() []limit.ToldLimit {
	if g.options.Limits == nil {
		return nil
	}
	return g.options.Limits.ToPublish()
}

// limitsFor returns the limits with which an instance is answered: all if it has just started. The
// caller holds g.mu.
func (g *Gossip) limitsFor(ask *Ask) []limit.ToldLimit {
	before := g.reports[ask.Report.Name]
	starts := ask.Domain == g.options.Self.Domain && (before == nil || before.value.Incarnation != ask.Report.Incarnation)
	if starts && g.options.Limits != nil {
		return g.options.Limits.ToIntroduce()
	}
	return g.limits()
}

// forwardLimits passes received limits on.
func (g *Gossip) forwardLimits(limits []limit.ToldLimit, from string) {
	if len(limits) > 0 && g.options.LearnLimits != nil {
		g.options.LearnLimits(limits, from)
	}
}

// warmth returns what this instance knows of upstreams by their answers to queries.
func (g *Gossip) warmth() []byte {
	if g.options.Warmth == nil {
		return nil
	}
	return warmth.Pack(g.options.Warmth(!g.usesHub()))
}

// learnWarmth passes on what another instance tells of upstreams, asked at a time, zero if unasked.
func (g *Gossip) learnWarmth(packed []byte, asked time.Time) {
	if len(packed) == 0 || g.options.LearnWarmth == nil {
		return
	}
	told, err := warmth.Unpack(packed)
	if err != nil {
		g.options.Log.Warn().Err(err).Msg(string(event.WarmthRejected))
	}
	g.options.LearnWarmth(told, asked)
}

// departures returns the leaving upstreams known to this instance.
func (g *Gossip) departures() []string {
	if g.options.Departures == nil {
		return nil
	}
	return g.options.Departures()
}

// forwardDepartures passes received departures on.
func (g *Gossip) forwardDepartures(upstreams []string, from string) {
	if len(upstreams) > 0 && g.options.LearnDepartures != nil {
		g.options.LearnDepartures(upstreams, from)
	}
}

// instanceSource and domainSource name the sources of usage.
func instanceSource(name string) string { return "instance " + name }
func domainSource(name string) string   { return "domain " + name }

// recordUsage passes received usage on.
func (g *Gossip) recordUsage(source string, start uint64, used []quota.Usage) {
	if g.options.Usage != nil {
		g.options.Usage.AddRemoteUsage(source, start, used)
	}
}

// applySums records the others' load. The caller holds g.mu.
func (g *Gossip) applySums(reply *Reply, asked *dictionary, now time.Time) {
	loads, err := asked.loads(&reply.Columns)
	if err != nil {
		g.options.Log.Warn().Err(err).Msg(string(event.SumsRejected))
		return
	}
	g.sums = &received[[]Load]{value: append(loads, reply.Sums...), at: now}
}

func (g *Gossip) applyReport(report Report, at time.Time) {
	if report.Name == g.options.Self.Name {
		return
	}
	before := g.reports[report.Name]
	if before != nil && !report.newer(&before.value) && !isRestartWithEarlierClock(before, report.Incarnation, at) {
		return
	}
	if before == nil || before.value.mark() != report.mark() {
		g.totals = nil
	}
	g.logChange(before, &report)
	g.options.Store.ObserveEpoch(report.Era)
	delete(g.avoidedUntil, report.Name)
	g.handlePlacements(report.Placed, true, at)
	g.reports[report.Name] = &received[Report]{value: report, at: at}
	if report.Current {
		g.confirm(report.Name, report.position(), at.Add(-report.StoreAge))
	}
	g.used.Record(report.Name, report.Incarnation, report.Used, g.options.Clock.Now())
	if g.receivesAllReports.Load() {
		g.recordUsage(instanceSource(report.Name), report.Incarnation, report.Used)
	}
}

// isRestartWithEarlierClock reports whether an incarnation that is lower than the last known one is that of a new
// start: the former process is silent, and the time of day, from which incarnations are taken, was ahead when it
// started.
func isRestartWithEarlierClock(before *received[Report], incarnation uint64, at time.Time) bool {
	return incarnation < before.value.Incarnation && at.Sub(before.at) > SilentAfter
}

func (g *Gossip) applyDigest(digest Digest, now time.Time) {
	if digest.Domain == g.options.Self.Domain || digest.Age > SilentAfter {
		return
	}
	at := now.Add(-digest.Age)
	before := g.digests[digest.Domain]
	if before != nil && !at.After(before.at) {
		return
	}
	if before == nil || now.Sub(before.at) > SilentAfter {
		g.options.Log.Info().Str(event.KeyDomain, digest.Domain).Int(event.KeyInstances, len(digest.Marks)).Msg(string(event.DomainHeard))
	}
	if before != nil && len(digest.Marks) == 0 {
		digest.Marks, digest.Roster = before.value.Marks, before.value.Roster
	}
	g.options.Store.ObserveEpoch(digest.Era)
	g.handlePlacements(digest.Placed, false, at)
	g.digests[digest.Domain] = &received[Digest]{value: digest, at: at, receivedAt: now}
	if digest.Current {
		g.confirm(digest.Domain, digest.position(), at.Add(-digest.StoreAge))
	}
	g.recordUsage(domainSource(digest.Domain), digest.Counter, digest.Used)
}

// handlePlacements passes placements on, to this instance and to those that ask it.
func (g *Gossip) handlePlacements(placements []Placement, own bool, at time.Time) {
	g.placementLog.add(placements, own, g.options.Clock.Now())
	if g.options.Placed == nil {
		return
	}
	for _, placement := range placements {
		g.options.Placed(placement, at)
	}
}

// logChange logs a new or leaving instance.
func (g *Gossip) logChange(before *received[Report], report *Report) {
	switch {
	case before == nil, before.value.Incarnation != report.Incarnation:
		g.options.Log.Info().Str(event.KeyPeer, report.Name).Msg(string(event.PeerFound))
	case report.Leaving && !before.value.Leaving:
		g.options.Log.Info().Str(event.KeyPeer, report.Name).Msg(string(event.PeerLeaving))
	}
}
