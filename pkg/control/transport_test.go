package control_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/gob"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// Echo is a net/rpc service whose Wait method answers only when released.
type Echo struct{ release chan struct{} }

// Say returns its argument.
func (Echo) Say(text string, reply *string) error {
	*reply = text
	return nil
}

// Wait answers once released.
func (e Echo) Wait(text string, reply *string) error {
	<-e.release
	*reply = text
	return nil
}

func serve(t *testing.T, network *control.Network) (address string, echo Echo) {
	t.Helper()
	server, err := control.NewServer(network, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	echo = Echo{release: make(chan struct{})}
	if err := server.Register("Echo", echo); err != nil {
		t.Fatal(err)
	}
	go server.Serve()
	t.Cleanup(func() { _ = server.Close() })
	return server.Address(), echo
}

func plainNetwork(t *testing.T, via map[string]string) *control.Network {
	t.Helper()
	network, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, via)
	if err != nil {
		t.Fatal(err)
	}
	return network
}

func TestCallDropsTheConnectionOfACallThatTimedOut(t *testing.T) {
	is := is.New(t)
	network := plainNetwork(t, nil)
	address, echo := serve(t, network)
	clients := control.NewClients(network)
	defer clients.Close()

	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var late string
	err := clients.Call(ctx, address, "Echo.Wait", "late", &late)
	is.True(errors.Is(err, context.Canceled))
	close(echo.release)

	var reply string
	is.NoErr(clients.Call(t.Context(), address, "Echo.Say", "fresh", &reply))
	is.Equal(reply, "fresh")
}

func TestCallTranslatesAddresses(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, plainNetwork(t, nil))
	clients := control.NewClients(plainNetwork(t, map[string]string{"127.9.9.9:1": address}))
	defer clients.Close()
	var reply string
	is.NoErr(clients.Call(t.Context(), "127.9.9.9:1", "Echo.Say", "there", &reply))
	is.Equal(reply, "there")
}

func TestCallNamesAddressAndMethodOfAFailure(t *testing.T) {
	is := is.New(t)
	address, _ := serve(t, plainNetwork(t, nil))
	clients := control.NewClients(plainNetwork(t, nil))
	defer clients.Close()
	var reply string
	err := clients.Call(t.Context(), address, "Echo.Missing", "x", &reply)
	var callError *control.CallError
	is.True(errors.As(err, &callError))
	is.Equal(callError.Address, address)
	is.Equal(callError.Method, "Echo.Missing")
}

func TestServerEndsAConnectionThatSendsTooMuchOrNonsense(t *testing.T) {
	network := plainNetwork(t, nil)
	address, _ := serve(t, network)
	huge := make([]byte, control.MaxMessage+1)
	tests := map[string]func(io.Writer) error{
		"nonsense": func(w io.Writer) error {
			_, err := w.Write(bytes.Repeat([]byte("GET / HTTP/1.1\r\n\r\n"), 100))
			return err
		},
		"too large": func(w io.Writer) error {
			encoder := gob.NewEncoder(w)
			if err := encoder.Encode(&rpc.Request{ServiceMethod: "Echo.Say", Seq: 1}); err != nil {
				return err
			}
			_ = encoder.Encode(string(huge)) // the server may close while this is written
			return nil
		},
	}
	for name, send := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			conn, err := net.Dial("tcp", address)
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(send(conn))
			reply, _ := io.ReadAll(conn)                          // ends when the server closes
			is.True(!bytes.Contains(reply, []byte(huge[:1<<20]))) // the message was not answered
			clients := control.NewClients(network)                // others are served on
			defer clients.Close()
			var fresh string
			is.NoErr(clients.Call(t.Context(), address, "Echo.Say", "fresh", &fresh))
			is.Equal(fresh, "fresh")
		})
	}
}

func TestMutualTLS(t *testing.T) {
	ours := newAuthority(t)
	theirs := newAuthority(t)
	tests := []struct {
		name    string
		client  settings.Security
		succeed bool
	}{
		{"same authority", ours.issue(t), true},
		{"foreign authority", theirs.issue(t), false},
		{"plain text", settings.Security{PlaintextLoopback: true}, false},
	}
	network, err := control.NewNetwork(ours.issue(t), nil)
	if err != nil {
		t.Fatal(err)
	}
	address, _ := serve(t, network)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			network, err := control.NewNetwork(test.client, nil)
			is.NoErr(err)
			clients := control.NewClients(network)
			defer clients.Close()
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var reply string
			err = clients.Call(ctx, address, "Echo.Say", "hello", &reply)
			is.Equal(err == nil, test.succeed)
			is.Equal(reply == "hello", test.succeed)
		})
	}
}

func TestNewNetworkNamesTheFileAtFault(t *testing.T) {
	is := is.New(t)
	security := newAuthority(t).issue(t)
	is.NoErr(os.WriteFile(security.Authority, []byte("not a certificate"), 0o600))
	_, err := control.NewNetwork(security, nil)
	var securityError *control.SecurityError
	is.True(errors.As(err, &securityError))
	is.Equal(securityError.File, security.Authority)
}

// authority signs certificates for 127.0.0.1.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) authority {
	t.Helper()
	template := &x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "test authority"},
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	key := newKey(t)
	certificate := sign(t, template, template, key, key)
	return authority{certificate: certificate, key: key}
}

func (a authority) issue(t *testing.T) settings.Security {
	t.Helper()
	key := newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2),
		Subject:      pkix.Name{CommonName: "test instance"},
		NotAfter:     time.Now().Add(time.Hour),
		IPAddresses:  []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	leaf := sign(t, template, a.certificate, key, a.key)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	return settings.Security{
		Certificate: writePEM(t, dir, "instance.pem", "CERTIFICATE", leaf.Raw),
		Key:         writePEM(t, dir, "instance.key", "PRIVATE KEY", der),
		Authority:   writePEM(t, dir, "authority.pem", "CERTIFICATE", a.certificate.Raw),
	}
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func sign(t *testing.T, template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) *x509.Certificate {
	t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return certificate
}

func writePEM(t *testing.T, dir, name, kind string, der []byte) string {
	t.Helper()
	path := filepath.Join(dir, name)
	block := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(path, block, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
