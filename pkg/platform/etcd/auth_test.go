package etcd_test

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/credential"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/access"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/standin/certificate"
	"github.com/lilacweir/lilacweir/pkg/standin/kv"
)

const (
	user     = "lilacweir"
	password = "long and random"
)

// securePlatform is a key-value service with TLS and one user.
type securePlatform struct {
	service    *kv.Service
	configured settings.Platform
}

func issue(t *testing.T) settings.Security {
	t.Helper()
	authority, err := certificate.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	security, err := authority.Issue("platform", net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	return security
}

func startSecure(t *testing.T) securePlatform {
	t.Helper()
	security := issue(t)
	pair, err := credential.LoadPair(security.Certificate, security.Key, clock.System{}.Now())
	if err != nil {
		t.Fatal(err)
	}
	rates := 1000
	service := kv.New(kv.Settings{WritesPerSecond: rates, ReadsPerSecond: rates, Users: map[string]string{user: password}}, clock.System{})
	server := httptest.NewUnstartedServer(service.Handler())
	server.TLS = &tls.Config{Certificates: []tls.Certificate{*pair}}
	server.StartTLS()
	t.Cleanup(server.Close)
	file := filepath.Join(t.TempDir(), "password")
	if err := os.WriteFile(file, []byte(password+"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	return securePlatform{service, settings.Platform{
		KeyValue: []string{server.Listener.Addr().String()}, Prefix: "wellness/",
		Access: settings.Access{KeyValue: settings.KeyValueAccess{
			TLS: settings.ClientTLS{Authority: security.Authority}, User: user, PasswordFile: file,
		}},
	}}
}

func (p securePlatform) connect(t *testing.T) *etcd.Client {
	t.Helper()
	store := credential.NewStore(clock.System{})
	client, err := access.KeyValue(store, p.configured, (&net.Dialer{}).DialContext)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(client.Close)
	return client
}

func TestRejectedTokenIsRenewed(t *testing.T) {
	is := is.New(t)
	p := startSecure(t)
	client := p.connect(t)
	revision, err := client.Swap(t.Context(), map[string]int64{"head": 0}, put("head", "one"))
	is.NoErr(err)
	p.service.ForgetTokens()
	_, err = client.Swap(t.Context(), map[string]int64{"head": revision}, put("head", "two"))
	is.NoErr(err)
	p.service.ForgetTokens()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	changes, err := client.Watch(ctx, "head", revision)
	is.NoErr(err)
	is.Equal(string((<-changes).Value), "two")
	is.Equal(p.service.Counts().Txn, int64(2)) // the rejected calls did not run
}

func TestRefusedCredentialsAndServers(t *testing.T) {
	tests := []struct {
		name   string
		change func(p *securePlatform)
		want   func(err error) bool
	}{
		{"wrong password", func(p *securePlatform) { p.service.SetPassword(user, "another") }, func(err error) bool {
			var refused *etcd.AuthenticationError
			return errors.As(err, &refused) && refused.User == user
		}},
		{"no user", func(p *securePlatform) { p.configured.Access.KeyValue.User = "" }, func(err error) bool {
			var refused *etcd.StatusError
			return errors.As(err, &refused) && refused.Status == 401
		}},
		{"foreign authority", func(p *securePlatform) { p.configured.Access.KeyValue.TLS.Authority = issue(t).Authority }, func(err error) bool {
			var foreign *tls.CertificateVerificationError
			return errors.As(err, &foreign)
		}},
		{"another server's name", func(p *securePlatform) { p.configured.Access.KeyValue.TLS.ServerName = "elsewhere" }, func(err error) bool {
			var foreign *tls.CertificateVerificationError
			return errors.As(err, &foreign)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := startSecure(t)
			test.change(&p)
			_, err := p.connect(t).Swap(t.Context(), nil, put("head", "one"))
			is.True(errors.Is(err, platform.ErrUnavailable))
			is.True(test.want(err))
			is.True(!strings.Contains(err.Error(), password))
			is.Equal(p.service.Counts().Txn, int64(0))
		})
	}
}
