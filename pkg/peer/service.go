package peer

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/mirror"
)

// ServiceName is the name under which instances serve each other by net/rpc.
const ServiceName = "Peer"

// Methods of the service.
const (
	methodExchange = ServiceName + ".Exchange"
	methodCopy     = ServiceName + ".Copy"
)

// Ask is a report, and whose.
type Ask struct {
	Domain, Region string
	Report         Report
	// Gossip is where the asking instance can be asked for its copy of the store; empty
	// when the asked one is known to have a copy, and with it the addresses of all.
	Gossip string
	// Sums is true in a large domain: the asking instance learns of all through this one,
	// and wants the work of the others as a sum.
	Sums bool
}

// Reply is what the asked instance knows: to its own domain, the reports of the domain
// and the digests of all others; to another domain, the digest of its own.
type Reply struct {
	Reports []AgedReport
	Digests []Digest
	// Summed is true when Sums adds up the work of the domain's instances but the asking
	// one, by upstream; the reports then hold no work, and all placements that are new to
	// the asking instance stand in Placed.
	Summed bool
	Sums   []Load
	Placed []Placement
}

// AgedReport is a report with its age where it is told.
type AgedReport struct {
	Report Report
	Age    time.Duration
}

// CopyArgs asks for what has changed in the copy of the store since a revision.
type CopyArgs struct{ Revision int64 }

// CopyReply holds a mirror.Delta, encoded and compressed.
type CopyReply struct{ Packed []byte }

// Service is what other instances call.
type Service struct{ gossip *Gossip }

// Register offers the service.
func (g *Gossip) Register(server *control.Server) error {
	return server.Register(ServiceName, &Service{gossip: g})
}

// Exchange takes another instance's report and returns what this one knows.
func (s *Service) Exchange(ask Ask, reply *Reply) error {
	g := s.gossip
	now := g.options.Clock.Now()
	own := g.options.Report()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.avoided, ask.Report.Name)
	g.noteAsker(&ask, &own, now)
	g.news.add(own.Placed, true, now)
	if ask.Domain != g.options.Self.Domain {
		digest := g.digest(&own, now, ask.Region)
		digest.Placed = g.news.since(ask.Report.Name, true, now)
		reply.Digests = []Digest{digest}
		if digest := g.digests[ask.Domain]; digest == nil || now.Sub(digest.at) > SilentAfter {
			g.farWanted.Store(true)
			g.Hurry()
		}
		return nil
	}
	g.takeReport(ask.Report, now)
	reply.Reports = []AgedReport{{Report: own}}
	for name, report := range g.reports {
		if name != ask.Report.Name && now.Sub(report.at) <= SilentAfter {
			reply.Reports = append(reply.Reports, AgedReport{Report: report.value, Age: now.Sub(report.at)})
		}
	}
	before := time.Time{}
	if ask.Sums {
		before = g.askedAt[ask.Report.Name]
		g.askedAt[ask.Report.Name] = now
	}
	for _, digest := range g.digests {
		told := digest.value
		told.Age = now.Sub(digest.at)
		if told.Age > SilentAfter || digest.taken.Before(before) {
			continue
		}
		reply.Digests = append(reply.Digests, told)
	}
	if ask.Sums {
		reply.sum()
		reply.Placed = g.news.since(ask.Report.Name, false, now)
	}
	return nil
}

// sum replaces the work of single instances by its sum, and leaves out placements. In a
// domain of 16 instances that send 600 requests a second, a reply with all of them took
// 180 KB; the hub's link was full, and what it told of loads was up to two seconds old.
func (r *Reply) sum() {
	r.Summed = true
	sums := make(map[string]Load)
	for i := range r.Reports {
		report := &r.Reports[i].Report
		addLoads(sums, report.Upstreams)
		report.Upstreams, report.Placed = nil, nil
	}
	r.Sums = sorted(sums)
	for i := range r.Digests {
		r.Digests[i].Placed = nil
	}
}

// Copy returns what has changed in this instance's copy of the store.
func (s *Service) Copy(args CopyArgs, reply *CopyReply) error {
	snapshot := s.gossip.options.Store.Snapshot().Load()
	if snapshot == nil {
		snapshot = &mirror.Snapshot{}
	}
	packed, err := s.gossip.packer.pack(snapshot, args.Revision, s.gossip.options.Clock.Now())
	reply.Packed = packed
	return err
}

// digest sums up the own domain for a region. The caller holds g.mu.
func (g *Gossip) digest(own *Report, now time.Time, region string) Digest {
	d := Digest{Domain: g.options.Self.Domain, Region: g.options.Self.Region}
	upstreams := make(map[string]Load)
	d.add(own, upstreams)
	for _, report := range g.reports {
		if now.Sub(report.at) <= SilentAfter {
			d.add(&report.value, upstreams)
		}
	}
	d.Services = g.byService(upstreams)
	if region == d.Region {
		d.Upstreams = sorted(upstreams)
	}
	return d
}

func (d *Digest) add(report *Report, upstreams map[string]Load) {
	d.Marks = append(d.Marks, Mark{Name: report.Name, Incarnation: report.Incarnation, Leaving: report.Leaving, Ready: report.Ready})
	d.Store = max(d.Store, report.Store)
	addLoads(upstreams, report.Upstreams)
}

// byService adds loads at upstreams up by service.
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

// take learns from a reply.
func (g *Gossip) take(reply *Reply) {
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range reply.Reports {
		told := &reply.Reports[i]
		g.takeReport(told.Report, now.Add(-told.Age))
	}
	for i := range reply.Digests {
		g.takeDigest(reply.Digests[i], now)
	}
	if reply.Summed {
		g.sums = &heard[[]Load]{value: reply.Sums, at: now}
		g.placed(reply.Placed, false, now)
	}
}

func (g *Gossip) takeReport(report Report, at time.Time) {
	if report.Name == g.options.Self.Name {
		return
	}
	before := g.reports[report.Name]
	if before != nil && !report.newer(&before.value) {
		return
	}
	g.note(before, &report)
	delete(g.avoided, report.Name)
	g.placed(report.Placed, true, at)
	g.reports[report.Name] = &heard[Report]{value: report, at: at}
}

func (g *Gossip) takeDigest(digest Digest, now time.Time) {
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
	g.placed(digest.Placed, false, at)
	g.digests[digest.Domain] = &heard[Digest]{value: digest, at: at, taken: now}
}

// placed passes placements on, to this instance and to those that ask it.
func (g *Gossip) placed(placements []Placement, own bool, at time.Time) {
	g.news.add(placements, own, g.options.Clock.Now())
	if g.options.Placed == nil {
		return
	}
	for _, placement := range placements {
		g.options.Placed(placement, at)
	}
}

// note logs what is new of an instance.
func (g *Gossip) note(before *heard[Report], report *Report) {
	switch {
	case before == nil, before.value.Incarnation != report.Incarnation:
		g.options.Log.Info().Str(event.KeyPeer, report.Name).Msg(string(event.PeerFound))
	case report.Leaving && !before.value.Leaving:
		g.options.Log.Info().Str(event.KeyPeer, report.Name).Msg(string(event.PeerLeaving))
	}
}
