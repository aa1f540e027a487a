package emulator

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/peer"
	"github.com/lilacweir/lilacweir/pkg/steer"
	"github.com/lilacweir/lilacweir/pkg/timeline"
)

// PlainOptions describe a plain service in several regions and its load.
type PlainOptions struct {
	Regions []PlainRegion
	// Slots is the number of calls that a server runs concurrently, Queue the number that
	// it queues. It rejects the rest.
	Slots, Queue int
	// Work is the mean duration of a call, exponentially distributed.
	Work, Target time.Duration
	Length       time.Duration
	// ReportInterval is the time between reports within a region, ReportAge their age when
	// they are received. RemoteReportInterval and RemoteReportAge are those of reports
	// from other regions.
	ReportInterval, ReportAge, RemoteReportInterval, RemoteReportAge time.Duration
	Seed                                                             uint64
	// LocalOnly keeps calls in their region, as the baseline.
	LocalOnly bool
}

// PlainRegion is one region: its servers, its instances and the calls a second of its
// callers.
type PlainRegion struct {
	Name               string
	Servers, Instances int
	PerSecond          float64
}

// PlainResult counts the calls of one region by outcome. Sends counts arrivals at servers,
// Remote the calls forwarded to another region.
type PlainResult struct{ Calls, InTime, Late, Refused, Sends, Remote int }

// maxPlainSends is the number of times that a call is sent before it is refused.
const maxPlainSends = 4

// interRegionDelay is the one-way time between two regions.
const interRegionDelay = 55 * time.Millisecond

// plainServer is an emulated server. Its queue holds a completion callback for each call.
type plainServer struct {
	running int
	queue   []func()
}

// plainInstance is an emulated instance.
type plainInstance struct {
	region    string
	tracker   *limit.Tracker
	callTimes *steer.CallTimes
	peers     *peer.View
}

// plainCall is a call in progress.
type plainCall struct {
	request   steer.Request
	result    *PlainResult
	arrivedAt time.Time
	sends     int
	// remote is true once the call was forwarded to another region than its caller's.
	remote bool
}

// plainEmulation is the state of one run.
type plainEmulation struct {
	timeline.Timeline
	options   PlainOptions
	random    *rand.Rand
	view      *fleet.View
	servers   map[string]*plainServer
	instances map[string][]*plainInstance
	known     map[string][]peer.Known
	// remoteWork is the work of each region in its last report to other regions.
	remoteWork map[string]int
	service    *httproute.Service
	results    map[string]*PlainResult
}

// RunPlain emulates a plain service and returns the results by region of the caller.
func RunPlain(o PlainOptions) map[string]*PlainResult {
	d := &plainEmulation{
		Timeline: timeline.New(), options: o, random: rand.New(rand.NewPCG(o.Seed, 2)), view: &fleet.View{},
		servers: make(map[string]*plainServer), instances: make(map[string][]*plainInstance), known: make(map[string][]peer.Known),
		remoteWork: make(map[string]int), service: &httproute.Service{Name: "api"}, results: make(map[string]*PlainResult),
	}
	d.build()
	end := d.Now().Add(o.Length)
	d.Every(o.ReportInterval, end, func() { d.reportLoads(end) })
	d.Every(o.RemoteReportInterval, end, d.reportRegions)
	for i := range o.Regions {
		d.results[o.Regions[i].Name] = &PlainResult{}
		d.arrivals(&o.Regions[i], end)
	}
	d.Run()
	return d.results
}

func (d *plainEmulation) build() {
	for _, region := range d.options.Regions {
		for i := range region.Servers {
			id := fmt.Sprint(region.Name, "-", i)
			d.servers[id] = &plainServer{}
			d.view.Upstreams = append(d.view.Upstreams, fleet.Upstream{ID: id, Service: d.service.Name, Region: region.Name, Domain: region.Name, Slots: d.options.Slots})
		}
		for i := range region.Instances {
			d.known[region.Name] = append(d.known[region.Name], peer.Known{Instance: fleet.Instance{Name: fmt.Sprint(region.Name, "-edge-", i), Region: region.Name}, Ready: true})
			d.instances[region.Name] = append(d.instances[region.Name], &plainInstance{
				region:    region.Name,
				tracker:   limit.NewTracker(&d.Timeline, nil),
				callTimes: steer.NewCallTimes(),
			})
		}
	}
	d.view.Index()
}

// arrivals schedules a region's calls.
func (d *plainEmulation) arrivals(region *PlainRegion, end time.Time) {
	wait := time.Duration(d.random.ExpFloat64() / region.PerSecond * float64(time.Second))
	if d.Now().Add(wait).After(end) {
		return
	}
	d.After(wait, func() {
		result := d.results[region.Name]
		result.Calls++
		c := &plainCall{result: result, arrivedAt: d.Now()}
		c.request = steer.Request{Route: &httproute.Route{TargetLatency: d.options.Target}, Service: d.service}
		d.decide(d.pickInstance(region.Name), c)
		d.arrivals(region, end)
	})
}

// pickInstance returns a random instance of a region.
func (d *plainEmulation) pickInstance(region string) *plainInstance {
	all := d.instances[region]
	return all[d.random.IntN(len(all))]
}

