package peer

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/freshness"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// watchHarness is one instance of a failure domain whose other instances are given by their reports.
type watchHarness struct {
	*Gossip
	is  *is.I
	now time.Time
	// ranked holds the names of the domain in the order in which they own its jobs.
	ranked []string
	// sequence numbers the reports.
	sequence uint64
}

// newWatchHarness returns the instance of the given rank in a domain. Its replica is at revision 7.
func newWatchHarness(t *testing.T, instances, rank int) *watchHarness {
	t.Helper()
	h := &watchHarness{is: is.New(t), now: time.Now()}
	now := clock.Func(func() time.Time { return h.now })
	names := make([]string, instances)
	for i := range names {
		names[i] = fmt.Sprintf("north-a-%d", i)
	}
	h.ranked = member.Rank(member.Key(jobHub, "north-a"), names)
	view := &fleet.View{}
	for _, name := range names {
		view.Instances = append(view.Instances, fleet.Instance{Name: name, Domain: "north-a", Region: "north", Incarnation: 1})
	}
	self := fleet.Instance{Name: h.ranked[rank], Domain: "north-a", Region: "north", Incarnation: 1}
	h.Gossip = New(Options{
		Self: self, Report: func() Report { return Report{Name: self.Name, Incarnation: 1} },
		Fleet: &board.Section[fleet.View]{}, Store: mirror.New(mirror.Options{Clock: now, Log: zerolog.Nop()}), Clock: now, Log: zerolog.Nop(),
	})
	h.options.Fleet.Store(view)
	h.is.True(h.options.Store.Adopt(&mirror.Delta{Revision: 7, Keys: []string{"k"}, Changed: []platform.Entry{{Key: "k", ModRevision: 7}}}))
	return h
}

// hear applies a report of the instance of a rank.
func (h *watchHarness) hear(rank int, report Report) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sequence++
	report.Name, report.Incarnation, report.Sequence = h.ranked[rank], 1, h.sequence
	h.applyReport(report, h.now)
}

// pass lets a time pass in which the store answers this instance, and all others report as given by
// report.
func (h *watchHarness) pass(d time.Duration, report func(rank int) Report) {
	for ; d > 0; d -= roundInterval {
		h.now = h.now.Add(roundInterval)
		h.options.Store.RecordCall(true)
		for rank, name := range h.ranked {
			if name != h.options.Self.Name {
				h.hear(rank, report(rank))
			}
		}
	}
}

// following, idle and cutOff are reports of instances that follow the store, that leave it to others, and
// that the store does not answer.
var (
	following = Report{Store: 7, Current: true}
	idle      = Report{Store: 7}
	cutOff    = Report{Store: 7, Behind: true}
)

// healthy reports that the watchers follow the store.
func healthy(rank int) Report {
	if rank < watchers {
		return following
	}
	return idle
}

// watchersCutOff reports that the watchers have lost the store.
func watchersCutOff(rank int) Report {
	if rank < watchers {
		return cutOff
	}
	return idle
}

// TestInstanceFollowsTheStoreWhenTheWatchersHaveLostIt guards against an instance that leaves the store to
// watchers which are alive and have lost it, so that evacuations and configurations do not reach it.
func TestInstanceFollowsTheStoreWhenTheWatchersHaveLostIt(t *testing.T) {
	for _, instances := range []int{3, 5, 50} {
		t.Run(fmt.Sprint(instances), func(t *testing.T) {
			h := newWatchHarness(t, instances, watchers)
			h.pass(time.Second, healthy)
			h.is.True(!h.Watches())
			h.pass(2200*time.Millisecond, watchersCutOff)
			h.is.True(h.Watches())
			h.pass(200*time.Millisecond, healthy)
			h.is.True(!h.Watches())
		})
	}
}

