package link

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// openBacklog is the backlog of an open listener; the system may allow less.
	openBacklog = 4096
	// fillerTimeout bounds the dial of the connection that fills the backlog.
	fillerTimeout = 100 * time.Millisecond
	// closeTimeout bounds the wait of a cut for the listeners to close.
	closeTimeout = time.Second
)

// cuttableListener is a relay's listener. It is closed while either direction is cut:
// its backlog then fits one connection, which the listener opens to itself, so that
// the system completes no other handshake.
type cuttableListener struct {
	listener          *net.TCPListener
	forward, backward *path
	// filler is the connection that fills the backlog while closed, or nil.
	filler net.Conn
	// fillerAddress is the filler's local address, to recognise it when accepted.
	fillerAddress string

	mu sync.Mutex
	// closed is true while the backlog is full; closedSignal is closed with it.
	closed       bool
	closedSignal chan struct{}
}

func newCuttableListener(listener *net.TCPListener, forward, backward *path) *cuttableListener {
	return &cuttableListener{listener: listener, forward: forward, backward: backward, closedSignal: make(chan struct{})}
}

// waitClosed waits until the listener is closed, up to closeTimeout.
func (l *cuttableListener) waitClosed() {
	l.mu.Lock()
	closedSignal := l.closedSignal
	l.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-closedSignal:
	case <-timer.C:
	}
}

// setClosed sets whether the listener is closed, and reports whether that changed.
func (l *cuttableListener) setClosed(closed bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed == closed {
		return false
	}
	l.closed = closed
	if closed {
		close(l.closedSignal)
	} else {
		l.closedSignal = make(chan struct{})
	}
	return true
}

// accept returns the next connection, once both directions are open.
func (l *cuttableListener) accept(ctx context.Context) (net.Conn, error) {
	for {
		// The deadline is cleared before the state is read, and a change of state
		// sets it, so that no change is missed.
		if err := l.listener.SetDeadline(time.Time{}); err != nil {
			return nil, err
		}
		blocked, changed := l.blocked()
		if blocked {
			l.close(ctx)
			waitChange(ctx, changed)
			continue
		}
		l.open()
		conn, err := l.acceptUntil(ctx, changed)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err == nil && conn.RemoteAddr().String() == l.fillerAddress {
			_ = conn.Close()
			continue
		}
		return conn, err
	}
}

// blocked reports whether new connections are blocked; a channel of changed is
// closed when its direction changes.
func (l *cuttableListener) blocked() (blocked bool, changed []<-chan struct{}) {
	for _, p := range []*path{l.forward, l.backward} {
		_, cut, reset, next := p.state()
		blocked = blocked || (cut && !reset)
		changed = append(changed, next)
	}
	return blocked, changed
}

func waitChange(ctx context.Context, changed []<-chan struct{}) {
	select {
	case <-changed[0]:
	case <-changed[1]:
	case <-ctx.Done():
	}
}

// acceptUntil accepts a connection, or fails with os.ErrDeadlineExceeded when a
// direction changes.
func (l *cuttableListener) acceptUntil(ctx context.Context, changed []<-chan struct{}) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		waitChange(ctx, changed)
		if ctx.Err() == nil {
			_ = l.listener.SetDeadline(time.Unix(1, 0))
		}
	}()
	return l.listener.Accept()
}

func (l *cuttableListener) close(ctx context.Context) {
	if l.filler != nil {
		return
	}
	l.setBacklog(0)
	dialer := net.Dialer{Timeout: fillerTimeout}
	// A failed dial means that the backlog is already full.
	filler, err := dialer.DialContext(ctx, "tcp", l.listener.Addr().String())
	if err == nil {
		l.filler, l.fillerAddress = filler, filler.LocalAddr().String()
	}
	l.setClosed(true)
}

func (l *cuttableListener) open() {
	if !l.setClosed(false) {
		return
	}
	l.setBacklog(openBacklog)
	if l.filler != nil {
		_ = l.filler.Close()
		l.filler = nil
	}
}

// setBacklog bounds the connections that the system completes before they are
// accepted. If that fails, connections made during a cut are relayed once healed.
func (l *cuttableListener) setBacklog(size int) {
	raw, err := l.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), size) })
}
