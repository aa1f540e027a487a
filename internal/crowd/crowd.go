// Package crowd plays clients that do not behave, for tests of whole processes on loopback addresses.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

// Client sends what one client sends. It returns once all is sent, or with the connection's error.
type Client func(to io.ReadWriter) error

// Crowd is a number of connected clients.
type Crowd struct {
	mu    sync.Mutex
	conns []net.Conn
}

const (
	// sendTimeout bounds what one client sends to a server that does not read, and its wait for an answer.
	sendTimeout = 20 * time.Second
	// connections is how often a client connects if the server closes its connection.
	connections = 3
)

// Gather has size clients connect to an address. It returns once each has sent all, or was closed each time
// that it connected, and the server has read it. Their connections stay open until Disperse.
func Gather(ctx context.Context, address string, size int, client Client) (*Crowd, error) {
	c := new(Crowd)
	var all sync.WaitGroup
	for range size {
		all.Go(func() { c.join(ctx, address, client) })
	}
	all.Wait()
	return c, Settle(ctx, address)
}

func (c *Crowd) join(ctx context.Context, address string, client Client) {
	for range connections {
		conn, err := (&net.Dialer{Timeout: sendTimeout}).DialContext(ctx, "tcp", address)
		if err != nil {
			continue
		}
		c.mu.Lock()
		c.conns = append(c.conns, conn)
		c.mu.Unlock()
		// A connection that cannot be written to at all is closed by Disperse.
		_ = conn.SetDeadline(time.Now().Add(sendTimeout))
		if client(conn) == nil {
			return
		}
	}
}

// Disperse closes all connections.
func (c *Crowd) Disperse() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
