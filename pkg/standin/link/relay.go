package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// segment is what one read brought, due at the other end at a moment. An empty
// one is the end of the stream.
type segment struct {
	data []byte
	due  time.Time
}

// relay carries one connection until both directions have ended.
func (n *Network) relay(ctx context.Context, s Settings, near net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer near.Close()
	forward, backward := n.path(s.From, s.To), n.path(s.To, s.From)
	go forward.watchReset(ctx, cancel)
	go backward.watchReset(ctx, cancel)
	if !forward.passable(ctx) || !backward.passable(ctx) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	far, err := dialer.DialContext(ctx, "tcp", s.Target)
	if err != nil {
		abort(near)
		return
	}
	defer far.Close()
	// Ends blocked reads and writes when the connection is reset.
	stop := context.AfterFunc(ctx, func() {
		abort(near)
		abort(far)
	})
	defer stop()
	var both sync.WaitGroup
	delay, _, _, _ := forward.state()
	both.Go(func() { carry(ctx, cancel, forward, near, far, handshakeTrips*delay) })
	both.Go(func() { carry(ctx, cancel, backward, far, near, 0) })
	both.Wait()
}

// abort closes a connection with a reset, so that its peer sees the failure at once.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// carry moves one direction's bytes, each after the delay of the moment in which
// it came. first is added for the first segment.
func carry(ctx context.Context, cancel context.CancelFunc, p *path, from, to net.Conn, first time.Duration) {
	segments := make(chan segment, windowSegments)
	go read(ctx, p, from, segments, first)
	for part := range segments {
		if !clock.Sleep(ctx, time.Until(part.due)) || !p.passable(ctx) {
			cancel()
			return
		}
		if len(part.data) == 0 {
			closeWrite(to)
			return
		}
		if _, err := to.Write(part.data); err != nil {
			cancel()
			return
		}
	}
	cancel()
}

// read turns the stream into segments; it closes the channel without an empty
// segment when the stream broke.
func read(ctx context.Context, p *path, from net.Conn, segments chan<- segment, extra time.Duration) {
	defer close(segments)
	opened := time.Now()
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		delay, _, _, _ := p.state()
		due := latest(time.Now(), opened.Add(extra)).Add(delay)
		if count > 0 && !push(ctx, segments, segment{data: append([]byte(nil), buffer[:count]...), due: due}) {
			return
		}
		if err == io.EOF {
			push(ctx, segments, segment{due: due})
			return
		}
		if err != nil {
			return
		}
	}
}

func push(ctx context.Context, segments chan<- segment, part segment) bool {
	select {
	case segments <- part:
		return true
	case <-ctx.Done():
		return false
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
