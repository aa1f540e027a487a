package credential_test

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/standin/certificate"
)

// echoServer is a listener with mutual TLS that echoes lines.
type echoServer struct {
	t        *testing.T
	store    *credential.Store
	out      bytes.Buffer
	log      zerolog.Logger
	security settings.Security
	address  string
}

func issue(t *testing.T, directory string) settings.Security {
	t.Helper()
	authority, err := certificate.Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	security, err := authority.Issue("kal-1", net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	return security
}

func material(t *testing.T, store *credential.Store, security settings.Security) (*credential.Pair, *credential.Authority) {
	t.Helper()
	pair, err := store.Pair(security.Certificate, security.Key)
	if err != nil {
		t.Fatal(err)
	}
	authority, err := store.Authority(security.Authority)
	if err != nil {
		t.Fatal(err)
	}
	return pair, authority
}

func newEchoServer(t *testing.T, directory string, c clock.Clock) *echoServer {
	server := &echoServer{t: t, store: credential.NewStore(c), security: issue(t, directory)}
	server.log = zerolog.New(&server.out)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", credential.ServerConfig(material(t, server.store, server.security)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	server.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				line, _ := bufio.NewReader(conn).ReadString('\n')
				_, _ = conn.Write([]byte(line))
				_ = conn.Close()
			}()
		}
	}()
	return server
}

// open connects with a client's credentials. A rejection may only be seen by echo.
func (s *echoServer) open(security settings.Security) (*tls.Conn, error) {
	pair, authority := material(s.t, credential.NewStore(clock.System{}), security)
	secure := &credential.Client{Authority: authority, Pair: pair}
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Minute)
	defer cancel()
	conn, err := secure.Secure((&net.Dialer{}).DialContext)(ctx, "tcp", s.address)
	if err != nil {
		return nil, err
	}
	return conn.(*tls.Conn), nil
}

func echo(conn *tls.Conn) error {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte("hello\n")); err != nil {
		return err
	}
	_, err := bufio.NewReader(conn).ReadString('\n')
	return err
}

func serial(conn *tls.Conn) string {
	return conn.ConnectionState().PeerCertificates[0].SerialNumber.String()
}

func (s *echoServer) events(name string) int {
	return strings.Count(s.out.String(), `"`+name+`"`)
}

func TestCertificateIsRenewedWithoutRestart(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	server := newEchoServer(t, directory, clock.System{})
	first, err := server.open(server.security)
	is.NoErr(err)
	before := serial(first)

	issue(t, directory)
	server.store.Poll(server.log)
	second, err := server.open(server.security)
	is.NoErr(err)
	renewed := serial(second)
	is.True(renewed != before)
	is.NoErr(echo(second))
	is.Equal(server.events("credential-renewed"), 1)

	client := server.security
	client.Certificate, client.Key = copyOf(t, client.Certificate), copyOf(t, client.Key)
	is.NoErr(os.WriteFile(server.security.Certificate, []byte("broken"), 0o600))
	for range 3 {
		server.store.Poll(server.log)
	}
	is.Equal(server.events("credential-refused"), 1) // logged once
	third, err := server.open(client)
	is.NoErr(err)
	is.Equal(serial(third), renewed) // the old one stays in use
	is.NoErr(echo(third))
	is.NoErr(echo(first)) // open connections continue
	registry := metrics.NewRegistry()
	server.store.Register(registry)
	is.Equal(registry.Get("credentials.refused").(metrics.Gauge).Value(), int64(1))
}

func copyOf(t *testing.T, file string) string {
	t.Helper()
	data, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(file+".copy", data, 0o600); err != nil {
		t.Fatal(err)
	}
	return file + ".copy"
}

func TestAuthorityIsRenewedWithoutRestart(t *testing.T) {
	is := is.New(t)
	server := newEchoServer(t, t.TempDir(), clock.System{})
	theirs := issue(t, t.TempDir())
	client := settings.Security{Certificate: theirs.Certificate, Key: theirs.Key, Authority: server.security.Authority}
	try := func() error {
		conn, err := server.open(client)
		if err != nil {
			return err
		}
		return echo(conn)
	}
	is.True(try() != nil) // another authority
	ours, err := os.ReadFile(server.security.Authority)
	is.NoErr(err)
	added, err := os.ReadFile(theirs.Authority)
	is.NoErr(err)
	is.NoErr(os.WriteFile(server.security.Authority, append(bytes.Clone(ours), added...), 0o600))
	server.store.Poll(server.log)
	is.NoErr(try())
	is.NoErr(os.WriteFile(server.security.Authority, ours, 0o600))
	server.store.Poll(server.log)
	is.True(try() != nil) // withdrawn
}

func TestExpiryWarningsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	server := newEchoServer(t, t.TempDir(), clock.Func(func() time.Time { return now }))
	leaf, err := server.store.Pair(server.security.Certificate, server.security.Key)
	is.NoErr(err)
	end := leaf.Certificate().Leaf.NotAfter
	registry := metrics.NewRegistry()
	server.store.Register(registry)
	for _, step := range []struct {
		left          time.Duration
		soon, expired int
	}{
		{31 * 24 * time.Hour, 0, 0},
		{29 * 24 * time.Hour, 2, 0}, // the pair and the authority
		{8 * 24 * time.Hour, 2, 0},
		{6 * 24 * time.Hour, 4, 0},
		{-time.Hour, 4, 2},
	} {
		now = end.Add(-step.left)
		server.store.Poll(server.log)
		server.store.Poll(server.log)
		is.Equal(server.events("certificate-expires-soon"), step.soon)
		is.Equal(server.events("certificate-expired"), step.expired)
		left := registry.Get("credentials.expiry_seconds").(metrics.Gauge).Value()
		is.True((time.Duration(left)*time.Second - step.left).Abs() <= 2*time.Second)
	}
	var expired *credential.ExpiryError
	_, err = credential.LoadPair(server.security.Certificate, server.security.Key, now)
	is.True(errors.As(err, &expired))
}
