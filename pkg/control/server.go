package control

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"sync"

	"github.com/lilacweir/lilacweir/pkg/credential"
)

// Bounds of messages, and of connections to a Server.
const (
	// MaxMessage bounds one request or reply in bytes: an uncompressed head of a megabyte,
	// with a wide margin.
	MaxMessage = 16 << 20
	// maxConnections bounds open connections; a node of the largest planned
	// deployment has fewer than a hundred control peers.
	maxConnections = 1024
)

// ErrMessageTooLarge means that a peer sent a request or a reply above MaxMessage.
var ErrMessageTooLarge = errors.New("control message too large")

// Server serves net/rpc to lilacweir processes with bounds on request size and
// number of connections; Close closes all connections.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
}

// NewServer listens on the address. Register services before calling Serve.
func NewServer(network *Network, address string) (*Server, error) {
	listener, err := network.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	return &Server{listener: listener, rpc: rpc.NewServer(), conns: make(map[net.Conn]struct{})}, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Register registers a service's methods under the name.
func (s *Server) Register(name string, service any) error {
	if err := s.rpc.RegisterName(name, service); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

// Serve accepts connections until Close.
func (s *Server) Serve() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || !s.add(conn) {
			continue
		}
		go s.serve(conn)
	}
}

// Close stops listening and closes every connection.
func (s *Server) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
	if err := s.listener.Close(); err != nil {
		return fmt.Errorf("control: %w", err)
	}
	return nil
}

func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.conns) >= maxConnections {
		_ = conn.Close()
		return false
	}
	s.conns[conn] = struct{}{}
	return true
}

func (s *Server) remove(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
	_ = conn.Close()
}

func (s *Server) serve(conn net.Conn) {
	defer s.remove(conn)
	if secured, ok := conn.(*tls.Conn); ok {
		ctx, cancel := context.WithTimeout(context.Background(), credential.HandshakeTimeout)
		err := secured.HandshakeContext(ctx)
		cancel()
		if err != nil {
			return
		}
	}
	s.rpc.ServeCodec(newServerCodec(conn))
}
