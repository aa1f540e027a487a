// Package ingress bounds what the clients of a process hold of it together, whatever each of them does: memory
// for heads and bodies, and connections.
//
// Guarantees: only what has arrived counts as held. Memory that a client holds without making progress goes to
// others that need it; so do its connection, and connections that wait for a request. A request that has arrived
// keeps both until its end. Nothing is refused while there is room. A request that is refused here was not passed
// on to anything.
package ingress

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// Limits bound the time of one client.
type Limits struct {
	// Head is the time for a request's head, from its first byte on, and Idle that without a byte of one.
	Head, Idle time.Duration
}

// Default limits.
const (
	DefaultHeadTime = 10 * time.Second
	DefaultIdleTime = 2 * time.Minute
	// DefaultMemory is what clients of a process without a memory limit may hold, in bytes.
	DefaultMemory = 256 << 20
)

// Options are the options of a Guard.
type Options struct {
	// Memory is what the clients may hold, in bytes. A request whose limit exceeds it raises it, up to MaxMemory.
	Memory, MaxMemory int64
	// Limits returns the limits in force; the defaults apply if it is nil, or where it returns zero.
	Limits func() Limits
	Now    func() time.Time
	Log    zerolog.Logger
	Series *telemetry.Series
}

// Guard bounds the clients of all ports of a process.
type Guard struct {
	memory *Memory
	limits func() Limits
	now    func() time.Time
	log    zerolog.Logger
	lines  lineBudget
	series *telemetry.Series
	mu     sync.Mutex
	ports  []*Port
}

// New returns a guard without ports.
func New(options Options) *Guard {
	g := &Guard{
		memory: NewMemory(options.Memory, options.MaxMemory, options.Now), limits: options.Limits, now: options.Now,
		log: options.Log, series: options.Series,
	}
	if g.limits == nil {
		g.limits = func() Limits { return Limits{} }
	}
	return g
}

// Memory returns the memory of the clients.
func (g *Guard) Memory() *Memory { return g.memory }

func (g *Guard) add(p *Port) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ports = append(g.ports, p)
}

// sweepInterval is the interval at which Run calls Sweep.
const sweepInterval = time.Second

// Run calls Sweep until ctx ends.
func (g *Guard) Run(ctx context.Context) {
	for clock.Sleep(ctx, sweepInterval) {
		g.Sweep()
	}
}

// Sweep closes the connections that have exceeded a time limit, and updates the gauges.
func (g *Guard) Sweep() {
	limits := g.limits()
	if limits.Head == 0 {
		limits.Head = DefaultHeadTime
	}
	if limits.Idle == 0 {
		limits.Idle = DefaultIdleTime
	}
	g.mu.Lock()
	ports := g.ports
	g.mu.Unlock()
	now := g.now()
	for _, p := range ports {
		p.sweep(now, limits)
		g.series.Gauge("clients.connections", p.label()).Update(p.size())
		g.series.Gauge("clients.connections_limit", p.label()).Update(int64(p.most))
	}
	used, limit := g.memory.Used()
	g.series.Gauge("clients.memory").Update(used)
	g.series.Gauge("clients.memory_limit").Update(limit)
}

// cause is why a connection was closed, or a request refused.
type cause string

const (
	// causeIdle and causeSlowHead are time limits.
	causeIdle     cause = "idle"
	causeSlowHead cause = "slow-head"
	// causeFull means that all connections of the port serve requests.
	causeFull cause = "connections"
	// causeMadeRoom means that a new connection took its place.
	causeMadeRoom cause = "made-room"
	// causeMemory and causeStalled are ErrMemory and ErrStalled.
	causeMemory  cause = "memory"
	causeStalled cause = "stalled"
	// causeTooLarge is a TooLargeError, and causeBroken a body that ended or was too slow.
	causeTooLarge cause = "too-large"
	causeBroken   cause = "broken"
)

// causeOf returns why a body was not read.
func causeOf(err error) cause {
	var tooLarge *TooLargeError
	switch {
	case errors.Is(err, ErrMemory):
		return causeMemory
	case errors.Is(err, ErrStalled):
		return causeStalled
	case errors.As(err, &tooLarge):
		return causeTooLarge
	default:
		return causeBroken
	}
}

// recordClosed counts and logs a connection that was closed outside a request that runs, with the cost of its head.
func (g *Guard) recordClosed(p *Port, why cause, bytes int64) {
	g.series.Counter("clients.closed", p.label(), reasonLabel(why)).Inc(1)
	if why != causeIdle {
		g.writeLine(event.ClientClosed, p, why, bytes)
	}
}

// recordRefused counts and logs a request whose body was not read, with its announced length, -1 if unknown.
func (g *Guard) recordRefused(p *Port, err error, bytes int64) {
	why := causeOf(err)
	g.series.Counter("clients.refused", p.label(), reasonLabel(why)).Inc(1)
	g.writeLine(event.ClientRefused, p, why, bytes)
}

func reasonLabel(why cause) telemetry.Label {
	return telemetry.Label{Name: "reason", Value: string(why)}
}

// writeLine logs what was recorded, within the budget of lines.
func (g *Guard) writeLine(name event.Name, p *Port, why cause, bytes int64) {
	write, leftOut := g.lines.take(g.now())
	if !write {
		return
	}
	used, limit := g.memory.Used()
	g.log.Warn().Str(event.KeyPort, p.label().Value).Str(event.KeyReason, string(why)).Int64(event.KeyBytes, bytes).
		Int64(event.KeyUsed, used).Int64(event.KeyLimit, limit).Int64(event.KeyLeftOut, leftOut).Msg(string(name))
}

// linesPerSecond bounds the log lines about clients.
const linesPerSecond = 5

// lineBudget permits linesPerSecond lines and counts the others.
type lineBudget struct {
	mu sync.Mutex
	// since is the begin of the present second.
	since   time.Time
	written int
	leftOut int64
}

// take reports whether a line may be written, and how many were left out before it.
func (b *lineBudget) take(now time.Time) (write bool, leftOut int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.since) >= time.Second {
		b.since, b.written = now, 0
	}
	if b.written == linesPerSecond {
		b.leftOut++
		return false, 0
	}
	b.written++
	leftOut, b.leftOut = b.leftOut, 0
	return true, leftOut
}
