package orderhttp_test

import (
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/order"
	"github.com/lilacweir/lilacweir/pkg/order/orderhttp"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/standin/engine"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

func permitted() error { return nil }

func TestOrdersReachAnEngineThatChecks(t *testing.T) {
	is := is.New(t)
	j := journal.New()
	one := engine.Settings{
		Name: "nurse-1", Domain: "hall", Serves: "lilac-nurse", Version: "v1", Concurrency: 1, DecodeRate: 1, PrefillRate: 1,
		LoadLag: time.Second, ChecksFencing: true,
	}
	server := httptest.NewServer(engine.New(one, clock.System{}, j).Handler())
	defer server.Close()
	links, err := control.NewNetwork(settings.Security{PlaintextLoopback: true}, nil)
	is.NoErr(err)
	var connected atomic.Bool
	client := orderhttp.New(func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := links.DialPlain(ctx, network, address)
		connected.Store(err == nil)
		return conn, err
	})
	upstream := config.Upstream{Name: "nurse-1", Address: server.Listener.Addr().String()}
	load := func(version string, fence int64) order.Load {
		return order.Load{ID: version, Upstream: upstream, Model: "lilac-nurse", Version: version, Fence: fence}
	}

	is.NoErr(client.Send(t.Context(), load("v2", 9), permitted))
	for {
		state, err := client.State(t.Context(), upstream)
		is.NoErr(err)
		is.Equal(state.Fence, int64(9))
		if state.Version == "v2" {
			break
		}
	}
	is.True(errors.Is(client.Send(t.Context(), load("v1", 8), permitted), order.ErrStaleFence))

	connected.Store(false)
	refuse := func() error {
		is.True(connected.Load()) // called once the connection is established
		return order.ErrNoLease
	}
	is.True(errors.Is(client.Send(t.Context(), load("v3", 10), refuse), order.ErrNoLease))
	is.Equal(len(j.Entries("nurse-1")), 2) // the third order did not arrive
}

func TestCallsEndByTheirDeadline(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	client := orderhttp.New((&net.Dialer{}).DialContext)
	_, err = client.State(t.Context(), config.Upstream{Name: "nurse-1", Address: silent.Addr().String()})
	is.True(errors.Is(err, context.DeadlineExceeded))
}
