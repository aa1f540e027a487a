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

// PlainOptions describe a plain service in several regions, and a day.
type PlainOptions struct {
	Regions []PlainRegion
	// Slots is how many calls a server runs at once, Queue how many more it takes; it
	// rejects the rest.
	Slots, Queue int
	// Work is the mean time of a call, exponentially distributed.
	Work, Target time.Duration
	For          time.Duration
	// Told passes between two times that instances hear of the others of their region,
	// Age is how old what they hear is then; FarTold and FarAge are those of other regions.
	Told, Age, FarTold, FarAge time.Duration
	Seed                       uint64
	// Alone keeps calls in their region, the baseline.
	Alone bool
}

// PlainRegion is one region: its servers, its instances and the calls a second that its
// callers make.
type PlainRegion struct {
	Name               string
	Servers, Instances int
	PerSecond          float64
}

// PlainResult is what the callers of one region met. Sends counts arrivals at servers,
// Away the calls that went to another region.
type PlainResult struct{ Asked, InTime, Late, Refused, Sends, Away int }

// plainSends is how often a call is sent before it is refused.
const plainSends = 4

// crossing is the one-way time between two regions.
const crossing = 55 * time.Millisecond

// plainServer is one modelled server. Its queue holds what is to be done at each call's
// end.
type plainServer struct {
	running int
	queue   []func()
}

// plainInstance is one instance that decides.
type plainInstance struct {
	region  string
	tracker *limit.Tracker
	pace    *steer.CallTimes
	others  *peer.View
}

// plainCall is one call on its way.
type plainCall struct {
	request steer.Request
	result  *PlainResult
	asked   time.Time
	sends   int
	// crossed is true in another region than its caller's.
	crossed bool
}

// plainDay is one day.
type plainDay struct {
	timeline.Timeline
	options   PlainOptions
	random    *rand.Rand
	view      *fleet.View
	servers   map[string]*plainServer
	instances map[string][]*plainInstance
	known     map[string][]peer.Known
	// far is the work in each region as other regions were last told.
	far     map[string]int
	service *httproute.Service
	results map[string]*PlainResult
}

// RunPlain plays a day of a plain service, and returns what callers met by region.
func RunPlain(o PlainOptions) map[string]*PlainResult {
	d := &plainDay{
		Timeline: timeline.New(), options: o, random: rand.New(rand.NewPCG(o.Seed, 2)), view: &fleet.View{},
		servers: make(map[string]*plainServer), instances: make(map[string][]*plainInstance), known: make(map[string][]peer.Known),
		far: make(map[string]int), service: &httproute.Service{Name: "api"}, results: make(map[string]*PlainResult),
	}
	d.build()
	end := d.Now().Add(o.For)
	d.Every(o.Told, end, func() { d.tell(end) })
	d.Every(o.FarTold, end, d.tellFar)
	for i := range o.Regions {
		d.results[o.Regions[i].Name] = &PlainResult{}
		d.arrivals(&o.Regions[i], end)
	}
	d.Play()
	return d.results
}

func (d *plainDay) build() {
	for _, region := range d.options.Regions {
		for i := range region.Servers {
			id := fmt.Sprint(region.Name, "-", i)
			d.servers[id] = &plainServer{}
			d.view.Upstreams = append(d.view.Upstreams, fleet.Upstream{ID: id, Service: d.service.Name, Region: region.Name, Domain: region.Name, Slots: d.options.Slots})
		}
		for i := range region.Instances {
			d.known[region.Name] = append(d.known[region.Name], peer.Known{Instance: fleet.Instance{Name: fmt.Sprint(region.Name, "-edge-", i), Region: region.Name}, Ready: true})
			d.instances[region.Name] = append(d.instances[region.Name], &plainInstance{
				region:  region.Name,
				tracker: limit.NewTracker(&d.Timeline, nil),
				pace:    steer.NewCallTimes(),
			})
		}
	}
	d.view.Index()
}

// arrivals schedules a region's calls.
func (d *plainDay) arrivals(region *PlainRegion, end time.Time) {
	wait := time.Duration(d.random.ExpFloat64() / region.PerSecond * float64(time.Second))
	if d.Now().Add(wait).After(end) {
		return
	}
	d.After(wait, func() {
		result := d.results[region.Name]
		result.Asked++
		c := &plainCall{result: result, asked: d.Now()}
		c.request = steer.Request{Route: &httproute.Route{TargetLatency: d.options.Target}, Service: d.service}
		d.decide(d.one(region.Name), c)
		d.arrivals(region, end)
	})
}

