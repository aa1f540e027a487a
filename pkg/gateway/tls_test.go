package gateway

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/settings"
)

// testSecurity writes a certificate that is its own authority.
func testSecurity(t *testing.T) settings.Security {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	public := writePEM(t, "certificate.pem", "CERTIFICATE", certificate)
	return settings.Security{Certificate: public, Authority: public, Key: writePEM(t, "key.pem", "PRIVATE KEY", secret)}
}

func writePEM(t *testing.T, name, kind string, data []byte) string {
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// Forwarded requests name their caller without the caller's key, so the door for
// them must know who knocks.
func TestForwardedRequestsNeedACertificate(t *testing.T) {
	is := is.New(t)
	b := newSecuredBed(t, testSecurity(t))
	got := b.send(testContext(t), review.method, review.path, roamerKey, review.body, nil)
	is.Equal(b.told(got), complete)
	is.Equal(b.ran(), 1)
	stranger := &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}} // knows no key
	for _, scheme := range []string{"http", "https"} {
		request, err := http.NewRequest(http.MethodGet, scheme+"://"+b.southPeers+"/healthz", nil)
		is.NoErr(err)
		response, err := stranger.RoundTrip(request)
		is.True(err != nil || response.StatusCode == http.StatusBadRequest)
		if err == nil {
			is.NoErr(response.Body.Close())
		}
	}
}
