// Package simnet is a network in memory for tests: processes of several regions listen on it and
// connect over it in virtual time, and it can be partitioned.
package simnet

import (
	"bytes"
	"context"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// Network connects processes in memory, so that a whole deployment runs in virtual time.
// Connections between regions are slow. An address without a listener refuses.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	regions   map[string]string
	// partitioned holds the processes that are partitioned from those that are named in peers.
	partitioned map[string]bool
	peers       map[string]bool
	// homes holds the region of each process, and partitionedRegions the regions that are
	// partitioned from all others.
	homes              map[string]string
	partitionedRegions map[string]bool
	// withoutEngines holds how each process is partitioned from all engines.
	withoutEngines map[string]EnginePartition
}

// EnginePartition is the way in which a process is partitioned from all engines.
type EnginePartition int

// Ways of a partition.
const (
	NotPartitioned EnginePartition = iota
	// Silent: no data arrives, and connections are not made.
	Silent
	// Refusing: connections are reset, and new ones refused.
	Refusing
	// RefusingNew: new connections are refused, and others live on.
	RefusingNew
)

// InterRegionDelay is the one-way delay of a connection between regions.
const InterRegionDelay = 55 * time.Millisecond

// New returns a network without processes.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener), regions: make(map[string]string), partitioned: make(map[string]bool), peers: make(map[string]bool),
		homes: make(map[string]string), partitionedRegions: make(map[string]bool), withoutEngines: make(map[string]EnginePartition),
	}
}

// SetRegion sets the region of an address.
func (n *Network) SetRegion(address, region string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.regions[address] = region
}

// AddPeer adds a process to those that SetPartitioned and SetRegionPartitioned separate.
func (n *Network) AddPeer(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[name] = true
}

// SetPartitioned starts or ends a partition between a process and its peers. Data sent between
// them is lost.
func (n *Network) SetPartitioned(name string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[name] = partitioned
}

// SetRegionPartitioned starts or ends a partition between a region and the others.
func (n *Network) SetRegionPartitioned(region string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitionedRegions[region] = partitioned
}

// IsPartitioned reports whether a region is partitioned from the others.
func (n *Network) IsPartitioned(region string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitionedRegions[region]
}

// SetWithoutEngines starts or ends a partition between a process and all engines.
func (n *Network) SetWithoutEngines(endpoint *Endpoint, partition EnginePartition) {
	n.mu.Lock()
	n.withoutEngines[endpoint.name] = partition
	n.mu.Unlock()
	if partition == Refusing {
		endpoint.resetEngines()
	}
}

// partitionFromEngine returns the partition between two processes, one of which is an engine.
func (n *Network) partitionFromEngine(one, other string) EnginePartition {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.engineCut(one, other)
}

// engineCut is partitionFromEngine. The caller holds n.mu.
func (n *Network) engineCut(one, other string) EnginePartition {
	if isEngine(one) == isEngine(other) {
		return NotPartitioned
	}
	return max(n.withoutEngines[one], n.withoutEngines[other])
}

// isEngine reports whether an address or process is an engine's.
func isEngine(name string) bool { return strings.HasPrefix(name, "engine-") }

// separated reports whether two processes are partitioned from each other.
func (n *Network) separated(one, other string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.peers[one] || !n.peers[other] {
		return n.engineCut(one, other) == Silent
	}
	home, otherHome := n.homes[one], n.homes[other]
	return n.partitioned[one] || n.partitioned[other] || (home != otherHome && (n.partitionedRegions[home] || n.partitionedRegions[otherHome]))
}

// EndpointOf returns the network as seen by a process of a region.
func (n *Network) EndpointOf(name, region string) *Endpoint {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.homes[name] = region
	return &Endpoint{Network: n, name: name, region: region}
}

// Endpoint is one process's access to a Network. It implements control.Transport.
type Endpoint struct {
	*Network
	name, region string

	held sync.Mutex
	// killed is true once the process was killed; open holds its listeners and connections.
	killed bool
	open   []io.Closer
}

// Kill cuts the process off from the network for good: its listeners and connections are closed.
func (e *Endpoint) Kill() {
	e.held.Lock()
	e.killed = true
	open := e.open
	e.open = nil
	e.held.Unlock()
	for _, closer := range open {
		_ = closer.Close()
	}
}

// resetEngines closes the connections to engines.
func (e *Endpoint) resetEngines() {
	e.held.Lock()
	open := slices.Clone(e.open)
	e.held.Unlock()
	for _, closer := range open {
		if conn, ok := closer.(*conn); ok && isEngine(conn.remote) {
			_ = conn.Close()
		}
	}
}

// hold records what a kill closes. It reports false, and closes it, if the process was killed.
func (e *Endpoint) hold(closer io.Closer) bool {
	e.held.Lock()
	defer e.held.Unlock()
	if e.killed {
		_ = closer.Close()
		return false
	}
	e.open = append(e.open, closer)
	return true
}

