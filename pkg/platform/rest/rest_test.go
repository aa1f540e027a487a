package rest_test

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/rest"
	"github.com/lilacweir/lilacweir/pkg/standin/fleet"
)

func serve(t *testing.T, handler http.Handler) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

var dial = (&net.Dialer{}).DialContext

func TestDirectoryEntriesExpire(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	address := serve(t, fleet.NewDirectory(clock.Func(func() time.Time { return now })).Handler())
	directory := rest.NewDirectory(address, dial, rest.Access{})
	entries := []platform.DirectoryEntry{
		{Instance: "kal-1", Domain: "kalamaria-hall", Region: "makedonia", Address: "127.10.1.1:8080"},
		{Instance: "lar-1", Domain: "larisa-hall", Region: "thessalia", Address: "127.10.2.1:8080"},
	}
	is.NoErr(directory.Register(t.Context(), entries[1], 20*time.Second))
	is.NoErr(directory.Register(t.Context(), entries[0], 10*time.Second))
	found, err := directory.Lookup(t.Context())
	is.NoErr(err)
	is.Equal(found, entries)
	now = now.Add(10 * time.Second)
	found, err = directory.Lookup(t.Context())
	is.NoErr(err)
	is.Equal(found, entries[1:])
	is.NoErr(directory.Deregister(t.Context(), "lar-1"))
	found, err = directory.Lookup(t.Context())
	is.NoErr(err)
	is.Equal(len(found), 0)
	err = directory.Register(t.Context(), entries[0], 0)
	is.True(errors.Is(err, platform.ErrUnavailable))
}

func TestListLags(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	initial := []platform.ListedInstance{{Name: "kal-1", Domain: "kalamaria-hall"}, {Name: "lar-1", Domain: "larisa-hall"}}
	list := fleet.NewList(clock.Func(func() time.Time { return now }), 3*time.Second, initial)
	client := rest.NewInstanceList(serve(t, list.Handler()), dial, rest.Access{})
	is.True(list.MarkLeaving("lar-1", true))
	is.True(!list.MarkLeaving("per-1", true))
	now = now.Add(2 * time.Second)
	listed, err := client.List(t.Context(), "larisa-hall")
	is.NoErr(err)
	is.Equal(listed, initial[1:]) // the change is not listed yet
	now = now.Add(time.Second)
	listed, err = client.List(t.Context(), "larisa-hall")
	is.NoErr(err)
	is.Equal(len(listed), 1)
	is.True(listed[0].Leaving)
}

func TestWeightStoreTellsHowLongToWait(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	weights := fleet.NewWeights(clock.Func(func() time.Time { return now }), 30)
	client := rest.NewWeightStore(serve(t, weights.Handler()), dial, rest.Access{})
	wait, err := client.Reserve(t.Context(), "lilac-nurse", "v2")
	is.NoErr(err)
	is.Equal(wait, time.Duration(0))
	for range 2 { // a refused reservation reserves nothing
		wait, err = client.Reserve(t.Context(), "lilac-nurse", "v2")
		is.NoErr(err)
		is.Equal(wait, 2*time.Second)
	}
	now = now.Add(2 * time.Second)
	wait, err = client.Reserve(t.Context(), "lilac-nurse", "v2")
	is.NoErr(err)
	is.Equal(wait, time.Duration(0))
}
