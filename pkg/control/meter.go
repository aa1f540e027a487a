package control

import (
	"errors"
	"net"
	"sync/atomic"
)

// ErrNotTCP means that the connection is not a TCP connection.
var ErrNotTCP = errors.New("not a TCP connection")

// Meter counts the bytes on a Network's connections, TLS included and TCP headers
// excluded. The zero value is ready for use.
type Meter struct{ sent, received atomic.Int64 }

// Sent returns the bytes written so far.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Received returns the bytes read so far.
func (m *Meter) Received() int64 { return m.received.Load() }

// Meter returns the counts of all connections that the network dialed or accepted.
func (n *Network) Meter() *Meter { return &n.meter }

func (m *Meter) conn(conn net.Conn) net.Conn { return &meteredConn{Conn: conn, meter: m} }

func (m *Meter) listener(listener net.Listener) net.Listener {
	return &meteredListener{Listener: listener, meter: m}
}

type meteredConn struct {
	net.Conn
	meter *Meter
}

// SetLinger sets how closing treats unsent data; see net.TCPConn.
func (c *meteredConn) SetLinger(seconds int) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return ErrNotTCP
	}
	return tcp.SetLinger(seconds)
}

// Read implements net.Conn.
func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

// Accept implements net.Listener.
func (l *meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.meter.conn(conn), nil
}
