package command

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// status answers "st" with the rollout of the configuration, the unreachable
// instances and services, and the load of each pool.
func (e *Executor) status(line *Status) Reply {
	if line.Domain != nil {
		domain, err := e.names().domain(*line.Domain)
		if err != nil {
			return refuse(err)
		}
		return e.domainStatus(domain)
	}
	s := e.rollout(e.Board.Config.Load().Revision)
	lines := append(s.lines(), e.platformNotes()...)
	totals := e.totals()
	for _, pool := range slices.Sorted(maps.Keys(totals)) {
		lines = append(lines, totals[pool].line(pool))
	}
	return reply(OK, lines...)
}

// platformNotes reports an unreachable platform.
func (e *Executor) platformNotes() []string {
	health := e.Board.Platform.Load()
	if health == nil || health.KeyValue {
		return nil
	}
	return []string{"platform silent " + age(e.Clock.Now().Sub(health.Since)) + " at " + e.Self.Domain}
}

// load is the load of a pool.
type load struct {
	slots, busy, waiting int
}

// line formats a pool's load, like "lilac-nurse 3/48 busy, 0 wait".
func (l *load) line(name string) string {
	return fmt.Sprintf("%s %d/%d busy, %d wait", name, l.busy, l.slots, l.waiting)
}

// totals returns the load of each pool in all domains, as last reported.
func (e *Executor) totals() map[string]*load {
	totals := e.ownTotals()
	remote := e.Board.Domains.Load()
	if remote == nil {
		return totals
	}
	for _, digest := range remote.Remote {
		addPools(totals, digest.Pools)
	}
	return totals
}

func addPools(totals map[string]*load, pools []board.PoolDigest) {
	for _, pool := range pools {
		total := totals[pool.Serves]
		if total == nil {
			total = new(load)
			totals[pool.Serves] = total
		}
		total.slots += pool.Slots
		total.busy += pool.Busy
		total.waiting += pool.Waiting
	}
}

// ownTotals returns the load of each pool in the local domain.
func (e *Executor) ownTotals() map[string]*load {
	totals := map[string]*load{}
	decl := e.Board.Config.Load().Declaration
	for _, name := range poolNames(decl) {
		totals[name] = new(load)
	}
	reports := e.Board.Upstreams.Load()
	for i := range decl.Upstreams {
		upstream := &decl.Upstreams[i]
		if upstream.Domain != e.Self.Domain || upstream.Drained {
			continue
		}
		total := totals[upstream.Serves]
		total.slots += upstream.Concurrency
		if reports != nil {
			report := reports.ByName[upstream.Name]
			total.busy += report.Running
			total.waiting += report.Queued
		}
	}
	members := e.Board.Members.Load()
	if members == nil {
		return totals
	}
	for _, instance := range members.Instances {
		for pool, waiting := range instance.Load.Waiting {
			if totals[pool] != nil {
				totals[pool].waiting += waiting
			}
		}
	}
	return totals
}

// domainStatus answers "st DOMAIN".
func (e *Executor) domainStatus(domain string) Reply {
	region := domains(e.Board.Config.Load().Declaration)[domain]
	lines := []string{domain + " in " + region}
	if domain == e.Self.Domain {
		lines = append(lines, e.memberLines()...)
		lines = append(lines, e.platformNotes()...)
		return reply(OK, append(lines, poolLines(e.ownTotals())...)...)
	}
	digest := e.digest(domain)
	if digest == nil {
		return reply(OK, append(lines, "not heard yet from here")...)
	}
	if silence := e.Clock.Now().Sub(digest.HeardAt); silence > board.DomainSilentAfter {
		lines = append(lines, "silent "+age(silence)+"; before that:")
	}
	lines = append(lines, fmt.Sprintf("%s, %d silent", instances(digest.Nodes), digest.Silent))
	for _, count := range digest.Revisions {
		if count.Nodes == 0 {
			continue
		}
		lines = append(lines, fmt.Sprintf("%d in force %d/%d", count.Revision, count.Nodes, digest.Nodes))
	}
	if !digest.Platform {
		lines = append(lines, "platform silent there")
	}
	totals := map[string]*load{}
	addPools(totals, digest.Pools)
	return reply(OK, append(lines, poolLines(totals)...)...)
}

func poolLines(totals map[string]*load) []string {
	var lines []string
	for _, pool := range slices.Sorted(maps.Keys(totals)) {
		if totals[pool].slots > 0 || totals[pool].waiting > 0 {
			lines = append(lines, totals[pool].line(pool))
		}
	}
	return lines
}

