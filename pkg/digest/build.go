// Package digest builds the digest of a few hundred bytes in which a failure domain reports its
// capacity to the others, and merges the digests of the others.
//
// The package does no input or output; the caller gives the time.
package digest

import (
	"sort"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/quota"
)

// ReservePercent of a pool's slots is kept for the domain's own callers and is
// never offered to others.
const ReservePercent = 20

const percent = 100

// Input is the state from which a domain's digest is built.
type Input struct {
	Domain, Region string
	// Now is the time of the builder's clock. Sequence orders digests: the Unix time in nanoseconds of
	// the builder's start, and the time since.
	Now       time.Time
	Sequence  uint64
	Members   *board.Members
	Upstreams *board.Upstreams
	Head      *config.Head
	Platform  bool
}

// Build builds the digest of the own domain.
func Build(in Input) board.DomainDigest {
	d := board.DomainDigest{Domain: in.Domain, Region: in.Region, Sequence: in.Sequence, Platform: in.Platform}
	if in.Members != nil {
		addMembers(&d, in.Members.Instances)
		d.Demand = quota.DomainDemand(in.Members.Instances, in.Now)
	}
	if in.Head != nil && in.Head.Declaration != nil {
		d.Pools = pools(in)
	}
	return d
}

func addMembers(d *board.DomainDigest, instances []board.Instance) {
	counts := make(map[config.Revision]int)
	for i := range instances {
		instance := &instances[i]
		if instance.State == board.InstanceLeft {
			continue
		}
		d.Nodes++
		if instance.State == board.InstanceSilent {
			d.Silent++
			continue
		}
		counts[instance.Revision]++
		if instance.Serves() {
			d.Entries = append(d.Entries, entryOf(instance))
		}
	}
	for revision, nodes := range counts {
		d.Revisions = append(d.Revisions, board.RevisionCount{Revision: revision, Nodes: nodes})
	}
	sort.Slice(d.Revisions, func(i, j int) bool { return d.Revisions[i].Revision > d.Revisions[j].Revision })
}

// entryOf returns the fields that other domains need: identity, state and addresses.
func entryOf(instance *board.Instance) board.Instance {
	return board.Instance{
		Name: instance.Name, Domain: instance.Domain, Region: instance.Region,
		Incarnation: instance.Incarnation, State: instance.State, Addresses: instance.Addresses,
	}
}

type poolKey struct{ serves, version string }

type pool struct {
	board.PoolDigest
	rated int
}

func pools(in Input) []board.PoolDigest {
	inFlight := inFlightByUpstream(in.Members)
	byKey := make(map[poolKey]*pool)
	for i := range in.Head.Declaration.Upstreams {
		upstream := &in.Head.Declaration.Upstreams[i]
		if upstream.Domain != in.Domain || upstream.Drained {
			continue
		}
		load, known := loadOf(in.Upstreams, upstream.Name)
		if !known || load.State != board.UpstreamLive {
			continue
		}
		addUpstream(byKey, upstream, load, inFlight[upstream.Name])
	}
	addWaiting(byKey, in.Members)
	return poolDigests(byKey)
}

func addUpstream(byKey map[poolKey]*pool, upstream *config.Upstream, load board.UpstreamLoad, inFlight int) {
	version := upstream.Version
	if load.Version != "" {
		version = load.Version
	}
	key := poolKey{serves: upstream.Serves, version: version}
	p, ok := byKey[key]
	if !ok {
		p = &pool{PoolDigest: board.PoolDigest{Serves: key.serves, Version: key.version}}
		byKey[key] = p
	}
	p.Slots += upstream.Concurrency
	// Upstreams' reports are delayed, and the gateways' counts lack other senders.
	busy := max(load.Running+load.Queued, inFlight)
	p.Busy += min(busy, upstream.Concurrency)
	p.Waiting += max(busy-upstream.Concurrency, 0)
	if load.DecodeRate > 0 {
		p.DecodeRate += load.DecodeRate
		p.PrefillRate += load.PrefillRate
		p.rated++
	}
}

// addWaiting adds the gateways' queues to the largest pool of the model or service that the
// requests wait for.
func addWaiting(byKey map[poolKey]*pool, members *board.Members) {
	if members == nil {
		return
	}
	for i := range members.Instances {
		if !loadIsCurrent(&members.Instances[i]) {
			continue
		}
		for serves, waiting := range members.Instances[i].Load.Waiting {
			if p := largest(byKey, serves); p != nil {
				p.Waiting += waiting
			}
		}
	}
}

func largest(byKey map[poolKey]*pool, serves string) *pool {
	var best *pool
	for key, p := range byKey {
		if key.serves != serves {
			continue
		}
		if best == nil || p.Slots > best.Slots || (p.Slots == best.Slots && p.Version < best.Version) {
			best = p
		}
	}
	return best
}

func poolDigests(byKey map[poolKey]*pool) []board.PoolDigest {
	list := make([]board.PoolDigest, 0, len(byKey))
	for _, p := range byKey {
		if p.rated > 0 {
			p.DecodeRate /= float64(p.rated)
			p.PrefillRate /= float64(p.rated)
		}
		reserve := (p.Slots*ReservePercent + percent - 1) / percent
		p.Spare = max(p.Slots-p.Busy-p.Waiting-reserve, 0)
		list = append(list, p.PoolDigest)
	}
	sort.Slice(list, func(i, j int) bool {
		if list[i].Serves != list[j].Serves {
			return list[i].Serves < list[j].Serves
		}
		return list[i].Version < list[j].Version
	})
	return list
}

func inFlightByUpstream(members *board.Members) map[string]int {
	sum := make(map[string]int)
	if members == nil {
		return sum
	}
	for i := range members.Instances {
		if !loadIsCurrent(&members.Instances[i]) {
			continue
		}
		for name, n := range members.Instances[i].Load.InFlight {
			sum[name] += n
		}
	}
	return sum
}

func loadOf(upstreams *board.Upstreams, name string) (board.UpstreamLoad, bool) {
	if upstreams == nil {
		return board.UpstreamLoad{}, false
	}
	load, ok := upstreams.ByName[name]
	return load, ok
}

// loadIsCurrent reports whether the instance's last load still counts.
func loadIsCurrent(instance *board.Instance) bool {
	return instance.State == board.InstanceLive || instance.State == board.InstanceLeaving
}