// TestFewInstancesFollowTheStoreInPlaceOfItsWatchers guards against all instances of a large domain that
// follow the store at once when its watchers have lost it.
func TestFewInstancesFollowTheStoreInPlaceOfItsWatchers(t *testing.T) {
	h := newWatchHarness(t, 50, 30)
	standIn := func(rank int) Report {
		if rank < watchers || rank == watchers {
			return following
		}
		return idle
	}
	h.pass(time.Second, healthy)
	h.pass(2200*time.Millisecond, watchersCutOff)
	h.pass(3*time.Second, standIn)
	h.is.True(!h.Watches())
}

// TestStoreOutageAddsNoWatchers guards against instances that call a store which answers nobody.
func TestStoreOutageAddsNoWatchers(t *testing.T) {
	for _, report := range []Report{cutOff, idle} {
		h := newWatchHarness(t, 5, watchers)
		h.pass(time.Second, healthy)
		for range 60 {
			h.now = h.now.Add(roundInterval)
			h.options.Store.RecordCall(false)
			for rank, name := range h.ranked {
				if name != h.options.Self.Name {
					h.hear(rank, report)
				}
			}
			h.is.True(!h.Watches())
		}
	}
}

// TestReplicaBehindItsWatchersIsStale guards against an instance that takes watchers for current
// which reach the store and whose replicas are ahead of its own.
func TestReplicaBehindItsWatchersIsStale(t *testing.T) {
	h := newWatchHarness(t, 3, watchers)
	h.pass(time.Second, healthy)
	ahead := following
	ahead.Store = 9
	h.pass(2200*time.Millisecond, func(int) Report { return ahead })
	h.is.True(h.Watches())
}

// TestHubThatHasLostTheStoreIsReplaced guards against a domain that hears of the others only through a hub
// that is cut off from them.
func TestHubThatHasLostTheStoreIsReplaced(t *testing.T) {
	for name, c := range map[string]struct {
		lost []int
		hub  int
	}{
		"the hub has lost the store":            {[]int{0}, 1},
		"its successor too":                     {[]int{0, 1}, 2},
		"another instance has lost the store":   {[]int{4}, 0},
		"most have lost it, nobody knows more":  {[]int{0, 1, 2, 4, 5}, 0},
		"all have lost it, the store is away":   {[]int{0, 1, 2, 3, 4, 5, 6, 7, 8}, 0},
		"the hub has lost it, and half of them": {[]int{0, 1, 2, 5}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			h := newWatchHarness(t, 9, 3)
			h.pass(time.Second, healthy)
			for range 3 {
				h.now = h.now.Add(roundInterval)
				h.options.Store.RecordCall(!slices.Contains(c.lost, 3))
				for rank, name := range h.ranked {
					report := healthy(rank)
					if slices.Contains(c.lost, rank) {
						report = cutOff
					}
					if name != h.options.Self.Name {
						h.hear(rank, report)
					}
				}
			}
			h.is.Equal(h.hub(), h.ranked[c.hub])
		})
	}
}

// TestStoreOutageDoesNotMoveTheHub guards against a hub that gives way in an outage of the store, since it notices
// the outage before the others and its end after them: its successor knows no loads.
func TestStoreOutageDoesNotMoveTheHub(t *testing.T) {
	const begin, end = 3 * time.Second, 8 * time.Second
	h := newWatchHarness(t, 9, 0)
	start := h.now
	// answeredAt returns the time of the store's last answer to an instance, which calls it every
	// freshness.CallInterval.
	answeredAt := func(rank int) time.Duration {
		elapsed := h.now.Sub(start)
		phase := time.Duration(9-rank) * freshness.CallInterval / 10
		called := (elapsed-phase)/freshness.CallInterval*freshness.CallInterval + phase
		for called >= begin && called < end {
			called -= freshness.CallInterval
		}
		return called
	}
	for range 120 {
		h.now = h.now.Add(roundInterval)
		if h.now.Sub(start)-answeredAt(0) < roundInterval {
			h.options.Store.RecordCall(true)
		} else if out := h.now.Sub(start); out >= begin && out < end {
			h.options.Store.RecordCall(false)
		}
		for rank := 1; rank < len(h.ranked); rank++ {
			age := h.now.Sub(start) - answeredAt(rank)
			h.hear(rank, Report{Store: 7, Current: age <= freshness.MaxAge, StoreAge: age})
		}
		h.is.Equal(h.hub(), h.options.Self.Name)
		h.is.True(!h.report().Behind)
	}
}

