package edge

import (
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/httproute"
	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/peer"
)

// instances is how many instances there are, this one included; never fewer than
// are registered.
func (e *Edge) instances() int { return e.countInstances().all }

// regionInstances is how many there are in the own region.
func (e *Edge) regionInstances() int { return e.countInstances().inRegion }

// tally is how many instances there are, by two snapshots of the board. Each request asks
// for it; with 295 instances it takes 0.02 ms to make.
type instanceCounts struct {
	fleet         *fleet.View
	peers         *peer.View
	all, inRegion int
	// regions holds the region of each instance by name.
	regionByName map[string]string
	// parts holds this instance's part of each upstream that names a limit, as far as it was
	// asked for.
	shares sync.Map
	// grew is when region last grew.
	grewAt time.Time
}

// counted counts the instances, once for each of the snapshots.
func (e *Edge) countInstances() *instanceCounts {
	view, peers := e.board.Fleet.Load(), e.gossip.View().Load()
	if last := e.latestCounts.Load(); last != nil && last.fleet == view && last.peers == peers {
		return last
	}
	counted := e.countFrom(view, peers)
	switch last := e.latestCounts.Load(); {
	case last == nil:
		counted.grewAt = e.startedAt
	case counted.inRegion > last.inRegion:
		counted.grewAt = e.now()
	default:
		counted.grewAt = last.grewAt
	}
	e.latestCounts.Store(counted)
	return counted
}

func (e *Edge) countFrom(view *fleet.View, peers *peer.View) *instanceCounts {
	regions := map[string]string{e.self.Name: e.self.Region}
	if view != nil {
		for i := range view.Instances {
			regions[view.Instances[i].Name] = view.Instances[i].Region
		}
	}
	if peers != nil {
		now := e.now()
		for i := range peers.Others {
			if known := &peers.Others[i]; known.Live(now) {
				regions[known.Instance.Name] = known.Instance.Region
			}
		}
	}
	counted := &instanceCounts{fleet: view, peers: peers, all: len(regions), regionByName: regions}
	for _, region := range regions {
		if region == e.self.Region {
			counted.inRegion++
		}
	}
	return counted
}

// leastInstances is how many instances of a region are taken to exist as long as
// none other is known: after a restart of everything each knows only itself.
const minInstances = 3

// coldStart is for how long after its start, and after it has learned of one more instance
// of its region, an instance sends nothing to cold upstreams: what was sent before a restart
// still counts for that long, and while instances appear its share would be too large.
const coldStartDelay = limit.ColdWindow

// admits says whether an upstream may get one more request of this instance, as far as it
// is, or may be, cold.
func (e *Edge) admits(upstream *fleet.Upstream, service *httproute.Service) bool {
	if service.ColdRate == 0 || !e.mayBeCold(upstream, service) {
		return true
	}
	if e.now().Sub(e.startedAt) < coldStartDelay || e.now().Sub(e.countInstances().grewAt) < coldStartDelay {
		return false
	}
	return e.cold.Left(upstream.ID, e.coldAllowance(service), max(minInstances, e.regionInstances()))
}

// coldAllowance is how many requests a second a cold upstream of a service may get of all instances.
func (e *Edge) coldAllowance(service *httproute.Service) float64 {
	return service.ColdRate*e.settings.Limits.ColdFactor + e.settings.Limits.ColdSlack
}

// Roster returns the instances that callers of a host in a region should use: the
// live ones there, else those of the regions that most of the host's routes permit. Its
// routes may exclude each other's regions.
func (e *Edge) Roster(region, host string) []fleet.Instance {
	all := e.usableInstances()
	if near := inRegions(all, func(r string) bool { return r == region }); len(near) > 0 {
		return near
	}
	config := e.board.Routes.Load()
	if config == nil {
		return all
	}
	most := 0
	for _, instance := range all {
		most = max(most, config.PermittedRoutes(host, instance.Region))
	}
	return inRegions(all, func(r string) bool { return config.PermittedRoutes(host, r) == most })
}

func inRegions(all []fleet.Instance, wanted func(region string) bool) []fleet.Instance {
	var kept []fleet.Instance
	for _, instance := range all {
		if wanted(instance.Region) {
			kept = append(kept, instance)
		}
	}
	return kept
}

// usable lists the instances that take callers, this one included unless it leaves.
func (e *Edge) usableInstances() []fleet.Instance {
	byName := make(map[string]fleet.Instance)
	if view := e.board.Fleet.Load(); view != nil {
		for _, instance := range view.Instances {
			byName[instance.Name] = instance
		}
	}
	now := e.now()
	if peers := e.gossip.View().Load(); peers != nil {
		for i := range peers.Others {
			known := &peers.Others[i]
			registered, ok := byName[known.Instance.Name]
			if ok && registered.Incarnation > known.Instance.Incarnation {
				continue
			}
			if known.Leaving || !known.Live(now) {
				delete(byName, known.Instance.Name)
				continue
			}
			byName[known.Instance.Name] = known.Instance
		}
	}
	delete(byName, e.self.Name)
	if !e.Leaving() {
		byName[e.self.Name] = e.self
	}
	list := make([]fleet.Instance, 0, len(byName))
	for _, instance := range byName {
		list = append(list, instance)
	}
	return list
}

// Ready says whether the instance takes callers: it has a configuration and does
// not leave.
func (e *Edge) Ready() bool { return !e.Leaving() && e.board.Routes.Load() != nil }

// Leaving says whether the instance is on its way out.
func (e *Edge) Leaving() bool { return e.leaving.Load() != nil }

// DirectoryTTL is how long callers may keep what Roster says.
func (e *Edge) DirectoryTTL() time.Duration { return e.settings.Limits.DirectoryTTL }
