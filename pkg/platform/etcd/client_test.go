package etcd_test

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd"
	"github.com/lilacweir/lilacweir/pkg/standin/kv"
)

// shortTimeout keeps tests that wait for a timeout short.
const shortTimeout = 100 * time.Millisecond

// manualClock is a clock that a test advances.
type manualClock struct{ nanos atomic.Int64 }

func (m *manualClock) Now() time.Time          { return time.Unix(0, m.nanos.Load()) }
func (m *manualClock) advance(d time.Duration) { m.nanos.Add(int64(d)) }

func start(t *testing.T, c clock.Clock, rates int) (*kv.Service, string) {
	t.Helper()
	service := kv.New(kv.Settings{WritesPerSecond: rates, ReadsPerSecond: rates}, c)
	server := httptest.NewServer(service.Handler())
	t.Cleanup(server.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go service.Run(ctx)
	return service, server.Listener.Addr().String()
}

func connect(t *testing.T, options etcd.Options) *etcd.Client {
	t.Helper()
	options.Prefix = "wellness/"
	if options.Dial == nil {
		options.Dial = (&net.Dialer{}).DialContext
	}
	client := etcd.New(options)
	t.Cleanup(client.Close)
	return client
}

func put(key, value string) []platform.Put {
	return []platform.Put{{Key: key, Value: []byte(value)}}
}

func TestSwapIsCompareAndSwap(t *testing.T) {
	is := is.New(t)
	_, address := start(t, clock.System{}, 1000)
	client := connect(t, etcd.Options{Endpoints: []string{address}})
	ctx := t.Context()

	first, err := client.Swap(ctx, map[string]int64{"head": 0}, put("head", "one"))
	is.NoErr(err)
	_, err = client.Swap(ctx, map[string]int64{"head": 0}, put("head", "two"))
	is.True(errors.Is(err, platform.ErrConflict)) // the key exists by now
	both := append(put("head", "three"), put("audit/1", "a")...)
	second, err := client.Swap(ctx, map[string]int64{"head": first, "audit/1": 0}, both)
	is.NoErr(err)
	is.True(second > first)

	entry, ok, err := client.Get(ctx, "head")
	is.NoErr(err)
	is.True(ok)
	is.Equal(entry, platform.Entry{Key: "head", Value: []byte("three"), ModRevision: second, CreateRevision: first})
	_, ok, err = client.Get(ctx, "absent")
	is.NoErr(err)
	is.True(!ok)
}

func TestRangeReturnsAPrefixInOrder(t *testing.T) {
	is := is.New(t)
	_, address := start(t, clock.System{}, 1000)
	client := connect(t, etcd.Options{Endpoints: []string{address}})
	for _, key := range []string{"log/2", "log/1", "log/3", "lof", "loh"} {
		_, err := client.Swap(t.Context(), nil, put(key, key))
		is.NoErr(err)
	}
	entries, more, err := client.Range(t.Context(), "log/", 2)
	is.NoErr(err)
	is.True(more)
	is.Equal(len(entries), 2)
	is.Equal(entries[0].Key, "log/1")
	is.Equal(entries[1].Key, "log/2")
	entries, more, err = client.Range(t.Context(), "log/", 0)
	is.NoErr(err)
	is.True(!more)
	is.Equal(len(entries), 3)
}

func TestLostAnswerLeavesTheWriteInEffect(t *testing.T) {
	is := is.New(t)
	service, address := start(t, clock.System{}, 1000)
	_, spare := start(t, clock.System{}, 1000)
	client := connect(t, etcd.Options{Endpoints: []string{address, spare}})
	_, _, err := client.Get(t.Context(), "head") // opens the connection for the lost write
	is.NoErr(err)

	service.LoseAnswers(1)
	_, err = client.Swap(t.Context(), map[string]int64{"head": 0}, put("head", "one"))
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.True(!errors.Is(err, platform.ErrConflict))
	is.Equal(service.Counts().Txn, int64(1)) // the write is sent once
	is.Equal(service.Counts().Lost, int64(1))

	direct := connect(t, etcd.Options{Endpoints: []string{address}})
	entry, ok, err := direct.Get(t.Context(), "head")
	is.NoErr(err)
	is.True(ok)
	is.Equal(string(entry.Value), "one")
}

func TestWatchSendsChangesAfterARevision(t *testing.T) {
	is := is.New(t)
	service, address := start(t, clock.System{}, 1000)
	client := connect(t, etcd.Options{Endpoints: []string{address}})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()

	seen, err := client.Swap(ctx, nil, put("head", "one"))
	is.NoErr(err)
	_, err = client.Swap(ctx, nil, put("head", "two"))
	is.NoErr(err)
	changes, err := client.Watch(ctx, "head", seen)
	is.NoErr(err)
	is.Equal(string((<-changes).Value), "two") // made before the watch, after the revision
	_, err = client.Swap(ctx, nil, put("other", "x"))
	is.NoErr(err)
	_, err = client.Swap(ctx, nil, []platform.Put{{Key: "head", Delete: true}})
	is.NoErr(err)
	removed := <-changes
	is.Equal(removed.Key, "head")
	is.Equal(removed.CreateRevision, int64(0))
	is.Equal(service.Counts().Watching, 1)

	service.SetDown(true)
	_, open := <-changes
	is.True(!open) // an outage ends the watch
	_, err = client.Watch(ctx, "head", 0)
	is.True(errors.Is(err, platform.ErrUnavailable))
	service.SetDown(false)
	_, err = client.Watch(ctx, "head", removed.ModRevision)
	is.NoErr(err)
}

// stallingDialer opens connections that can be made to deliver no more data.
type stallingDialer struct {
	mu    sync.Mutex
	conns []*stallingConn
	// stallNew reports whether new connections deliver no data either.
	stallNew bool
}

type stallingConn struct {
	net.Conn
	stalled atomic.Bool
	done    chan struct{}
	once    sync.Once
}

func (d *stallingDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	stalling := &stallingConn{Conn: conn, done: make(chan struct{})}
	stalling.stalled.Store(d.stallNew)
	d.conns = append(d.conns, stalling)
	return stalling, nil
}

// stall stops all open connections from delivering data, and new ones too if stallNew is set.
func (d *stallingDialer) stall(stallNew bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stallNew = stallNew
	for _, conn := range d.conns {
		conn.stalled.Store(true)
	}
}

func (c *stallingConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if c.stalled.Load() {
		<-c.done
		return 0, net.ErrClosed
	}
	return count, err
}

func (c *stallingConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

func TestIdleWatchIsReopened(t *testing.T) {
	is := is.New(t)
	_, address := start(t, clock.System{}, 1000)
	dialer := &stallingDialer{}
	client := connect(t, etcd.Options{
		Endpoints: []string{address}, Dial: dialer.dial, WatchIdle: shortTimeout,
	})
	other := connect(t, etcd.Options{Endpoints: []string{address}})
	changes, err := client.Watch(t.Context(), "head", 0)
	is.NoErr(err)
	for _, value := range []string{"one", "two"} {
		dialer.stall(false)
		_, err = other.Swap(t.Context(), nil, put("head", value))
		is.NoErr(err)
		is.Equal(string((<-changes).Value), value) // delivered once, although its connection is dead
	}
	dialer.stall(true)
	_, open := <-changes
	is.True(!open) // the service is unreachable, so the watch ends
}

func TestWatchAndCompaction(t *testing.T) {
	is := is.New(t)
	service, address := start(t, clock.System{}, 1000)
	client := connect(t, etcd.Options{Endpoints: []string{address}})
	ctx := t.Context()
	first, err := client.Swap(ctx, nil, put("head", "one"))
	is.NoErr(err)
	last, err := client.Swap(ctx, nil, put("head", "two"))
	is.NoErr(err)
	_, err = client.Swap(ctx, nil, put("other", "x"))
	is.NoErr(err)
	service.Compact()

	_, err = client.Watch(ctx, "head", first)
	is.True(errors.Is(err, platform.ErrCompacted)) // the key has changed since
	unchanged, err := client.Watch(ctx, "head", last)
	is.NoErr(err)
	absent, err := client.Watch(ctx, "absent", 0)
	is.NoErr(err)
	_, err = client.Swap(ctx, nil, append(put("head", "three"), put("absent", "here")...))
	is.NoErr(err)
	is.Equal(string((<-unchanged).Value), "three")
	is.Equal(string((<-absent).Value), "here")
}

func TestKeysAreDeletedWithTheirLease(t *testing.T) {
	is := is.New(t)
	now := &manualClock{}
	_, address := start(t, now, 1000)
	client := connect(t, etcd.Options{Endpoints: []string{address}})
	ctx := t.Context()

	lease, err := client.Grant(ctx, 4500*time.Millisecond)
	is.NoErr(err)
	created, err := client.Swap(ctx, nil, []platform.Put{{Key: "order", Value: []byte("kal-1"), Lease: lease}})
	is.NoErr(err)
	changes, err := client.Watch(ctx, "order", created)
	is.NoErr(err)
	now.advance(4 * time.Second)
	left, err := client.KeepAlive(ctx, lease)
	is.NoErr(err)
	is.Equal(left, 5*time.Second) // the service counts in whole seconds
	now.advance(5 * time.Second)
	is.Equal((<-changes).CreateRevision, int64(0)) // the watch reports the expiry without any call

	_, err = client.KeepAlive(ctx, lease)
	is.True(errors.Is(err, platform.ErrLeaseLost))
	_, err = client.Swap(ctx, nil, []platform.Put{{Key: "order", Value: []byte("kal-1"), Lease: lease}})
	is.True(errors.Is(err, platform.ErrLeaseLost))
	is.True(errors.Is(client.Revoke(ctx, lease), platform.ErrLeaseLost))
	_, ok, err := client.Get(ctx, "order")
	is.NoErr(err)
	is.True(!ok)
}

func TestEveryCallEndsByItsDeadline(t *testing.T) {
	is := is.New(t)
	service, address := start(t, clock.System{}, 1000)
	client := connect(t, etcd.Options{Endpoints: []string{address}, CallTimeout: shortTimeout})
	service.SetSlow(time.Hour)
	_, _, err := client.Get(t.Context(), "head")
	is.True(errors.Is(err, platform.ErrUnavailable))
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = client.Watch(t.Context(), "head", 0)
	is.True(errors.Is(err, platform.ErrUnavailable))
}

func TestOtherEndpointsAreTried(t *testing.T) {
	is := is.New(t)
	service, address := start(t, clock.System{}, 1000)
	closed := httptest.NewServer(nil)
	gone := closed.Listener.Addr().String()
	closed.Close()
	client := connect(t, etcd.Options{Endpoints: []string{gone, address}})
	_, err := client.Swap(t.Context(), nil, put("head", "one")) // the write was never sent to the first endpoint
	is.NoErr(err)
	is.Equal(service.Counts().Txn, int64(1))
}

func TestRatesAndSizesAreBounded(t *testing.T) {
	is := is.New(t)
	service, address := start(t, clock.System{}, 1)
	// A megabyte takes seconds on a busy machine, and only the service's refusals count here.
	client := connect(t, etcd.Options{Endpoints: []string{address}, CallTimeout: time.Minute})
	largest := bytes.Repeat([]byte{'x'}, 1<<20)
	_, err := client.Swap(t.Context(), nil, []platform.Put{{Key: "head", Value: largest}})
	is.NoErr(err)
	const burst = 8
	errs := make(chan error, burst)
	for range burst {
		go func() {
			_, err := client.Swap(t.Context(), nil, put("head", "x"))
			errs <- err
		}()
	}
	refused := 0
	for range burst {
		if err := <-errs; err != nil {
			is.True(errors.Is(err, platform.ErrUnavailable))
			refused++
		}
	}
	is.True(refused > 0) // one write a second can't serve eight within their queueing time
	is.Equal(service.Counts().Limited, int64(refused))

	_, unlimited := start(t, clock.System{}, 1000)
	client = connect(t, etcd.Options{Endpoints: []string{unlimited}, CallTimeout: time.Minute})
	_, err = client.Swap(t.Context(), nil, []platform.Put{{Key: "head", Value: append(largest, 'x')}})
	is.True(err != nil)
}