// decide sends, forwards or refuses a call at an instance.
func (d *plainEmulation) decide(i *plainInstance, c *plainCall) {
	snapshot := &steer.Snapshot{
		Region: i.region, Fleet: d.view, Peers: i.peers, Local: i.tracker, Recent: steer.NewRecentPlacements(), CallTimes: i.callTimes,
		Estimates: steer.NewEstimator(), Flow: steer.NewFlow(), Now: d.Now(), Random: d.random.Uint64(),
		Admits: func(*fleet.Upstream, *httproute.Service) bool { return true },
	}
	survey := snapshot.SurveyRegion(&c.request)
	if !c.remote && !d.options.LocalOnly {
		if choice := snapshot.Choose(&c.request, survey, snapshot.Regions(&c.request)); choice != nil {
			c.remote = true
			c.result.Remote++
			d.After(interRegionDelay, func() { d.decide(d.pickInstance(choice.Region), c) })
			return
		}
	}
	if survey.Best.Upstream == nil || c.sends == maxPlainSends {
		c.result.Refused++
		return
	}
	d.send(i, c, survey.Best)
}

// send sends a call to a server, which runs, queues or rejects it.
func (d *plainEmulation) send(i *plainInstance, c *plainCall, to steer.Candidate) {
	c.sends++
	c.result.Sends++
	flight, ok := i.tracker.Start(to.Upstream.ID, 0, 0)
	server := d.servers[to.Upstream.ID]
	if !ok || server.running+len(server.queue) >= d.options.Slots+d.options.Queue {
		if ok {
			flight.Done(limit.Rejected)
		}
		c.request.Tried = append(c.request.Tried, to.Upstream.ID)
		d.After(time.Millisecond, func() { d.decide(i, c) })
		return
	}
	sent := d.Now()
	server.queue = append(server.queue, func() {
		flight.Done(limit.Succeeded)
		i.callTimes.Add(d.service.Name, &to, d.Now().Sub(sent))
		d.recordAnswer(c)
	})
	d.runQueued(server)
}

// runQueued starts queued calls of a server while slots are free.
func (d *plainEmulation) runQueued(server *plainServer) {
	for server.running < d.options.Slots && len(server.queue) > 0 {
		ended := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		d.After(time.Duration(d.random.ExpFloat64()*float64(d.options.Work)), func() {
			server.running--
			ended()
			d.runQueued(server)
		})
	}
}

// recordAnswer counts an answer as in time or late, on arrival at the caller.
func (d *plainEmulation) recordAnswer(c *plainCall) {
	took := d.Now().Sub(c.arrivedAt)
	if c.remote {
		took += interRegionDelay
	}
	if took <= d.options.Target {
		c.result.InTime++
	} else {
		c.result.Late++
	}
}

// reportLoads sends to all instances the work of the others of their region, and the last
// reports from other regions.
func (d *plainEmulation) reportLoads(end time.Time) {
	type report struct {
		to    *plainInstance
		loads []peer.Load
	}
	var reports []report
	for _, region := range d.options.Regions {
		for _, i := range d.instances[region.Name] {
			reports = append(reports, report{i, d.peerLoads(i)})
		}
	}
	taken := d.Now()
	deliver := func() {
		for _, r := range reports {
			r.to.peers = peer.NewView(d.knownPeers(r.to), r.loads, taken)
			for region, work := range d.remoteWork {
				if region != r.to.region {
					r.to.peers.AddService(region, peer.Load{Name: d.service.Name, InFlight: work})
				}
			}
		}
	}
	if taken.Add(d.options.ReportAge).Before(end) {
		d.After(d.options.ReportAge, deliver)
	}
	if d.instances[d.options.Regions[0].Name][0].peers == nil {
		deliver()
	}
}

// peerLoads returns the work by server of the other instances in an instance's region.
func (d *plainEmulation) peerLoads(i *plainInstance) []peer.Load {
	var loads []peer.Load
	for n := range d.view.Upstreams {
		id := d.view.Upstreams[n].ID
		if d.view.Upstreams[n].Region == i.region {
			server := d.servers[id]
			loads = append(loads, peer.Load{Name: id, InFlight: server.running + len(server.queue) - i.tracker.Load(id).InFlight})
		}
	}
	return loads
}

// knownPeers returns the other instances of a region, and one of each other region.
func (d *plainEmulation) knownPeers(i *plainInstance) []peer.Known {
	knownPeers := append([]peer.Known(nil), d.known[i.region][1:]...)
	for _, region := range d.options.Regions {
		if region.Name != i.region {
			knownPeers = append(knownPeers, d.known[region.Name][0])
		}
	}
	for n := range knownPeers {
		knownPeers[n].ReportedAt = d.Now()
	}
	return knownPeers
}

// reportRegions sends the work of each region to the others.
func (d *plainEmulation) reportRegions() {
	work := make(map[string]int)
	for n := range d.view.Upstreams {
		server := d.servers[d.view.Upstreams[n].ID]
		work[d.view.Upstreams[n].Region] += server.running + len(server.queue)
	}
	d.After(d.options.RemoteReportAge, func() { d.remoteWork = work })
}

// PlainPeak returns a deployment of three regions with peaks at different times. The load
// of the first is the given multiple of its capacity, that of the others a tenth of it.
func PlainPeak(times float64, instances int) PlainOptions {
	o := PlainOptions{
		Slots: 6, Queue: 8, Work: 60 * time.Millisecond, Target: 500 * time.Millisecond, Length: 10 * time.Second,
		ReportInterval: 100 * time.Millisecond, ReportAge: 60 * time.Millisecond, RemoteReportInterval: 600 * time.Millisecond, RemoteReportAge: 100 * time.Millisecond,
	}
	const servers = 4
	capacity := float64(servers*o.Slots) / o.Work.Seconds()
	for i, name := range []string{"north", "south", "west"} {
		offered := times * capacity
		if i > 0 {
			offered = capacity / 10
		}
		o.Regions = append(o.Regions, PlainRegion{Name: name, Servers: servers, Instances: instances, PerSecond: offered})
	}
	o.Seed = member.Key("plain", fmt.Sprint(times))
	return o
}
