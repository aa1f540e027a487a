package quarantine_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// TestFingerprintsTellRequestsApart guards against refusing a request for what another did:
// whatever part of the content differs, also where parts run into each other.
func TestFingerprintsTellRequestsApart(t *testing.T) {
	is := is.New(t)
	base := quarantine.Content{Organisation: "o", Method: "POST", Host: "h", Path: "/a/b", Body: []byte("body")}
	others := []quarantine.Content{
		{Organisation: "p", Method: "POST", Host: "h", Path: "/a/b", Body: []byte("body")},
		{Organisation: "o", Method: "PUT", Host: "h", Path: "/a/b", Body: []byte("body")},
		{Organisation: "o", Method: "POST", Host: "i", Path: "/a/b", Body: []byte("body")},
		{Organisation: "o", Method: "POST", Host: "h", Path: "/a/b?c=1", Body: []byte("body")},
		{Organisation: "o", Method: "POST", Host: "h", Path: "/a/b", Body: []byte("bodz")},
		{Organisation: "oP", Method: "OST", Host: "h", Path: "/a/b", Body: []byte("body")},
		{Organisation: "o", Method: "POST", Host: "h", Path: "/a/bbody"},
	}
	same := base
	is.Equal(same.Fingerprint(), base.Fingerprint())
	for _, other := range others {
		is.True(other.Fingerprint() != base.Fingerprint())
	}
	is.Equal(len(base.Fingerprint().String()), 32)
}
