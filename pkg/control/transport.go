package control

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"os"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/settings"
)

// DialTimeout bounds the making of a connection between processes.
const DialTimeout = 2 * time.Second

// ErrClosed: the client was closed.
var ErrClosed = errors.New("control client closed")

// CallError is a control call that failed before a reply came.
type CallError struct {
	// Address and Method name what was called.
	Address, Method string
	// Err is the cause. context.DeadlineExceeded leaves open whether it ran.
	Err error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("%s at %s: %v", e.Method, e.Address, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// SecurityError is certificate material that cannot be used.
type SecurityError struct {
	// File is the file at fault.
	File string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *SecurityError) Error() string { return fmt.Sprintf("security: %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *SecurityError) Unwrap() error { return e.Err }

// Network dials and listens for links between lilacweir's own processes, with
// mutual TLS unless plain text on loopback was asked for.
type Network struct {
	via    map[string]string
	client *tls.Config
	server *tls.Config
	meter  Meter
}

// NewNetwork reads the certificates that the settings name.
func NewNetwork(security settings.Security, via map[string]string) (*Network, error) {
	network := &Network{via: via}
	if security.PlaintextLoopback {
		return network, nil
	}
	certificate, err := tls.LoadX509KeyPair(security.Certificate, security.Key)
	if err != nil {
		return nil, &SecurityError{File: security.Certificate, Err: err}
	}
	pem, err := os.ReadFile(security.Authority)
	if err != nil {
		return nil, &SecurityError{File: security.Authority, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &SecurityError{File: security.Authority, Err: errNoCertificate}
	}
	network.client = &tls.Config{Certificates: []tls.Certificate{certificate}, RootCAs: pool, MinVersion: tls.VersionTLS13}
	network.server = &tls.Config{
		Certificates: []tls.Certificate{certificate},
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}
	return network, nil
}

var errNoCertificate = errors.New("holds no certificate")

// Translate returns the address that is dialed in place of the given one.
func (n *Network) Translate(address string) string {
	if via, ok := n.via[address]; ok {
		return via
	}
	return address
}

// DialPlain connects without TLS, for the platform and upstreams.
func (n *Network) DialPlain(ctx context.Context, _, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: DialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", n.Translate(address))
	if err != nil {
		return nil, err
	}
	return n.meter.conn(conn), nil
}

// Dial connects to another lilacweir process.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := n.DialPlain(ctx, network, address)
	if err != nil || n.client == nil {
		return conn, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	config := n.client.Clone()
	config.ServerName = host
	secured := tls.Client(conn, config)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return secured, nil
}

// Listen listens for other lilacweir processes.
func (n *Network) Listen(address string) (net.Listener, error) {
	plain, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	listener := n.meter.listener(plain)
	if n.server == nil {
		return listener, nil
	}
	return tls.NewListener(listener, n.server), nil
}

// Clients keeps one net/rpc connection for each address.
type Clients struct {
	network *Network
	mu      sync.Mutex
	byAddr  map[string]*rpc.Client
	closed  bool
}

// NewClients returns an empty set of connections.
func NewClients(network *Network) *Clients {
	return &Clients{network: network, byAddr: make(map[string]*rpc.Client)}
}

// Call calls a method and waits for the reply until ctx ends. The context must
// have a deadline. A connection that a call timed out on is dropped, so that a
// frozen peer does not hold later calls.
func (c *Clients) Call(ctx context.Context, address, method string, args, reply any) error {
	client, err := c.client(ctx, address)
	if err != nil {
		return &CallError{Address: address, Method: method, Err: err}
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		c.drop(address, client)
		return &CallError{Address: address, Method: method, Err: ctx.Err()}
	}
	var serverError rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &serverError) {
		c.drop(address, client)
	}
	if call.Error != nil {
		return &CallError{Address: address, Method: method, Err: call.Error}
	}
	return nil
}

// Close ends all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, client := range c.byAddr {
		_ = client.Close()
		delete(c.byAddr, address)
	}
}

func (c *Clients) client(ctx context.Context, address string) (*rpc.Client, error) {
	c.mu.Lock()
	client, ok := c.byAddr[address]
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	if ok {
		return client, nil
	}
	conn, err := c.network.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.keep(address, rpc.NewClient(conn))
}

func (c *Clients) keep(address string, fresh *rpc.Client) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = fresh.Close()
		return nil, ErrClosed
	}
	if earlier, ok := c.byAddr[address]; ok {
		_ = fresh.Close()
		return earlier, nil
	}
	c.byAddr[address] = fresh
	return fresh, nil
}

func (c *Clients) drop(address string, client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddr[address] == client {
		delete(c.byAddr, address)
	}
	_ = client.Close()
}
