package responsehead

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Conn is a client's connection that checks the heads of the responses that it reads. It is safe for concurrent use.
type Conn struct {
	net.Conn
	mu      sync.Mutex
	scanner Scanner
}

// Begin makes the next byte that is read the first one of a head. It must be called before each request.
func (c *Conn) Begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Begin()
}

// Read implements net.Conn. The error is an *Error if a head is malformed.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if malformed := c.scanner.Scan(p[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// transport checks the heads of all responses.
type transport struct{ *http.Transport }

// dial opens connections.
type dial = func(ctx context.Context, network, address string) (net.Conn, error)

// NewTransport makes a transport check the heads of all responses that it reads on connections of its DialContext and
// DialTLSContext.
func NewTransport(unchecked *http.Transport) http.RoundTripper {
	if unchecked.DialContext == nil {
		unchecked.DialContext = (&net.Dialer{}).DialContext
	}
	unchecked.DialContext = checked(unchecked.DialContext)
	if unchecked.DialTLSContext != nil {
		unchecked.DialTLSContext = checked(unchecked.DialTLSContext)
	}
	return transport{unchecked}
}

func checked(open dial) dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := open(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn}, nil
	}
}

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(request *http.Request) (*http.Response, error) {
	begin := func(info httptrace.GotConnInfo) {
		if conn, ok := info.Conn.(*Conn); ok {
			conn.Begin()
		}
	}
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{GotConn: begin})
	return t.Transport.RoundTrip(request.WithContext(ctx))
}
