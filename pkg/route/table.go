package route

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// Input is what a Table is compiled from. Sections that are not known are nil.
type Input struct {
	Head      *config.Head
	Members   *board.Members
	Upstreams *board.Upstreams
	Domains   *board.Domains
	// Self, Domain and Region are this instance's name, failure domain and region.
	Self, Domain, Region string
	// Links holds measured one-way delays by failure domain; for a missing one a default by
	// region is used.
	Links map[string]time.Duration
	// Spill holds the counts of forwarded requests across successive tables; nil starts new
	// ones.
	Spill *SpillState
	// Previous is the table that this one replaces, if any.
	Previous *Table
	// Strategy replaces DefaultStrategy, for comparisons.
	Strategy *Strategy
	// Now is the present time.
	Now time.Time
}

// Table is an immutable, compiled view of everything that decisions read.
type Table struct {
	domain, region string
	revision       config.Revision
	policy         config.Policy
	pools          map[poolID]*pool
	models         map[string]*config.Model
	services       map[string]*config.Service
	spill          *SpillState
	rules          map[string]int // percent by destination region
	usableSince    map[string]time.Time
	strategy       Strategy
	compiled       time.Time
}

type poolID struct{ serves, version string }

// pool holds the upstreams and remote pools that serve one model version or one service.
type pool struct {
	id      poolID
	key     string
	locals  []candidate
	groups  []group
	hints   map[uint64][]int32
	remotes []remote
	// mean is the mean of the candidates' others, peers the number of the domain's other
	// gateways.
	mean, peers float64
}

// Compile builds a Table. A nil Head gives a table that refuses everything.
func Compile(in Input) *Table {
	t := &Table{
		domain: in.Domain, region: in.Region,
		pools:       map[poolID]*pool{},
		models:      map[string]*config.Model{},
		services:    map[string]*config.Service{},
		rules:       map[string]int{},
		usableSince: map[string]time.Time{},
		spill:       in.Spill,
		compiled:    in.Now,
	}
	if t.spill == nil {
		t.spill = NewSpillState()
	}
	if in.Head == nil || in.Head.Declaration == nil {
		return t
	}
	t.revision = in.Head.Revision
	t.index(in.Head.Declaration)
	t.strategy = DefaultStrategy(t.policy.CostWeight)
	if in.Strategy != nil {
		t.strategy = *in.Strategy
	}
	t.compileLocals(&in)
	t.compileRemotes(&in)
	for _, p := range t.pools {
		p.finish()
	}
	return t
}

// Revision is the configuration that the table was compiled from; zero for none.
func (t *Table) Revision() config.Revision { return t.revision }

// PoolInfo describes the local upstreams of one pool.
type PoolInfo struct {
	// Key is PoolKey(serves, version).
	Key string
	// Upstreams names the usable ones.
	Upstreams []string
}

// Pools lists the pools that have local upstreams, sorted by key.
func (t *Table) Pools() []PoolInfo {
	var infos []PoolInfo
	for _, p := range t.pools {
		if len(p.locals) == 0 {
			continue
		}
		info := PoolInfo{Key: p.key}
		for i := range p.locals {
			info.Upstreams = append(info.Upstreams, p.locals[i].upstream.Name)
		}
		infos = append(infos, info)
	}
	slices.SortFunc(infos, func(a, b PoolInfo) int { return compareStrings(a.Key, b.Key) })
	return infos
}

// Shares returns this gateway's share of each local upstream's concurrency.
func (t *Table) Shares() map[string]int {
	shares := map[string]int{}
	for _, p := range t.pools {
		for i := range p.locals {
			shares[p.locals[i].upstream.Name] = p.locals[i].share
		}
	}
	return shares
}

// Slots returns how many requests of a pool this gateway may run at once, the capacity of
// its queue.
//
// Upstreams that are backing off offer no slots, unless all are: a backoff ends before the
// next table is compiled.
func (t *Table) Slots(info PoolInfo, load LocalLoad) int {
	available, backingOff := 0, 0
	for _, name := range info.Upstreams {
		l := load.Load(name)
		switch {
		case l.Ejected:
		case l.Backoff > 0:
			backingOff += l.Limit
		default:
			available += l.Limit
		}
	}
	if available == 0 {
		return backingOff
	}
	return available
}

func (t *Table) index(d *config.Declaration) {
	t.policy = d.Policy
	for i := range d.Models {
		t.models[d.Models[i].Name] = &d.Models[i]
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for _, rule := range d.Spill {
		if rule.From == t.region {
			t.rules[rule.To] = rule.Percent
		}
	}
}

func (t *Table) pool(id poolID) *pool {
	p := t.pools[id]
	if p == nil {
		p = &pool{id: id, key: PoolKey(id.serves, id.version), hints: map[uint64][]int32{}}
		t.pools[id] = p
	}
	return p
}
