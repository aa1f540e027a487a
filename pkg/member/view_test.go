package member

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/board"
)

var start = time.Unix(1_800_000_000, 0)

func identity(name string, epoch, incarnation uint64, leaving bool) Identity {
	return Identity{
		Name: name, Domain: "larisa-hall", Region: "thessalia", Epoch: epoch,
		Incarnation: incarnation, Leaving: leaving, Addresses: board.Addresses{Mesh: name + ":8090"},
	}
}

// step is one event at a time after the start.
type step struct {
	at time.Duration
	do func(v *View, now time.Time)
}

func identify(epoch, incarnation uint64, leaving bool) func(*View, time.Time) {
	return func(v *View, now time.Time) {
		v.ApplyIdentity(identity("lar-2", epoch, incarnation, leaving), now)
		v.RecordHeartbeat("lar-2", epoch, 1, now)
	}
}

func listed(lines ...Listed) func(*View, time.Time) {
	return func(v *View, now time.Time) { v.ApplyList(lines, now) }
}

func TestStates(t *testing.T) {
	here := Peer{Name: "lar-2", Mesh: "lar-2:8090"}
	goodbye := func(epoch uint64) func(*View, time.Time) {
		return func(v *View, now time.Time) { v.Goodbye("lar-2", epoch, now) }
	}
	proposed := func(quiet time.Duration) func(*View, time.Time) {
		return func(v *View, now time.Time) { v.AddPeer(Peer{Name: "lar-2", Mesh: "x", Quiet: quiet}, now) }
	}
	cases := []struct {
		name  string
		steps []step
		at    time.Duration
		want  board.InstanceState
	}{
		{"never named", nil, 0, board.InstanceLeft},
		{"named by the list only", []step{{0, listed(Listed{Peer: here})}}, 0, board.InstanceSilent},
		{"named by a peer only", []step{{0, proposed(0)}}, 0, board.InstanceSilent},
		{"heard", []step{{0, identify(1, 1, false)}}, SilentAfter, board.InstanceLive},
		{"no heartbeat for too long", []step{{0, identify(1, 1, false)}}, SilentAfter + 1, board.InstanceSilent},
		{"heartbeat received after silence", []step{{0, identify(1, 1, false)}, {time.Minute, identify(1, 1, false)}}, time.Minute, board.InstanceLive},
		{"silent for an hour but listed", []step{
			{0, listed(Listed{Peer: here})}, {0, identify(1, 1, false)},
		}, time.Hour, board.InstanceSilent},
		{"silent and not listed, before the bound", []step{
			{0, identify(1, 1, false)}, {time.Second, listed()},
		}, ForgetAfter - 1, board.InstanceSilent},
		{"silent and not listed, after the bound", []step{
			{0, identify(1, 1, false)}, {time.Second, listed()},
		}, ForgetAfter, board.InstanceLeft},
		{"removed and then named by a peer that has not removed it", []step{
			{0, identify(1, 1, false)}, {time.Second, listed()}, {ForgetAfter, proposed(ForgetAfter)},
		}, ForgetAfter, board.InstanceLeft},
		{"leaving by its own report", []step{{0, identify(1, 1, true)}}, 0, board.InstanceLeaving},
		{"a live report after the leaving mark", []step{
			{0, identify(1, 1, true)}, {1, identify(1, 1, false)},
		}, 1, board.InstanceLeaving},
		{"leaving by the list", []step{
			{0, identify(1, 1, false)}, {1, listed(Listed{Peer: here, Leaving: true})}, {2, identify(1, 1, false)},
		}, 2, board.InstanceLeaving},
		{"restarted while the list lags", []step{
			{0, identify(1, 1, false)}, {1, listed(Listed{Peer: here, Leaving: true})},
			{2, identify(2, 2, false)}, {3, listed(Listed{Peer: here, Leaving: true})},
		}, 3, board.InstanceLive},
		{"only its gateway restarted", []step{
			{0, identify(1, 1, true)}, {1, identify(1, 0, false)}, {2, identify(1, 2, false)},
		}, 2, board.InstanceLive},
		{"goodbye", []step{{0, identify(1, 1, true)}, {1, goodbye(1)}}, 1, board.InstanceLeft},
		{"a late message after the goodbye", []step{
			{0, identify(1, 1, true)}, {1, goodbye(1)}, {2, identify(1, 1, false)}, {2, proposed(0)},
		}, 2, board.InstanceLeft},
		{"restarted after the goodbye", []step{
			{0, identify(1, 1, true)}, {1, goodbye(1)}, {2, identify(2, 2, false)},
		}, 2, board.InstanceLive},
		{"a late goodbye of an earlier epoch", []step{
			{0, identify(1, 1, false)}, {1, identify(2, 2, false)}, {2, goodbye(1)},
		}, 2, board.InstanceLive},
		{"a late message of an earlier epoch", []step{
			{0, identify(2, 2, false)}, {SilentAfter + 1, identify(1, 1, false)},
		}, SilentAfter + 1, board.InstanceSilent},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := NewView(identity("lar-1", 1, 1, false), start)
			for _, s := range c.steps {
				v.Forget(start.Add(s.at))
				s.do(v, start.Add(s.at))
			}
			now := start.Add(c.at)
			v.Forget(now)
			is.Equal(v.State("lar-2", now), c.want)
			is.Equal(v.State("lar-1", now), board.InstanceLive) // self is not removed
		})
	}
}

func TestSilentInstanceStaysInTheViewButOwnsNoJobs(t *testing.T) {
	is := is.New(t)
	v := NewView(identity("lar-1", 1, 1, false), start)
	identify(1, 1, false)(v, start)
	later := start.Add(time.Minute)
	is.Equal(len(v.Instances(later)), 2)
	is.Equal(v.Workers(later), []string{"lar-1"}) // but owns no job
}

// Messages in any order do not clear a mark within the epoch for which it was set.
func TestLeavingMarkHoldsForItsEpochInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := NewView(identity("lar-1", 1, 1, false), start)
		marked := uint64(0)
		newest := uint64(0)
		for i := range rapid.IntRange(1, 30).Draw(t, "messages") {
			epoch := rapid.Uint64Range(1, 4).Draw(t, "epoch")
			leaving := rapid.Bool().Draw(t, "leaving")
			now := start.Add(time.Duration(i) * time.Millisecond)
			identify(epoch, epoch, leaving)(v, now)
			newest = max(newest, epoch)
			if leaving && epoch == newest {
				marked = epoch
			}
			want := board.InstanceLive
			if marked == newest {
				want = board.InstanceLeaving
			}
			if got := v.State("lar-2", now); got != want {
				t.Fatalf("after epoch %d leaving %v: %s, want %s", epoch, leaving, got, want)
			}
		}
	})
}
