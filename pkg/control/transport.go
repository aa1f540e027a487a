package control

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// DialTimeout bounds dialing another process.
const DialTimeout = 2 * time.Second

// ErrClosed means that the client was closed.
var ErrClosed = errors.New("control client closed")

// CallError reports a control call that failed.
type CallError struct {
	// Address and Method identify the call.
	Address, Method string
	// Err is the cause. After context.DeadlineExceeded the call may have run.
	Err error
}

// Error implements error.
func (e *CallError) Error() string { return fmt.Sprintf("%s at %s: %v", e.Method, e.Address, e.Err) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// Transport carries connections between processes.
type Transport interface {
	Dial(ctx context.Context, network, address string) (net.Conn, error)
	Listen(ctx context.Context, network, address string) (net.Listener, error)
}

// Network dials and listens for links between lilacweir's own processes, with
// mutual TLS unless the settings allow plain text on loopback and name no
// certificate.
type Network struct {
	// transport carries the connections; nil means TCP.
	transport   Transport
	via         map[string]string
	credentials *credential.Store
	client      *credential.Client
	server      *tls.Config
	meter       Meter
}

// NewNetwork reads the certificates that the settings name into a store of its own.
func NewNetwork(security settings.Security, via map[string]string) (*Network, error) {
	return NewNetworkWith(credential.NewStore(clock.System{}), security, via)
}

// NewNetworkWith reads the certificates that the settings name into the given
// store. Later connections use what the store holds by then.
func NewNetworkWith(store *credential.Store, security settings.Security, via map[string]string) (*Network, error) {
	network := &Network{via: via, credentials: store}
	if security.Plaintext() {
		return network, nil
	}
	pair, err := store.Pair(security.Certificate, security.Key)
	if err != nil {
		return nil, err
	}
	authority, err := store.Authority(security.Authority)
	if err != nil {
		return nil, err
	}
	network.client = &credential.Client{Authority: authority, Pair: pair}
	network.server = credential.ServerConfig(pair, authority)
	return network, nil
}

// NewNetworkOver returns a network of plain connections over a transport.
func NewNetworkOver(transport Transport) *Network { return &Network{transport: transport} }

// Credentials returns the store of the network's certificates.
func (n *Network) Credentials() *credential.Store { return n.credentials }

// Translate returns the address that is dialed instead of the given one.
func (n *Network) Translate(address string) string {
	if via, ok := n.via[address]; ok {
		return via
	}
	return address
}

// DialPlain connects without TLS, for the platform and upstreams.
func (n *Network) DialPlain(ctx context.Context, _, address string) (net.Conn, error) {
	dial := (&net.Dialer{Timeout: DialTimeout}).DialContext
	if n.transport != nil {
		dial = n.transport.Dial
	}
	conn, err := dial(ctx, "tcp", n.Translate(address))
	if err != nil {
		return nil, err
	}
	return n.meter.conn(conn), nil
}

// Dial connects to another lilacweir process.
func (n *Network) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if n.client == nil {
		return n.DialPlain(ctx, network, address)
	}
	return n.client.Secure(n.DialPlain)(ctx, network, address)
}

// Listen listens for other lilacweir processes.
func (n *Network) Listen(address string) (net.Listener, error) {
	listen := (&net.ListenConfig{}).Listen
	if n.transport != nil {
		listen = n.transport.Listen
	}
	plain, err := listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	listener := n.meter.listener(plain)
	if n.server == nil {
		return listener, nil
	}
	return tls.NewListener(listener, n.server), nil
}

// ListenPublic listens for callers or operators, who need no certificate, with TLS
// if a pair is named. The caller bounds the connections. The error may be a
// *credential.FileError.
func (n *Network) ListenPublic(address string, pair settings.Pair) (net.Listener, error) {
	if pair == (settings.Pair{}) {
		return net.Listen("tcp", address)
	}
	loaded, err := n.credentials.Pair(pair.Certificate, pair.Key)
	if err != nil {
		return nil, err
	}
	plain, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(plain, credential.ServerConfig(loaded, nil)), nil
}

// Clients keeps one net/rpc connection for each address, for as long as the peer keeps it
// open: the process at an address may have been replaced.
type Clients struct {
	network *Network
	mu      sync.Mutex
	byAddr  map[string]*connection
	closed  bool
}

// connection is a net/rpc client that is forgotten once its peer has closed it.
type connection struct {
	net.Conn
	rpc    *rpc.Client
	forget func()
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.forget()
		_ = c.Close()
	}
	return n, err
}

// NewClients returns an empty set of connections.
func NewClients(network *Network) *Clients {
	return &Clients{network: network, byAddr: make(map[string]*connection)}
}

// Call calls a method and waits for the reply until ctx ends. The context must have
// a deadline. A connection on which a call timed out is dropped, so that an
// unresponsive peer does not delay later calls.
func (c *Clients) Call(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.connect(ctx, address)
	if err != nil {
		return &CallError{Address: address, Method: method, Err: err}
	}
	call := conn.rpc.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		c.drop(address, conn)
		return &CallError{Address: address, Method: method, Err: ctx.Err()}
	}
	var serverError rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &serverError) {
		c.drop(address, conn)
	}
	if call.Error != nil {
		return &CallError{Address: address, Method: method, Err: call.Error}
	}
	return nil
}

// CallOnce is Call for an address that is called rarely: without a connection to it, it uses one for this call only.
func (c *Clients) CallOnce(ctx context.Context, address, method string, args, reply any) error {
	c.mu.Lock()
	_, connected := c.byAddr[address]
	closed := c.closed
	c.mu.Unlock()
	if connected || closed {
		return c.Call(ctx, address, method, args, reply)
	}
	once := NewClients(c.network)
	defer once.Close()
	return once.Call(ctx, address, method, args, reply)
}

// Close closes all connections.
func (c *Clients) Close() {
	c.mu.Lock()
	c.closed = true
	open := slices.Collect(maps.Values(c.byAddr))
	clear(c.byAddr)
	c.mu.Unlock()
	for _, conn := range open {
		_ = conn.rpc.Close()
	}
}

func (c *Clients) connect(ctx context.Context, address string) (*connection, error) {
	c.mu.Lock()
	conn, ok := c.byAddr[address]
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return nil, ErrClosed
	}
	if ok {
		return conn, nil
	}
	dialed, err := c.network.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return c.add(address, dialed)
}

func (c *Clients) add(address string, dialed net.Conn) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = dialed.Close()
		return nil, ErrClosed
	}
	if earlier, ok := c.byAddr[address]; ok {
		_ = dialed.Close()
		return earlier, nil
	}
	fresh := &connection{Conn: dialed}
	fresh.forget = func() { c.forget(address, fresh) }
	fresh.rpc = rpc.NewClientWithCodec(newClientCodec(fresh))
	c.byAddr[address] = fresh
	return fresh, nil
}

// drop closes a connection and takes it out of use. Calls that wait for a reply fail.
func (c *Clients) drop(address string, conn *connection) {
	c.forget(address, conn)
	_ = conn.rpc.Close()
}

func (c *Clients) forget(address string, conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byAddr[address] == conn {
		delete(c.byAddr, address)
	}
}
