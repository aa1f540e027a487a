package exchange

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// Dialer opens connections.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// Pool holds connections to targets. It is safe for concurrent use.
type Pool struct {
	dial Dialer
	// dialTimeout bounds the opening of a connection.
	dialTimeout time.Duration
	now         func() time.Time
	mu          sync.Mutex
	targets     map[string]*connections
	dialed      int64
}

// connections are the connections to one target.
type connections struct {
	open int
	idle []*conn
}

// conn is one connection with its read buffer.
type conn struct {
	net.Conn
	target string
	// bounds is the connection as reader reads it.
	bounds  *boundedConn
	reader  *bufio.Reader
	expires time.Time
}

func newConn(plain net.Conn, target string) *conn {
	bounds := &boundedConn{Conn: plain}
	return &conn{Conn: plain, target: target, bounds: bounds, reader: bufio.NewReaderSize(bounds, readSize)}
}

// NewPool returns an empty pool.
func NewPool(dial Dialer, dialTimeout time.Duration, now func() time.Time) *Pool {
	return &Pool{dial: dial, dialTimeout: dialTimeout, now: now, targets: make(map[string]*connections)}
}

// Dialed returns the number of connections opened so far.
func (p *Pool) Dialed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialed
}

// get returns a usable idle connection, or a new one.
func (p *Pool) get(ctx context.Context, target Target) (c *conn, reused bool, err error) {
	for {
		c, fresh, err := p.reserve(target)
		if err != nil {
			return nil, false, err
		}
		if fresh {
			c, err = p.connect(ctx, target)
			return c, false, err
		}
		if p.now().Before(c.expires) && c.usable() {
			return c, true, nil
		}
		p.discard(c)
	}
}

// reserve takes the most recently used idle connection, or reserves a new one.
func (p *Pool) reserve(target Target) (c *conn, fresh bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.targets[target.ID]
	if conns == nil {
		conns = &connections{}
	}
	if last := len(conns.idle) - 1; last >= 0 {
		c = conns.idle[last]
		conns.idle = conns.idle[:last]
		return c, false, nil
	}
	if target.MaxConnections > 0 && conns.open >= target.MaxConnections {
		return nil, false, ErrFull
	}
	p.open(target.ID)
	return nil, true, nil
}

func (p *Pool) connect(ctx context.Context, target Target) (*conn, error) {
	dialling, cancel := context.WithTimeout(ctx, p.dialTimeout)
	defer cancel()
	plain, err := p.dial(dialling, "tcp", target.Address)
	if err != nil {
		p.release(target.ID)
		if ctx.Err() == nil {
			err = fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
		return nil, err
	}
	if target.Settle > 0 {
		clock.Sleep(ctx, target.Settle)
	}
	return newConn(plain, target.ID), nil
}

// Probe opens a new connection to the target and keeps it for later requests. Errors are *Error.
func (p *Pool) Probe(ctx context.Context, target Target) error {
	p.mu.Lock()
	p.open(target.ID)
	p.mu.Unlock()
	c, err := p.connect(ctx, target)
	if err != nil {
		return &Error{Stage: Unsent, Target: target, Err: err}
	}
	p.putIdle(c, defaultIdleTimeout)
	return nil
}

// open counts a connection that is about to be opened. The caller holds p.mu.
func (p *Pool) open(target string) {
	conns := p.targets[target]
	if conns == nil {
		conns = &connections{}
		p.targets[target] = conns
	}
	conns.open++
	p.dialed++
}

func (p *Pool) release(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.targets[target]
	conns.open--
	if conns.open == 0 && len(conns.idle) == 0 {
		delete(p.targets, target)
	}
}

// discard closes a connection.
func (p *Pool) discard(c *conn) {
	// A failed close needs no handling: the connection is not used again.
	_ = c.Close()
	p.release(c.target)
}

// putIdle returns a connection to the pool for later requests.
func (p *Pool) putIdle(c *conn, idle time.Duration) {
	if idle <= 0 {
		p.discard(c)
		return
	}
	c.expires = p.now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets[c.target].idle = append(p.targets[c.target].idle, c)
}

// Connected reports whether there is an idle connection to a target, which saves a request
// the round trip of a new connection.
func (p *Pool) Connected(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.targets[target]
	return conns != nil && len(conns.idle) > 0
}

// ShowsLife reports whether an idle connection to a target is open, so that the target has not
// ended. Connections that are not plain TCP do not show it.
func (p *Pool) ShowsLife(target string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.targets[target]
	return conns != nil && slices.ContainsFunc(conns.idle, func(c *conn) bool {
		_, plain := c.Conn.(syscall.Conn)
		return plain && c.usable()
	})
}

// Sweep closes idle connections that have expired. Call it every second or so.
func (p *Pool) Sweep() {
	for _, c := range p.expired() {
		p.discard(c)
	}
}

func (p *Pool) expired() []*conn {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var old []*conn
	for _, conns := range p.targets {
		kept := conns.idle[:0]
		for _, c := range conns.idle {
			if now.Before(c.expires) {
				kept = append(kept, c)
			} else {
				old = append(old, c)
			}
		}
		conns.idle = kept
	}
	return old
}

// Close closes all idle connections.
func (p *Pool) Close() {
	p.mu.Lock()
	var all []*conn
	for _, conns := range p.targets {
		all = append(all, conns.idle...)
		conns.idle = nil
	}
	p.mu.Unlock()
	for _, c := range all {
		p.discard(c)
	}
}

// abort interrupts all reads and writes on the connection.
func (c *conn) abort() { _ = c.Close() }

// usable reports whether an idle connection is open and has no unsolicited data to read.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	usable := false
	err = control.Read(func(fd uintptr) bool {
		_, _, readErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && usable
}

// Idle times of pooled connections.
const (
	// defaultIdleTimeout applies if a server does not state its keep-alive timeout. It is
	// short so that few requests find a connection that the server has closed.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the server's timeout, for the request's transit.
	idleMargin = time.Second
)

// idleTimeoutOf returns the time for which a connection may stay idle after an answer
// with this header.
func idleTimeoutOf(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdleTimeout
}
