package ingress

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"
)

// phase is what a connection is used for.
type phase int

const (
	// waiting: no byte of the next request has arrived.
	waiting phase = iota
	// readingHead and receiving: a part of a request's head, or of its body, has arrived.
	readingHead
	receiving
	// serving: a request has arrived.
	serving
	// lingering: the last answer was written.
	lingering
	// closed: the connection is closed, or about to be.
	closed
)

// conn is a client's connection. Its methods that the HTTP server's handler calls accept a nil conn, which is one
// that no Port accepted.
type conn struct {
	net.Conn
	port *Port
	// phase, since when without progress, and linger, are guarded by the port's mutex. linger is true if Close waits
	// for the client.
	phase  phase
	since  time.Time
	linger bool
	// receipt is that of the head, nil while it takes little memory.
	receipt *Receipt
	// inHead is true while what is read is a request's head.
	inHead atomic.Bool
	head   headMeter
}

type connKey struct{}

// connOf returns the connection of a request, nil if no Port accepted it.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// portOrNil returns the port of a connection, nil if no Port accepted it.
func (c *conn) portOrNil() *Port {
	if c == nil {
		return nil
	}
	return c.port
}

// Read implements net.Conn. A head takes memory of the clients as it arrives.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHead.Load() {
		explainPlainHTTP(err)
		return n, err
	}
	if cause := c.readHead(p[:n]); cause != nil {
		// The HTTP server closes the connection without an answer: it has not read the request.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: cause}
	}
	return n, err
}

// explainPlainHTTP answers a client that speaks plain HTTP to a TLS port, if that is why a read failed. The HTTP server
// does so only for connections that it knows to be TLS.
func explainPlainHTTP(err error) {
	var unexpected tls.RecordHeaderError
	if !errors.As(err, &unexpected) || unexpected.Conn == nil {
		return
	}
	if first := unexpected.RecordHeader[0]; first < 'A' || first > 'Z' {
		return
	}
	// The connection is closed next, whether or not the client gets the answer.
	_, _ = io.WriteString(unexpected.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
}

// readHead accounts for a part of a head.
func (c *conn) readHead(part []byte) error {
	needed, whole := c.head.add(part)
	c.port.mu.Lock()
	if c.phase == waiting {
		c.phase, c.since = readingHead, c.port.guard.now()
	}
	c.port.mu.Unlock()
	if whole {
		c.inHead.Store(false)
	}
	if needed == 0 {
		return nil
	}
	if c.receipt == nil {
		c.receipt = c.port.guard.memory.BeginHead(c.abandon)
	}
	err := c.receipt.Grow(needed)
	if errors.Is(err, ErrMemory) {
		c.port.guard.recordClosed(c.port, causeMemory, c.head.cost)
	}
	if err == nil && whole {
		err = c.receipt.Complete()
	}
	return err
}

// Close implements net.Conn. After an early answer it gives the client time to take it.
func (c *conn) Close() error {
	if c.port.startLinger(c) {
		c.drain()
	}
	c.port.remove(c)
	c.releaseHead()
	return c.Conn.Close()
}

// drain reads what the client still sends, until it closes or for lingerTime.
func (c *conn) drain() {
	if c.CloseWrite() != nil || c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// The connection is closed next, whatever ended the reading.
	_, _ = io.Copy(io.Discard, c.Conn)
}

// CloseWrite closes the writing side; the HTTP server calls it before it closes a connection.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return net.ErrClosed
}

// abandon closes the connection without a word to its client.
func (c *conn) abandon() {
	under := c.Conn
	if secured, ok := under.(interface{ NetConn() net.Conn }); ok {
		// Closing the TLS connection itself could wait for the client.
		under = secured.NetConn()
	}
	// An error cannot be handled: the connection is given up.
	_ = under.Close()
}

// releaseHead gives the memory of a head back. Only the connection's own goroutine calls it.
func (c *conn) releaseHead() {
	if c.receipt == nil {
		return
	}
	if c.receipt.Ceased() {
		c.port.guard.recordClosed(c.port, causeStalled, c.head.cost)
	}
	c.receipt.Release()
	c.receipt = nil
}

// receive records that a body is read. It returns false if the connection was closed.
func (c *conn) receive() bool { return c.enter(receiving) }

// serve records that a request has arrived. It returns false if the connection was closed.
func (c *conn) serve() bool { return c.enter(serving) }

func (c *conn) enter(next phase) bool {
	if c == nil {
		return true
	}
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	if c.phase == closed {
		return false
	}
	c.phase, c.since = next, c.port.guard.now()
	c.inHead.Store(next == waiting)
	return true
}

// progress records that a part of a body has arrived.
func (c *conn) progress() { c.enter(receiving) }

// setLinger makes Close wait for the client.
func (c *conn) setLinger() {
	if c == nil {
		return
	}
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	c.linger = true
}

// lingers reports whether Close will wait for the client.
func (c *conn) lingers() bool {
	if c == nil {
		return false
	}
	c.port.mu.Lock()
	defer c.port.mu.Unlock()
	return c.linger
}

const (
	// freeHead is the cost of a head that counts as part of its connection.
	freeHead = 8 << 10
	// lineCost is what each line of a head costs beside its bytes: its entry in the header, and in the copies that
	// are passed on.
	lineCost = 256
	// headStep is the step in which heads take memory.
	headStep = 4 << 10
)

// headMeter computes the cost of a request's head, in bytes of memory, as it arrives.
type headMeter struct {
	cost, granted int64
	// length is the number of bytes of the present line, and lines that of lines with any.
	length, lines int
}

// add adds a part of a head. It returns how many bytes more the head needs, and whether it is whole.
func (m *headMeter) add(part []byte) (needed int64, whole bool) {
	for len(part) > 0 && !whole {
		end := bytes.IndexByte(part, '\n')
		if end < 0 {
			m.length += len(part)
			m.cost += int64(len(part))
			break
		}
		m.cost += int64(end) + lineCost
		m.length += len(bytes.TrimSuffix(part[:end], []byte("\r")))
		if m.length > 0 {
			m.lines++
		}
		whole = m.length == 0 && m.lines > 0
		m.length = 0
		part = part[end+1:]
	}
	if over := m.cost - freeHead - m.granted; over > 0 {
		needed = (over + headStep - 1) / headStep * headStep
		m.granted += needed
	}
	return needed, whole
}