// one draws an instance of a region.
func (d *plainDay) one(region string) *plainInstance {
	all := d.instances[region]
	return all[d.random.IntN(len(all))]
}

// decide has an instance send a call, or refuse it.
func (d *plainDay) decide(i *plainInstance, c *plainCall) {
	world := &steer.Snapshot{
		Region: i.region, Fleet: d.view, Peers: i.others, Local: i.tracker, Recent: steer.NewRecentPlacements(), CallTimes: i.pace,
		Estimates: steer.NewEstimator(), Flow: steer.NewFlow(), Now: d.Now(), Random: d.random.Uint64(),
		Admits: func(*fleet.Upstream, *httproute.Service) bool { return true },
	}
	survey := world.SurveyRegion(&c.request)
	if !c.crossed && !d.options.Alone {
		if away := world.Choose(&c.request, survey, world.Regions(&c.request)); away != nil {
			c.crossed = true
			c.result.Away++
			d.After(crossing, func() { d.decide(d.one(away.Region), c) })
			return
		}
	}
	if survey.Best.Upstream == nil || c.sends == plainSends {
		c.result.Refused++
		return
	}
	d.send(i, c, survey.Best)
}

// send has a server run a call, queue it or reject it.
func (d *plainDay) send(i *plainInstance, c *plainCall, to steer.Candidate) {
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
		i.pace.Add(d.service.Name, &to, d.Now().Sub(sent))
		d.answered(c)
	})
	d.work(server)
}

// work has a server run what waits, as far as slots are free.
func (d *plainDay) work(server *plainServer) {
	for server.running < d.options.Slots && len(server.queue) > 0 {
		ended := server.queue[0]
		server.queue = server.queue[1:]
		server.running++
		d.After(time.Duration(d.random.ExpFloat64()*float64(d.options.Work)), func() {
			server.running--
			ended()
			d.work(server)
		})
	}
}

// answered counts an answer, by when it comes to the caller.
func (d *plainDay) answered(c *plainCall) {
	took := d.Now().Sub(c.asked)
	if c.crossed {
		took += crossing
	}
	if took <= d.options.Target {
		c.result.InTime++
	} else {
		c.result.Late++
	}
}

// tell brings to all instances what the others of their region have in hand, and what is
// known of other regions.
func (d *plainDay) tell(end time.Time) {
	type report struct {
		to    *plainInstance
		loads []peer.Load
	}
	var reports []report
	for _, region := range d.options.Regions {
		for _, i := range d.instances[region.Name] {
			reports = append(reports, report{i, d.othersOf(i)})
		}
	}
	taken := d.Now()
	bring := func() {
		for _, r := range reports {
			r.to.others = peer.NewView(d.others(r.to), r.loads, taken)
			for region, work := range d.far {
				if region != r.to.region {
					r.to.others.AddService(region, peer.Load{Name: d.service.Name, InFlight: work})
				}
			}
		}
	}
	if taken.Add(d.options.Age).Before(end) {
		d.After(d.options.Age, bring)
	}
	if d.instances[d.options.Regions[0].Name][0].others == nil {
		bring()
	}
}

// othersOf is the work of the others of an instance's region by server.
func (d *plainDay) othersOf(i *plainInstance) []peer.Load {
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

// others lists the other instances of a region, and one of each other region.
func (d *plainDay) others(i *plainInstance) []peer.Known {
	others := append([]peer.Known(nil), d.known[i.region][1:]...)
	for _, region := range d.options.Regions {
		if region.Name != i.region {
			others = append(others, d.known[region.Name][0])
		}
	}
	for n := range others {
		others[n].ReportedAt = d.Now()
	}
	return others
}

// tellFar brings each region's work to the others.
func (d *plainDay) tellFar() {
	work := make(map[string]int)
	for n := range d.view.Upstreams {
		server := d.servers[d.view.Upstreams[n].ID]
		work[d.view.Upstreams[n].Region] += server.running + len(server.queue)
	}
	d.After(d.options.FarAge, func() { d.far = work })
}

// PlainPeak is a deployment of three regions whose peaks come one after another: the
// first is offered so many times what its servers can run, the others a tenth of it.
func PlainPeak(times float64, instances int) PlainOptions {
	o := PlainOptions{
		Slots: 6, Queue: 8, Work: 60 * time.Millisecond, Target: 500 * time.Millisecond, For: 10 * time.Second,
		Told: 100 * time.Millisecond, Age: 60 * time.Millisecond, FarTold: 600 * time.Millisecond, FarAge: 100 * time.Millisecond,
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
