package credential

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"time"
)

// HandshakeTimeout bounds a TLS handshake.
const HandshakeTimeout = 2 * time.Second

// Dial makes a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Client holds the TLS parameters of a client.
type Client struct {
	// Authority verifies the server's certificate.
	Authority *Authority
	// Pair is the client's certificate, nil when the server requires none.
	Pair *Pair
	// ServerName is the name that the server's certificate must hold; empty means the
	// dialed host.
	ServerName string
}

// config returns the TLS configuration of one connection to host, with the current
// credentials.
func (c *Client) config(host string) *tls.Config {
	config := &tls.Config{RootCAs: c.Authority.Pool(), ServerName: c.ServerName, MinVersion: tls.VersionTLS13}
	if config.ServerName == "" {
		config.ServerName = host
	}
	if c.Pair != nil {
		config.Certificates = []tls.Certificate{*c.Pair.Certificate()}
	}
	return config
}

// Secure returns a Dial that makes TLS connections. A failed handshake is a
// *net.OpError with Op "dial", since nothing of a request was sent.
func (c *Client) Secure(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, errors.Join(err, conn.Close())
		}
		ctx, cancel := context.WithTimeout(ctx, HandshakeTimeout)
		defer cancel()
		secured := tls.Client(conn, c.config(host))
		if err := secured.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Addr: conn.RemoteAddr(), Err: err}
		}
		return secured, nil
	}
}

// ServerConfig returns the TLS configuration of a server. Every client must have a
// certificate of the authority, unless it is nil.
func ServerConfig(pair *Pair, authority *Authority) *tls.Config {
	config := &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return pair.Certificate(), nil },
		MinVersion:     tls.VersionTLS13,
		// A resumed session would outlast the authority that it was checked against.
		SessionTicketsDisabled: true,
	}
	if authority == nil {
		return config
	}
	config.ClientAuth = tls.RequireAndVerifyClientCert
	config.ClientCAs = authority.Pool()
	config.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := config.Clone()
		current.GetConfigForClient = nil
		current.ClientCAs = authority.Pool()
		return current, nil
	}
	return config
}
