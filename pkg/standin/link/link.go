// Package link is a stand-in for the network between failure domains: a TCP
// relay with a one-way delay, in which each direction can be cut independently.
//
// A cut withholds data and connection closes, with no error at either end, and
// delivers them when the link is healed, as TCP retransmission does. While either
// direction is cut, new connections are not established: the dialer times out, as
// when handshake packets are lost. A target that refuses connections appears as a
// connection reset, since the relay has already accepted.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Settings configures one relay.
type Settings struct {
	// From and To name the two sides: failure domains, or "platform".
	From string `yaml:"from" validate:"required,name"`
	To   string `yaml:"to" validate:"required,name"`
	// Listen is the address that From's processes dial, Target the one it leads to.
	Listen string `yaml:"listen" validate:"required,hostport"`
	Target string `yaml:"target" validate:"required,hostport"`
	// Delay is the one-way delay, the same in both directions.
	Delay time.Duration `yaml:"delay" validate:"gte=0"`
}

const (
	// bufferSize is the maximum size of one read, in bytes.
	bufferSize = 32 << 10
	// windowSegments bounds the segments in flight in one direction of a connection.
	windowSegments = 256
	// handshakeDelays is the number of one-way delays of a TCP handshake before the
	// first data can be sent.
	handshakeDelays = 2
	// dialTimeout bounds the connection attempt to the target.
	dialTimeout = 2 * time.Second
)

// ErrNoPath is returned if no relay connects the two sides.
var ErrNoPath = errors.New("no link between these two")

// Network is a set of relays and the state of each direction between two sides.
type Network struct {
	settings []Settings

	mu        sync.Mutex
	paths     map[direction]*path
	listeners []*cuttableListener
}

// direction is an ordered pair of sides.
type direction struct{ from, to string }

// path is the state of one direction.
type path struct {
	mu    sync.Mutex
	delay time.Duration
	cut   bool
	// reset makes a cut close connections with a reset.
	reset bool
	// changed is closed at the next change and then replaced.
	changed chan struct{}
}

// New returns a network in which all directions are open.
func New(settings []Settings) *Network {
	n := &Network{settings: settings, paths: make(map[direction]*path)}
	for _, s := range settings {
		n.addDirection(direction{s.From, s.To}, s.Delay)
		n.addDirection(direction{s.To, s.From}, s.Delay)
	}
	return n
}

func (n *Network) addDirection(p direction, delay time.Duration) {
	if n.paths[p] == nil {
		n.paths[p] = &path{delay: delay, changed: make(chan struct{})}
	}
}

func (n *Network) path(from, to string) *path {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paths[direction{from, to}]
}

// Cut blocks one direction without an error at either end; with reset, it closes
// existing and new connections instead. It returns when the cut has taken effect.
func (n *Network) Cut(from, to string, reset bool) error {
	if err := n.update(from, to, func(p *path) { p.cut, p.reset = true, reset }); err != nil || reset {
		return err
	}
	p := n.path(from, to)
	for _, l := range n.listenersOf(p) {
		l.waitClosed()
	}
	return nil
}

func (n *Network) register(l *cuttableListener) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners = append(n.listeners, l)
}

// listenersOf returns the listeners that a cut of a direction closes.
func (n *Network) listenersOf(p *path) []*cuttableListener {
	n.mu.Lock()
	defer n.mu.Unlock()
	var found []*cuttableListener
	for _, l := range n.listeners {
		if l.forward == p || l.backward == p {
			found = append(found, l)
		}
	}
	return found
}

// Heal reopens one direction.
func (n *Network) Heal(from, to string) error {
	return n.update(from, to, func(p *path) { p.cut, p.reset = false, false })
}

// SetDelay sets one direction's delay.
func (n *Network) SetDelay(from, to string, delay time.Duration) error {
	return n.update(from, to, func(p *path) { p.delay = delay })
}

func (n *Network) update(from, to string, change func(*path)) error {
	p := n.path(from, to)
	if p == nil {
		return ErrNoPath
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

// state returns the state, and a channel that is closed when it changes.
func (p *path) state() (delay time.Duration, cut, reset bool, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delay, p.cut, p.reset, p.changed
}

// waitOpen waits until the direction is open; false means that it was reset or that
// ctx ended.
func (p *path) waitOpen(ctx context.Context) bool {
	for {
		_, cut, reset, changed := p.state()
		if reset || ctx.Err() != nil {
			return false
		}
		if !cut {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// watchReset calls cancel as soon as the direction is reset.
func (p *path) watchReset(ctx context.Context, cancel context.CancelFunc) {
	for {
		_, _, reset, changed := p.state()
		if reset {
			cancel()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Listen opens every relay's listener. Serve closes them.
func (n *Network) Listen() ([]*net.TCPListener, error) {
	listeners := make([]*net.TCPListener, 0, len(n.settings))
	for _, s := range n.settings {
		listener, err := listenTCP(s.Listen)
		if err != nil {
			for _, open := range listeners {
				err = errors.Join(err, open.Close())
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

func listenTCP(address string) (*net.TCPListener, error) {
	resolved, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp", resolved)
}

// Serve relays connections of the listeners from Listen until ctx ends, then closes
// them.
func (n *Network) Serve(ctx context.Context, listeners []*net.TCPListener) {
	var running sync.WaitGroup
	defer running.Wait()
	for i, listener := range listeners {
		running.Go(func() { n.acceptLoop(ctx, n.settings[i], listener) })
	}
	<-ctx.Done()
	for _, listener := range listeners {
		_ = listener.Close()
	}
}

// acceptLoop accepts and relays connections while both directions are open.
func (n *Network) acceptLoop(ctx context.Context, s Settings, listener *net.TCPListener) {
	var running sync.WaitGroup
	defer running.Wait()
	l := newCuttableListener(listener, n.path(s.From, s.To), n.path(s.To, s.From))
	n.register(l)
	for {
		conn, err := l.accept(ctx)
		if err != nil {
			return
		}
		running.Go(func() { n.relay(ctx, s, conn) })
	}
}
