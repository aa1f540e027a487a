package quarantine_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// TestFingerprintsDistinguishRequests guards against refusing a request because of another one:
// any part of the content may differ, also where adjacent parts would concatenate to the same
// text.
func TestFingerprintsDistinguishRequests(t *testing.T) {
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

// TestKeysRoundTrip guards against a quarantine that is written and not found again.
func TestKeysRoundTrip(t *testing.T) {
	is := is.New(t)
	content := quarantine.Content{Method: "POST", Path: "/a", Body: []byte("body")}
	read, err := quarantine.Parse(content.Fingerprint().Key())
	is.NoErr(err)
	is.Equal(read, content.Fingerprint())
	for _, bad := range []string{"", "-", "00-1", content.Fingerprint().String(), content.Fingerprint().String() + "--1", "zz" + content.Fingerprint().Key()} {
		_, err := quarantine.Parse(bad)
		var parse *quarantine.ParseError
		is.True(errors.As(err, &parse))
	}
}

func FuzzParse(f *testing.F) {
	content := quarantine.Content{Method: "POST", Path: "/a", Body: []byte("body")}
	f.Add(content.Fingerprint().Key())
	f.Fuzz(func(t *testing.T, key string) {
		read, err := quarantine.Parse(key)
		if err != nil {
			return
		}
		again, err := quarantine.Parse(read.Key())
		if err != nil || again != read {
			t.Errorf("%q is read as %v, and that as %v, %v", key, read, again, err)
		}
	})
}
