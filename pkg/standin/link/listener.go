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
	// openBacklog is how many connections may wait to be accepted; the system
	// may allow fewer.
	openBacklog = 4096
	// fillerTimeout bounds the connection that fills a shut backlog.
	fillerTimeout = 100 * time.Millisecond
	// closeTimeout bounds the wait of a cut for the listeners to be shut.
	closeTimeout = time.Second
)

// cuttableListener is a relay's listener. It is shut while either direction is cut: then its
// backlog has room for one connection, which the listener makes itself, so that the
// system answers no other handshake.
type cuttableListener struct {
	listener          *net.TCPListener
	forward, backward *path
	// filler is the connection that fills the shut backlog, or nil.
	filler net.Conn
	// fillerAddress is the filler's address, to tell it from others when accepted.
	fillerAddress string

	mu sync.Mutex
	// closed says that the backlog is shut; whenClosed is closed with it.
	closed     bool
	whenClosed chan struct{}
}

func newCuttableListener(listener *net.TCPListener, forward, backward *path) *cuttableListener {
	return &cuttableListener{listener: listener, forward: forward, backward: backward, whenClosed: make(chan struct{})}
}

// waitClosed waits until the listener is shut, within bounds.
func (d *cuttableListener) waitClosed() {
	d.mu.Lock()
	whenClosed := d.whenClosed
	d.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-whenClosed:
	case <-timer.C:
	}
}

// mark sets whether the listener is shut, and reports whether that is new.
func (d *cuttableListener) mark(closed bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed == closed {
		return false
	}
	d.closed = closed
	if closed {
		close(d.whenClosed)
	} else {
		d.whenClosed = make(chan struct{})
	}
	return true
}

// next accepts a connection once both directions are open.
func (d *cuttableListener) next(ctx context.Context) (net.Conn, error) {
	for {
		// The deadline is lifted before the state is read, and a change of state
		// sets it: no change is missed.
		if err := d.listener.SetDeadline(time.Time{}); err != nil {
			return nil, err
		}
		shut, changed := d.shut()
		if shut {
			d.close(ctx)
			await(ctx, changed)
			continue
		}
		d.open()
		conn, err := d.acceptUntil(ctx, changed)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err == nil && conn.RemoteAddr().String() == d.fillerAddress {
			_ = conn.Close()
			continue
		}
		return conn, err
	}
}

// shut reports whether new connections are held back, and returns what is closed
// when either direction changes.
func (d *cuttableListener) shut() (shut bool, changed []<-chan struct{}) {
	for _, p := range []*path{d.forward, d.backward} {
		_, cut, reset, next := p.state()
		shut = shut || (cut && !reset)
		changed = append(changed, next)
	}
	return shut, changed
}

func await(ctx context.Context, changed []<-chan struct{}) {
	select {
	case <-changed[0]:
	case <-changed[1]:
	case <-ctx.Done():
	}
}

// acceptUntil accepts a connection, or gives up when a direction changes.
func (d *cuttableListener) acceptUntil(ctx context.Context, changed []<-chan struct{}) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		await(ctx, changed)
		if ctx.Err() == nil {
			_ = d.listener.SetDeadline(time.Unix(1, 0))
		}
	}()
	return d.listener.Accept()
}

func (d *cuttableListener) close(ctx context.Context) {
	if d.filler != nil {
		return
	}
	d.setBacklog(0)
	dialer := net.Dialer{Timeout: fillerTimeout}
	// Failing means that the backlog is full already.
	filler, err := dialer.DialContext(ctx, "tcp", d.listener.Addr().String())
	if err == nil {
		d.filler, d.fillerAddress = filler, filler.LocalAddr().String()
	}
	d.mark(true)
}

func (d *cuttableListener) open() {
	if !d.mark(false) {
		return
	}
	d.setBacklog(openBacklog)
	if d.filler != nil {
		_ = d.filler.Close()
		d.filler = nil
	}
}

// setBacklog bounds the connections that the system makes before they are
// accepted. Where that fails, connections are made during a cut, and held back.
func (d *cuttableListener) setBacklog(size int) {
	raw, err := d.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), size) })
}
