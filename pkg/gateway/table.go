package gateway

import (
	"context"
	"time"

	"github.com/lilacweir/lilacweir/pkg/limit"
	"github.com/lilacweir/lilacweir/pkg/quota"
	"github.com/lilacweir/lilacweir/pkg/route"
)

// compileInterval bounds the age of the time-dependent parts of the table: credits
// and the trust in reports.
const compileInterval = 500 * time.Millisecond

// compileLoop recompiles the table as time passes. Changes of the blackboard are
// compiled by the exchange that delivers them.
func (g *Gateway) compileLoop(ctx context.Context) {
	ticker := time.NewTicker(compileInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.exchange.Lock()
			g.compile()
			g.exchange.Unlock()
			g.queue.Sweep()
		}
	}
}

// compile replaces the table by one of the current sections. Callers hold
// g.exchange.
func (g *Gateway) compile() {
	table := route.Compile(route.Input{
		Head:      g.board.Config.Load(),
		Members:   g.board.Members.Load(),
		Upstreams: g.board.Upstreams.Load(),
		Domains:   g.board.Domains.Load(),
		Self:      g.settings.Instance,
		Domain:    g.settings.Domain,
		Region:    g.settings.Region,
		Spill:     g.spill,
		Previous:  g.table.Load(),
		Now:       g.clock.Now(),
	})
	g.tracker.SetShares(table.Shares())
	previous := g.table.Swap(table)
	g.setCapacities(previous, table)
	g.updateQuota()
}

// refreshCapacities sets the queues to the slots available now, without recompiling
// the table.
func (g *Gateway) refreshCapacities() {
	g.exchange.Lock()
	defer g.exchange.Unlock()
	table := g.table.Load()
	g.setCapacities(table, table)
}

// updateQuota informs the callers' limits of the other gateways that admit
// requests.
func (g *Gateway) updateQuota() {
	view := quota.View{
		Self:    g.settings.Instance,
		Domain:  g.settings.Domain,
		Members: g.board.Members.Load(),
		Remote:  g.board.Domains.Load(),
	}
	if head := g.board.Config.Load(); head != nil {
		for _, region := range head.Declaration.Regions {
			view.Domains = append(view.Domains, region.Domains...)
		}
	}
	g.quota.Update(view)
}

// setCapacities sets each pool's queue to the slots that this gateway has there; a
// removed pool has none.
func (g *Gateway) setCapacities(previous, table *route.Table) {
	removed := make(map[string]bool)
	if previous != nil {
		for _, pool := range previous.Pools() {
			removed[pool.Key] = true
		}
	}
	for _, pool := range table.Pools() {
		delete(removed, pool.Key)
		g.ejector.SetPool(pool.Key, pool.Upstreams)
		g.queue.SetCapacity(pool.Key, table.Slots(pool, localLoad{g}))
	}
	for key := range removed {
		g.ejector.SetPool(key, nil)
		g.queue.SetCapacity(key, 0)
	}
}

// localLoad is this gateway's own knowledge of upstreams, for the table.
type localLoad struct{ *Gateway }

// Load implements route.LocalLoad. An upstream that reported that it is leaving
// gets no new work from the next request on.
func (l localLoad) Load(upstream string) limit.Load {
	load := l.tracker.Load(upstream)
	load.Ejected = load.Ejected || l.marks.marked(upstream)
	return load
}