// Dial implements control.Transport.
func (e *Endpoint) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	e.mu.Lock()
	listener, region := e.listeners[address], e.regions[address]
	e.mu.Unlock()
	if listener != nil && e.separated(e.name, listener.owner) {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	if listener != nil && e.partitionFromEngine(e.name, listener.owner) >= Refusing {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	delay := time.Duration(0)
	if region != e.region {
		delay = InterRegionDelay
	}
	if !clock.Sleep(ctx, 2*delay) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: ctx.Err()}
	}
	ours, theirs := newConnPair(delay, e.name, address)
	if listener != nil {
		lost := func() bool { return e.separated(e.name, listener.owner) }
		ours.out.lost, theirs.out.lost = lost, lost
	}
	if !e.hold(ours) || listener == nil || !listener.endpoint.hold(theirs) || !listener.offer(theirs) {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	}
	return ours, nil
}

// Listen implements control.Transport.
func (e *Endpoint) Listen(_ context.Context, network, address string) (net.Listener, error) {
	listener := &listener{endpoint: e, owner: e.name, address: address, offered: make(chan net.Conn), closed: make(chan struct{})}
	if !e.bind(listener) {
		return nil, &net.OpError{Op: "listen", Net: network, Err: os.NewSyscallError("bind", syscall.EADDRINUSE)}
	}
	if !e.hold(listener) {
		return nil, &net.OpError{Op: "listen", Net: network, Err: net.ErrClosed}
	}
	return listener, nil
}

// bind reports false if the address is in use.
func (e *Endpoint) bind(listener *listener) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.listeners[listener.address] != nil {
		return false
	}
	e.listeners[listener.address] = listener
	e.regions[listener.address] = e.region
	return true
}

type listener struct {
	endpoint       *Endpoint
	owner, address string
	offered        chan net.Conn
	closed         chan struct{}
	once           sync.Once
}

func (l *listener) offer(conn net.Conn) bool {
	select {
	case l.offered <- conn:
		return true
	case <-l.closed:
		return false
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.offered:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		network := l.endpoint.Network
		network.mu.Lock()
		defer network.mu.Unlock()
		delete(network.listeners, l.address)
		close(l.closed)
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return addr(l.address) }

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "fabric" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// halfConn is one direction of a connection. Writing to it never blocks, so that no holder of a
// lock does.
type halfConn struct {
	delay time.Duration
	// lost reports whether data that is written now is lost. If it is nil none is.
	lost func() bool

	mu      sync.Mutex
	packets []packet
	closed  bool
	// changed is closed and replaced when there is new data to read.
	changed chan struct{}
}

// packet is the data of one write, which can be read from due on.
type packet struct {
	due  time.Time
	data []byte
}

func newHalfConn(delay time.Duration) *halfConn {
	return &halfConn{delay: delay, changed: make(chan struct{})}
}

// wakeReader wakes the reader. The caller holds s.mu.
func (s *halfConn) wakeReader() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *halfConn) write(p []byte) (int, error) {
	if s.lost != nil && s.lost() {
		return len(p), nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, syscall.EPIPE
	}
	if len(p) == 0 {
		// A reader would wait for no data on a timer that is due, and the race detector may end in that.
		return 0, nil
	}
	s.packets = append(s.packets, packet{time.Now().Add(s.delay), bytes.Clone(p)})
	s.wakeReader()
	return len(p), nil
}

func (s *halfConn) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.closed = true
		s.wakeReader()
	}
}

// read returns the data that is due. If there is none, it also returns the time to wait, and a
// channel that ends the wait early.
func (s *halfConn) read(p []byte) (n int, wait time.Duration, changed <-chan struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.packets) == 0 {
		if s.closed {
			return 0, 0, nil, io.EOF
		}
		return 0, time.Hour, s.changed, nil
	}
	first := &s.packets[0]
	if wait = time.Until(first.due); wait > 0 {
		return 0, wait, s.changed, nil
	}
	n = copy(p, first.data)
	if first.data = first.data[n:]; len(first.data) == 0 {
		s.packets = s.packets[1:]
	}
	return n, 0, nil, nil
}

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	in, out *halfConn
	remote  string

	mu       sync.Mutex
	deadline time.Time
	// deadlineChanged is closed and replaced when the deadline changes.
	deadlineChanged chan struct{}
}

func newConnPair(delay time.Duration, dialer, address string) (dialing, accepted *conn) {
	outbound, inbound := newHalfConn(delay), newHalfConn(delay)
	dialing = &conn{in: inbound, out: outbound, remote: address, deadlineChanged: make(chan struct{})}
	accepted = &conn{in: outbound, out: inbound, remote: dialer, deadlineChanged: make(chan struct{})}
	return dialing, accepted
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		c.mu.Lock()
		deadline, deadlineChanged := c.deadline, c.deadlineChanged
		c.mu.Unlock()
		if !deadline.IsZero() && !time.Now().Before(deadline) {
			return 0, os.ErrDeadlineExceeded
		}
		n, wait, changed, err := c.in.read(p)
		if n > 0 || err != nil || len(p) == 0 {
			return n, err
		}
		if !deadline.IsZero() {
			wait = min(wait, time.Until(deadline))
		}
		timer := time.NewTimer(wait)
		select {
		case <-changed:
		case <-deadlineChanged:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn. The other end reads what was written before.
func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = at
	close(c.deadlineChanged)
	c.deadlineChanged = make(chan struct{})
	return nil
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error { return c.SetReadDeadline(at) }

// SetWriteDeadline implements net.Conn. Writing never blocks.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr("") }

// RemoteAddr implements net.Conn. It returns the dialled address, or the name of the dialling
// process.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote) }
