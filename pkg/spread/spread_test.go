package spread

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

func head(revision config.Revision) *config.Head {
	return &config.Head{Revision: revision, Declaration: &config.Declaration{}}
}

// Heads that arrive from the watch, the peers and the gateway, in any order and
// concurrently, leave the highest revision in force, and no revision that is read meanwhile
// is lower than the one before.
func TestRevisionNeverDecreases(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		section := new(board.Section[config.Head])
		keeper := NewKeeper(section, func(*config.Head, Source) {})
		sources := rapid.SliceOfN(rapid.SliceOfN(rapid.Uint64Range(1, 20), 0, 10), 1, 4).Draw(t, "sources")
		highest := config.Revision(0)
		for _, revisions := range sources {
			for _, revision := range revisions {
				highest = max(highest, config.Revision(revision))
			}
		}
		var senders, reader sync.WaitGroup
		var done, decreased atomic.Bool
		reader.Go(func() {
			last := config.Revision(0)
			for !done.Load() {
				now := keeper.Revision()
				if now < last {
					decreased.Store(true)
				}
				last = now
			}
		})
		for _, revisions := range sources {
			senders.Go(func() {
				for _, revision := range revisions {
					before := keeper.Revision()
					accepted := keeper.Offer(head(config.Revision(revision)), SourceMesh)
					if accepted && config.Revision(revision) <= before {
						decreased.Store(true)
					}
				}
			})
		}
		senders.Wait()
		done.Store(true)
		reader.Wait()
		if decreased.Load() {
			t.Fatal("the revision decreased")
		}
		if keeper.Revision() != highest {
			t.Fatalf("revision %d in the end, want %d", keeper.Revision(), highest)
		}
	})
}

func TestOfferRejectsEmptyHeads(t *testing.T) {
	is := is.New(t)
	keeper := NewKeeper(new(board.Section[config.Head]), func(*config.Head, Source) {})
	is.True(!keeper.Offer(nil, SourceGateway))
	is.True(!keeper.Offer(&config.Head{Revision: 3}, SourceGateway)) // without a declaration
	is.Equal(keeper.Revision(), config.Revision(0))
}

// service is a key-value service that counts the calls that it receives.
type service struct{ *platformtest.Service }

func (s service) write(value string) { s.Set("head", []byte(value)) }

// fail ends all watches; if down is true, later calls fail.
func (s service) fail(down bool) {
	s.BreakWatches()
	s.SetDown(down)
}

func (s service) calls() int {
	counts := s.Counts()
	return counts.Reads + counts.Watches
}

var errNotAHead = errors.New("not a head")

func decode(data []byte) (*config.Head, error) {
	n, err := strconv.Atoi(string(data))
	if err != nil {
		return nil, errNotAHead
	}
	return head(config.Revision(n)), nil
}

func newWatcher(s service, keeper *Keeper, active *atomic.Bool, faults *atomic.Int64) *Watcher {
	return &Watcher{
		KeyValue: s, Key: "head", Decode: decode, Keeper: keeper,
		Active:        active.Load,
		OnResult:      func(error) {},
		OnInvalidHead: func(error) { faults.Add(1) },
		Clock:         clock.System{},
		Rand:          func() float64 { return 0 },
	}
}

func TestWatcherFollowsTheHeadWithFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := service{platformtest.New(clock.System{})}
		s.write("1")
		keeper := NewKeeper(new(board.Section[config.Head]), func(*config.Head, Source) {})
		var active atomic.Bool
		var faults atomic.Int64
		ctx, cancel := context.WithCancel(t.Context())
		go newWatcher(s, keeper, &active, &faults).Run(ctx)
		time.Sleep(10 * time.Second)
		is.Equal(s.calls(), 0) // no calls while not active

		active.Store(true)
		time.Sleep(ActiveCheckInterval)
		synctest.Wait()
		is.Equal(keeper.Revision(), config.Revision(1))
		s.write("2")
		synctest.Wait()
		is.Equal(keeper.Revision(), config.Revision(2)) // at once, by the watch
		s.write("nonsense")
		synctest.Wait()
		is.Equal(keeper.Revision(), config.Revision(2))
		is.Equal(faults.Load(), int64(1))
		is.Equal(s.calls(), 2) // one read, one open watch

		s.fail(false)
		time.Sleep(RetryMin)
		synctest.Wait()
		is.Equal(s.calls(), 3) // a watch that ended is resumed without reading the value
		s.write("3")
		synctest.Wait()
		is.Equal(keeper.Revision(), config.Revision(3))

		s.fail(true)
		before := s.calls()
		time.Sleep(time.Hour)
		attempts := s.calls() - before
		// The watcher waits between half of RetryMax and RetryMax.
		is.True(attempts <= int(time.Hour/(RetryMax/2))+10)
		is.True(attempts >= int(time.Hour/RetryMax))

		s.fail(false)
		s.write("4")
		time.Sleep(RetryMax)
		synctest.Wait()
		is.Equal(keeper.Revision(), config.Revision(4)) // recovers by itself

		active.Store(false)
		time.Sleep(ActiveCheckInterval)
		before = s.calls()
		time.Sleep(time.Hour)
		is.Equal(s.calls(), before) // no calls once it is no longer active
		cancel()
		synctest.Wait()
	})
}
