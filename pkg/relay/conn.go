package relay

import (
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"github.com/lilacweir/lilacweir/pkg/responsehead"
)

// errSealed means that the attempt was sealed before its first byte was written.
var errSealed = errors.New("attempt sealed before its first byte was written")

// States of a trackedConn within one attempt.
const (
	connUntouched int32 = iota
	connWritten
	connSealed
)

// trackedConn records whether a byte of the current attempt was passed to the kernel,
// and can be sealed against the first one. It refuses malformed heads of answers.
type trackedConn struct {
	responsehead.Conn
	state atomic.Int32
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.state.Load() != connWritten && !c.state.CompareAndSwap(connUntouched, connWritten) {
		return 0, errSealed
	}
	return c.Conn.Write(p)
}

// Dialer opens connections: a method of control.Network in production.
type Dialer func(ctx context.Context, network, address string) (net.Conn, error)

// tracked wraps each connection that dial opens.
func tracked(dial Dialer) Dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &trackedConn{Conn: responsehead.Conn{Conn: conn}}, nil
	}
}

// connTracker tracks the connections of one attempt.
type connTracker struct {
	mu      sync.Mutex
	conn    *trackedConn
	written bool
}

// gotConn is called by the transport before the request is written.
func (f *connTracker) gotConn(info httptrace.GotConnInfo) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sealCurrent()
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		f.written = true
		return
	}
	conn.state.Store(connUntouched)
	conn.Begin()
	f.conn = conn
}

// seal reports whether a byte of the request was written. If not, none can be later.
func (f *connTracker) seal() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sealCurrent()
	return f.written
}

// sealCurrent seals the current connection and records whether it was written to.
func (f *connTracker) sealCurrent() {
	if f.conn == nil {
		return
	}
	if !f.conn.state.CompareAndSwap(connUntouched, connSealed) {
		f.written = f.written || f.conn.state.Load() == connWritten
	}
	f.conn = nil
}
