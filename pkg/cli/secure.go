package cli

import (
	"context"
	"net"
	"net/http"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/responsehead"
)

// Schemes of the addresses.
const (
	schemePlain  = "http"
	schemeSecure = "https"
)

// AuthorityFlag selects how the servers' certificates are verified.
type AuthorityFlag struct {
	Authority string `help:"PEM file that the servers' certificates are checked against; without it plain HTTP is spoken." type:"path"`
}

// transport returns an HTTP client and a URL scheme, plain when no authority is
// set. The error is a *credential.FileError.
func (f AuthorityFlag) transport() (*http.Client, string, error) {
	if f.Authority == "" {
		return &http.Client{Transport: responsehead.NewTransport(&http.Transport{})}, schemePlain, nil
	}
	authority, err := f.read()
	if err != nil {
		return nil, "", err
	}
	secure := &credential.Client{Authority: authority}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		return new(net.Dialer).DialContext(ctx, network, address)
	}
	transport := &http.Transport{DialTLSContext: secure.Secure(dial)}
	return &http.Client{Transport: responsehead.NewTransport(transport)}, schemeSecure, nil
}

func (f AuthorityFlag) read() (*credential.Authority, error) {
	return credential.NewStore(clock.System{}).Authority(f.Authority)
}

// caller returns a client of gateways.
func (f AuthorityFlag) caller(key string) (*client.Client, error) {
	if f.Authority == "" {
		return client.New(key, nil), nil
	}
	authority, err := f.read()
	if err != nil {
		return nil, err
	}
	return client.NewTLS(key, nil, authority), nil
}
