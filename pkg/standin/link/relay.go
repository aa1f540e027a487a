package link

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// segment is the data of one read and the time at which it is due at the other end.
// Empty data marks the end of the stream.
type segment struct {
	data []byte
	due  time.Time
}

// relay relays one connection until both directions have ended.
func (n *Network) relay(ctx context.Context, s Settings, source net.Conn) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer source.Close()
	forward, backward := n.path(s.From, s.To), n.path(s.To, s.From)
	go forward.watchReset(ctx, cancel)
	go backward.watchReset(ctx, cancel)
	if !forward.waitOpen(ctx) || !backward.waitOpen(ctx) {
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(ctx, "tcp", s.Target)
	if err != nil {
		abort(source)
		return
	}
	defer target.Close()
	// Unblocks reads and writes when the connection is reset.
	stop := context.AfterFunc(ctx, func() {
		abort(source)
		abort(target)
	})
	defer stop()
	var directions sync.WaitGroup
	delay, _, _, _ := forward.state()
	directions.Go(func() { relayDirection(ctx, cancel, forward, source, target, handshakeDelays*delay) })
	directions.Go(func() { relayDirection(ctx, cancel, backward, target, source, 0) })
	directions.Wait()
}

// abort closes a connection with a reset, so that its peer sees the failure at once.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// relayDirection copies one direction's bytes, each after the delay that applied
// when it was read, and none before first and that delay have passed.
func relayDirection(ctx context.Context, cancel context.CancelFunc, p *path, from, to net.Conn, first time.Duration) {
	segments := make(chan segment, windowSegments)
	go read(ctx, p, from, segments, first)
	for seg := range segments {
		if !clock.Sleep(ctx, time.Until(seg.due)) || !p.waitOpen(ctx) {
			cancel()
			return
		}
		if len(seg.data) == 0 {
			closeWrite(to)
			return
		}
		if _, err := to.Write(seg.data); err != nil {
			cancel()
			return
		}
	}
	cancel()
}

// read splits the stream into segments. If the stream fails, it closes the channel
// without an empty segment.
func read(ctx context.Context, p *path, from net.Conn, segments chan<- segment, extra time.Duration) {
	defer close(segments)
	opened := time.Now()
	buffer := make([]byte, bufferSize)
	for {
		count, err := from.Read(buffer)
		delay, _, _, _ := p.state()
		due := later(time.Now(), opened.Add(extra)).Add(delay)
		if count > 0 && !send(ctx, segments, segment{data: append([]byte(nil), buffer[:count]...), due: due}) {
			return
		}
		if err == io.EOF {
			send(ctx, segments, segment{due: due})
			return
		}
		if err != nil {
			return
		}
	}
}

func send(ctx context.Context, segments chan<- segment, seg segment) bool {
	select {
	case segments <- seg:
		return true
	case <-ctx.Done():
		return false
	}
}

func later(a, b time.Time) time.Time {
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
