package gateway

import (
	"crypto/tls"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/standin/certificate"
)

// testSecurity writes an authority and a certificate that it issued.
func testSecurity(t *testing.T) settings.Security {
	t.Helper()
	authority, err := certificate.Open(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	security, err := authority.Issue("test", net.IPv4(127, 0, 0, 1))
	if err != nil {
		t.Fatal(err)
	}
	return security
}

// Forwarded requests name their caller without the caller's key, so the listener
// for them must authenticate the sender.
func TestForwardedRequestsNeedACertificate(t *testing.T) {
	is := is.New(t)
	h := newSecuredHarness(t, testSecurity(t))
	got := h.send(testContext(t), review.method, review.path, roamerKey, review.body, nil)
	is.Equal(h.reported(got), complete)
	is.Equal(h.runs(), 1)
	unauthenticated := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}} // has no certificate
	for _, scheme := range []string{"http", "https"} {
		request, err := http.NewRequest(http.MethodGet, scheme+"://"+h.southPeers+"/healthz", nil)
		is.NoErr(err)
		response, err := unauthenticated.RoundTrip(request)
		is.True(err != nil || response.StatusCode == http.StatusBadRequest)
		if err == nil {
			is.NoErr(response.Body.Close())
		}
	}
}