// TestHubThatTheStoreDoesNotAnswerGivesWay guards against a hub that keeps its place though the store answers the
// others and not it.
func TestHubThatTheStoreDoesNotAnswerGivesWay(t *testing.T) {
	h := newWatchHarness(t, 9, 0)
	h.pass(time.Second, healthy)
	for range 40 {
		h.now = h.now.Add(roundInterval)
		h.options.Store.RecordCall(false)
		for rank := 1; rank < len(h.ranked); rank++ {
			h.hear(rank, healthy(rank))
		}
		h.report()
	}
	h.is.Equal(h.hub(), h.ranked[1])
	h.is.True(h.report().Behind)
	h.pass(roundInterval, healthy)
	h.is.Equal(h.hub(), h.ranked[0])
}

// TestHubOfAnotherDomainThatHasLostTheStoreIsNotAsked guards against digests of another domain from an instance
// of it that knows less than the others there.
func TestHubOfAnotherDomainThatHasLostTheStoreIsNotAsked(t *testing.T) {
	h := newWatchHarness(t, 3, 0)
	digest := Digest{Domain: "south-a", Region: "south", Store: 7}
	var instances []fleet.Instance
	for i := range 3 {
		name := fmt.Sprintf("south-a-%d", i)
		instances = append(instances, fleet.Instance{Name: name, Domain: "south-a", Region: "south"})
		digest.Marks = append(digest.Marks, Mark{Name: name, Incarnation: 1})
	}
	first := h.Gossip.ranked(jobHub, "south-a", instances)[0]
	for i := range digest.Marks {
		digest.Marks[i].Behind = digest.Marks[i].Name == first
	}
	h.mu.Lock()
	h.applyDigest(digest, h.now)
	h.mu.Unlock()
	ranked := h.Gossip.ranked(jobHub, "south-a", instances)
	h.is.True(ranked[0] != first)
	h.is.Equal(ranked[2], first)
}

// TestNewerReplicaOfAnotherDomainIsCopiedFromItsHub guards against copies from an instance of another domain that
// is no newer than this one, while that domain reports a newer replica.
func TestNewerReplicaOfAnotherDomainIsCopiedFromItsHub(t *testing.T) {
	h := newWatchHarness(t, 1, 0)
	view := &fleet.View{Instances: slices.Clone(h.options.Fleet.Load().Instances)}
	digest := Digest{Domain: "south-a", Region: "south", Store: 9}
	for i := range 3 {
		name := fmt.Sprintf("south-a-%d", i)
		view.Instances = append(view.Instances, fleet.Instance{Name: name, Domain: "south-a", Region: "south", Gossip: name})
		digest.Marks = append(digest.Marks, Mark{Name: name, Incarnation: 1, Behind: i != 0})
	}
	digest.Marks[1].Behind = false
	h.options.Fleet.Store(view)
	h.mu.Lock()
	h.applyDigest(digest, h.now)
	h.mu.Unlock()
	hub := h.Gossip.ranked(jobHub, "south-a", view.Instances)[0]
	h.is.Equal(h.newestSource(mirror.Position{Revision: 7}).Name, hub)
	h.copyFailed(h.newestSource(mirror.Position{Revision: 7}), errNoCopy)
	h.is.True(h.newestSource(mirror.Position{Revision: 7}).Name != hub)
}

var errNoCopy = errors.New("no copy")
