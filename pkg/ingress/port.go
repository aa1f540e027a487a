package ingress

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/lilacweir/lilacweir/pkg/telemetry"
)

// Port bounds the connections of one listener. Its HTTP server must have been set up by Apply.
type Port struct {
	net.Listener
	guard *Guard
	name  string
	// most is the largest number of connections.
	most  int
	mu    sync.Mutex
	conns map[*conn]struct{}
}

// Port returns a port with a number of connections at most.
func (g *Guard) Port(name string, connections int) *Port {
	p := &Port{guard: g, name: name, most: connections, conns: make(map[*conn]struct{})}
	g.add(p)
	return p
}

// Apply sets up the server whose connections the port accepts.
func (p *Port) Apply(server *http.Server) {
	served := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !connOf(r.Context()).serve() {
			panic(http.ErrAbortHandler)
		}
		if r.ContentLength != 0 {
			defer boundDiscard(w, connOf(r.Context()))
		}
		served.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok && state == http.StateIdle {
			p.idle(own)
		}
	}
}

// boundDiscard bounds the time in which the server reads what the handler has left of a body. A connection that is
// closed next is drained by its Close.
func boundDiscard(w http.ResponseWriter, c *conn) {
	until := time.Now().Add(discardTime)
	if c.lingers() {
		until = past
	}
	// A connection without deadlines (a test's recorder) has no slow sender.
	_ = http.NewResponseController(w).SetReadDeadline(until)
}

// Over returns a listener that accepts the port's connections from another one.
func (p *Port) Over(listener net.Listener) net.Listener {
	p.Listener = listener
	return p
}

// Accept implements net.Listener. At the largest number of connections one that waits or has stalled is closed for
// the new one, or the new one if there is none.
func (p *Port) Accept() (net.Conn, error) {
	for {
		accepted, err := p.Listener.Accept()
		if err != nil {
			outOfDescriptors := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
			if outOfDescriptors && p.makeRoom() {
				continue
			}
			return nil, err
		}
		if c := p.admit(accepted); c != nil {
			return c, nil
		}
	}
}

// admit returns the port's connection for an accepted one, nil if it was closed.
func (p *Port) admit(accepted net.Conn) *conn {
	p.mu.Lock()
	full := len(p.conns) >= p.most
	p.mu.Unlock()
	if full && !p.makeRoom() {
		p.guard.recordClosed(p, causeFull, 0)
		_ = accepted.Close()
		return nil
	}
	c := &conn{Conn: accepted, port: p, since: p.guard.now()}
	c.inHead.Store(true)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
	return c
}

// makeRoom closes the connection that is the least loss to its client, and reports whether there was one.
func (p *Port) makeRoom() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen := p.leastLoss(p.guard.now())
	if chosen == nil {
		return false
	}
	p.closeLocked(chosen, causeMadeRoom)
	return true
}

// stalledConn is the time without progress inside a request from which a connection is closed before those that wait
// for a request.
const stalledConn = time.Second

// leastLoss returns the connection to close for a new one, nil if all run requests or read bodies: the longest stalled
// one, else the one that has waited longest for a request, else the oldest with a part of a head. The caller holds p.mu.
func (p *Port) leastLoss(now time.Time) *conn {
	var chosen [ranks]*conn
	for c := range p.conns {
		rank := c.rank(now)
		if rank < ranks && (chosen[rank] == nil || c.since.Before(chosen[rank].since)) {
			chosen[rank] = c
		}
	}
	return cmp.Or(chosen[:]...)
}

// Ranks of connections in the order in which they are closed for new ones.
const (
	rankStalled = iota
	rankWaiting
	rankReadingHead
	// ranks is the number of ranks; connections beyond are kept.
	ranks
)

func (c *conn) rank(now time.Time) int {
	switch {
	case c.phase == waiting:
		return rankWaiting
	case c.phase == serving:
		return ranks
	case now.Sub(c.since) >= stalledConn:
		return rankStalled
	case c.phase == receiving:
		return ranks
	default:
		return rankReadingHead
	}
}

// closeLocked closes a connection that serves no request. The caller holds p.mu.
func (p *Port) closeLocked(c *conn, why cause) {
	c.phase = closed
	delete(p.conns, c)
	p.guard.recordClosed(p, why, 0)
	c.abandon()
}

// idle records that a connection waits for its next request.
func (p *Port) idle(c *conn) {
	c.releaseHead()
	c.head = headMeter{}
	c.enter(waiting)
}

// startLinger reports whether the connection is to be drained before it is closed.
func (p *Port) startLinger(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !c.linger || c.phase == closed {
		return false
	}
	c.linger = false
	c.phase, c.since = lingering, p.guard.now()
	return true
}

func (p *Port) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.phase = closed
	delete(p.conns, c)
}

// sweep closes the connections that have exceeded the time for a head, or for waiting.
func (p *Port) sweep(now time.Time, limits Limits) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		switch took := now.Sub(c.since); {
		case c.phase == waiting && took > limits.Idle:
			p.closeLocked(c, causeIdle)
		case c.phase == readingHead && took > limits.Head:
			p.closeLocked(c, causeSlowHead)
		}
	}
}

// label is the port's metric label; a nil Port stands for connections that no Port accepted.
func (p *Port) label() telemetry.Label {
	name := "none"
	if p != nil {
		name = p.name
	}
	return telemetry.Label{Name: "port", Value: name}
}

func (p *Port) size() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return int64(len(p.conns))
}