func (e *Executor) memberLines() []string {
	members := e.Board.Members.Load()
	if members == nil {
		return nil
	}
	var lines []string
	for _, instance := range members.Instances {
		lines = append(lines, fmt.Sprintf("%s %s, has %d", instance.Name, instance.State, instance.Revision))
	}
	return lines
}

// digest returns the last digest of another domain, or nil.
func (e *Executor) digest(domain string) *board.DomainDigest {
	remote := e.Board.Domains.Load()
	if remote == nil {
		return nil
	}
	for i := range remote.Remote {
		if remote.Remote[i].Domain == domain {
			return &remote.Remote[i]
		}
	}
	return nil
}

// pools answers "up" with all pools, one pool by domain, or one upstream.
func (e *Executor) pools(ctx context.Context, request Request, line *Pools) Reply {
	if line.Name == nil {
		return reply(OK, poolLines(e.totals())...)
	}
	decl := e.Board.Config.Load().Declaration
	candidates := append(poolNames(decl), upstreamNames(decl)...)
	name, err := resolve("pool or upstream", *line.Name, candidates)
	if err != nil {
		return refuse(err)
	}
	if slices.Contains(poolNames(decl), name) {
		return e.pool(decl, name)
	}
	upstream, _ := decl.Upstream(name)
	if upstream.Domain == e.Self.Domain {
		return e.upstream(upstream)
	}
	if request.Forwarded {
		return reply(OK, append(declared(upstream), "but its domain passed this on")...)
	}
	answer, err := e.Remote.Ask(ctx, upstream.Domain, request.Operator, "up "+name)
	if err != nil {
		lines := append(declared(upstream), upstream.Domain+" gives no answer now")
		return reply(OK, lines...)
	}
	return answer
}

// pool formats one pool, with a line for each domain: the number of upstreams that
// are not drained, and their load.
func (e *Executor) pool(decl *config.Declaration, name string) Reply {
	counts := map[string]int{}
	drained := map[string]int{}
	for i := range decl.Upstreams {
		upstream := &decl.Upstreams[i]
		if upstream.Serves != name {
			continue
		}
		counts[upstream.Domain]++
		if upstream.Drained {
			drained[upstream.Domain]++
		}
	}
	lines := []string{name}
	for _, domain := range slices.Sorted(maps.Keys(counts)) {
		text := fmt.Sprintf("%s %d/%d up", domain, counts[domain]-drained[domain], counts[domain])
		if load := e.domainLoad(domain, name); load != nil {
			text += fmt.Sprintf(", %d/%d, %d wait", load.busy, load.slots, load.waiting)
		}
		lines = append(lines, text)
	}
	return reply(OK, lines...)
}

// domainLoad returns the load of a pool in one domain, or nil when not known.
func (e *Executor) domainLoad(domain, pool string) *load {
	if domain == e.Self.Domain {
		return e.ownTotals()[pool]
	}
	digest := e.digest(domain)
	if digest == nil {
		return nil
	}
	totals := map[string]*load{}
	addPools(totals, digest.Pools)
	return totals[pool]
}

// declared formats the declaration of an upstream.
func declared(upstream config.Upstream) []string {
	serves := strings.TrimSpace(upstream.Serves + " " + upstream.Version)
	lines := []string{upstream.Name + " at " + upstream.Domain, "serves " + serves}
	if upstream.Drained {
		lines = append(lines, "drained")
	}
	return lines
}

// upstream formats an upstream of the local domain.
func (e *Executor) upstream(upstream config.Upstream) Reply {
	lines := declared(upstream)
	reports := e.Board.Upstreams.Load()
	if reports == nil {
		return reply(OK, append(lines, "not heard yet")...)
	}
	report, ok := reports.ByName[upstream.Name]
	if !ok {
		return reply(OK, append(lines, "not heard yet")...)
	}
	lines = append(lines,
		fmt.Sprintf("%s, told %s ago", report.State, age(e.Clock.Now().Sub(report.ReportedAt))),
		fmt.Sprintf("%d/%d running, %d queued", report.Running, upstream.Concurrency, report.Queued),
	)
	if upstream.Kind == config.KindEngine {
		lines = append(lines, fmt.Sprintf("version %s loaded, %.0f tokens/s", report.Version, report.DecodeRate))
	}
	return reply(OK, lines...)
}
