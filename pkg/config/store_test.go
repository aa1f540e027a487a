package config_test

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

func TestConcurrentChangesConflictWhenTheyOverlap(t *testing.T) {
	tests := []struct {
		name          string
		first, second config.Op
		want          config.State
	}{
		{"different upstreams", drainOp("nurse-1", true), config.Op{SplitVersion: &config.SplitVersion{Model: "lilac-nurse", Version: "v2", Percent: 50}}, config.Accepted},
		{"different regions of a caller", config.Op{Permit: &config.PermitOp{Caller: "clinic-review", Region: "makedonia", Allowed: true}}, config.Op{Permit: &config.PermitOp{Caller: "residents-app", Region: "thessalia"}}, config.Accepted},
		{"same upstream", drainOp("nurse-1", true), drainOp("nurse-1", false), config.Refused},
		{"whole entry", drainOp("nurse-1", true), config.Op{Remove: &config.Remove{Kind: "upstream", Name: "nurse-1"}}, config.Refused},
		{"same rule", config.Op{SetSpill: &config.Spill{From: "makedonia", To: "thessalia", Percent: 5}}, config.Op{SetSpill: &config.Spill{From: "makedonia", To: "thessalia", Percent: 9}}, config.Refused},
		{"address that only both use", setUpstream("nurse-8"), setUpstream("nurse-9"), config.Refused},
		{"danger that only both make", drainOp("nurse-1", true), drainOp("nurse-2", true), config.Refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			kv := newService()
			ours, theirs := newStore(kv), newStore(kv)
			bootstrap(t, ours)
			// The other operator's change is accepted between this store's read and write.
			kv.BeforeNextWrite(func() {
				decision := theirs.Change(t.Context(), propose(testID(1, 1), "linh", 1, test.first))
				is.Equal(decision.State, config.Accepted)
			})
			decision := ours.Change(t.Context(), propose(testID(1, 2), "eleni", 1, test.second))
			is.Equal(decision.State, test.want)
			stored, err := ours.Read(t.Context())
			is.NoErr(err)
			if test.want == config.Accepted {
				is.Equal(decision.Revision, config.Revision(3))
				is.Equal(len(stored.Head.Recent), 3) // neither change is lost
				return
			}
			is.Equal(stored.Head.Revision, config.Revision(2))
			var conflict *config.ConflictError
			is.True(errors.As(decision.Reason, &conflict)) // names the conflicting change
			is.Equal(conflict.Obstacle.Operator, "linh")
			is.Equal(conflict.Obstacle.Revision, config.Revision(2))
		})
	}
}

func TestConflictWrapsItsCause(t *testing.T) {
	is := is.New(t)
	store := newStore(newService())
	bootstrap(t, store)
	is.Equal(store.Change(t.Context(), propose(testID(1, 1), "linh", 1, drainOp("nurse-1", true))).State, config.Accepted)
	decision := store.Change(t.Context(), propose(testID(1, 2), "eleni", 1, drainOp("nurse-2", true)))
	var danger *config.DangerError
	is.True(errors.As(decision.Reason, &danger))
	is.Equal(danger.Dangers[0].Pool, "lilac-nurse")

	// A change that fails without the other one as well is no conflict.
	decision = store.Change(t.Context(), propose(testID(1, 3), "eleni", 1, drainOp("nurse-3", true)))
	var conflict *config.ConflictError
	is.True(!errors.As(decision.Reason, &conflict))
	is.True(errors.As(decision.Reason, &danger))
}

// setUpstream returns an operation that adds an upstream, always at the same
// address.
func setUpstream(name string) config.Op {
	return config.Op{SetUpstream: &config.Upstream{Name: name, Kind: "engine", Serves: "lilac-nurse", Version: "v1", Domain: "larisa-hall", Address: "127.0.0.77:9000", Concurrency: 1}}
}

func TestLookupSettlesALostAnswer(t *testing.T) {
	tests := []struct {
		name   string
		faults []platformtest.Fault
		// failedReads is the number of reads that fail after the first write.
		failedReads int
		pauses      int
		want        config.State
		// later is the state that Lookup returns afterwards.
		later config.State
	}{
		{"write lost once", []platformtest.Fault{platformtest.LoseWrite}, 0, 9, config.Accepted, config.Accepted},
		{"answer lost once", []platformtest.Fault{platformtest.LoseAnswer}, 0, 9, config.Accepted, config.Accepted},
		{"answer lost, reads fail for a while", []platformtest.Fault{platformtest.LoseAnswer}, 3, 9, config.Accepted, config.Accepted},
		{"answer lost, then nothing", []platformtest.Fault{platformtest.LoseAnswer}, 99, 5, config.Unknown, config.Accepted},
		{"write lost, then nothing", []platformtest.Fault{platformtest.LoseWrite}, 99, 5, config.Unknown, config.Refused},
		{"delayed, written again", []platformtest.Fault{platformtest.DelayWrite}, 0, 9, config.Accepted, config.Accepted},
		{"delayed, then nothing", []platformtest.Fault{platformtest.DelayWrite}, 99, 5, config.Unknown, config.Refused},
		{"every write lost", []platformtest.Fault{platformtest.LoseWrite, platformtest.LoseWrite, platformtest.LoseWrite, platformtest.LoseWrite}, 0, 3, config.Unknown, config.Refused},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			kv := newService()
			bootstrap(t, newStore(kv))
			kv.FailWrites(test.faults...)
			kv.BeforeNextWrite(func() { kv.FailReads(test.failedReads) })
			id := testID(1, 7)
			decision := limitedStore(kv, test.pauses).Change(t.Context(), propose(id, "eleni", 1, drainOp("nurse-1", true)))
			is.Equal(decision.State, test.want)

			kv.ClearFaults()
			found, err := newStore(kv).Lookup(t.Context(), id)
			is.NoErr(err)
			is.Equal(found.State, test.later)
			kv.Release() // a write that was delayed arrives now
			again, err := newStore(kv).Lookup(t.Context(), id)
			is.NoErr(err)
			is.Equal(again.State, test.later) // the decision never changes
			repeated := newStore(kv).Change(t.Context(), propose(id, "eleni", 1, drainOp("nurse-1", true)))
			is.Equal(repeated.State, test.later) // also when the change is proposed again
			stored, err := newStore(kv).Read(t.Context())
			is.NoErr(err)
			is.Equal(count(stored.Head.Recent, id), map[config.State]int{config.Accepted: 1}[test.later])
		})
	}
}

func count(changes []config.Change, id string) int {
	n := 0
	for _, change := range changes {
		if change.ID == id {
			n++
		}
	}
	return n
}

func TestNothingSentIsRefused(t *testing.T) {
	is := is.New(t)
	kv := newService()
	bootstrap(t, newStore(kv))
	kv.FailReads(99)
	writes := kv.Counts().Writes
	decision := limitedStore(kv, 3).Change(t.Context(), propose(testID(1, 1), "eleni", 1, drainOp("nurse-1", true)))
	is.Equal(decision.State, config.Refused)
	is.Equal(kv.Counts().Writes, writes)
	var unreachable *config.UnreachableError
	is.True(errors.As(decision.Reason, &unreachable))
	is.True(!unreachable.Sent)

	// An ID that was proposed before may have been accepted.
	repeated := propose(testID(1, 1), "eleni", 1, drainOp("nurse-1", true))
	repeated.Repeated = true
	is.Equal(limitedStore(kv, 3).Change(t.Context(), repeated).State, config.Unknown)
}

func TestArchivedChangesStayReadable(t *testing.T) {
	is := is.New(t)
	kv := newService()
	store := newStore(kv)
	bootstrap(t, store)
	const last = 250
	for revision := config.Revision(2); revision <= last; revision++ {
		decision := store.Change(t.Context(), propose(testID(revision-1, 0), "eleni", revision-1, drainOp("nurse-1", revision%2 == 0)))
		is.Equal(decision.State, config.Accepted)
	}
	fresh := newStore(kv)
	stored, err := fresh.Read(t.Context())
	is.NoErr(err)
	is.True(len(stored.Head.Recent) <= config.RecentLimit)
	all, err := fresh.Log(t.Context(), 1000, config.Mentions(""))
	is.NoErr(err)
	is.Equal(len(all), last)
	for i, change := range all {
		is.Equal(change.Revision, config.Revision(last-i)) // newest first, each once
	}
	for _, revision := range []config.Revision{1, 33, 99, 100, 101, 200, last} {
		change, err := fresh.Revision(t.Context(), revision)
		is.NoErr(err)
		is.Equal(change.Revision, revision)
	}
	_, err = fresh.Revision(t.Context(), last+1)
	var absent *config.AbsentError
	is.True(errors.As(err, &absent))
	applied, err := fresh.Log(t.Context(), 5, config.Mentions("APPLY"))
	is.NoErr(err)
	is.Equal(len(applied), 1)
	found, err := fresh.Lookup(t.Context(), testID(40, 0))
	is.NoErr(err)
	is.Equal(found.Revision, config.Revision(41)) // found in a segment by its ID
}

func TestStaleOperatorIsRefused(t *testing.T) {
	is := is.New(t)
	kv := newService()
	store := newStore(kv)
	bootstrap(t, store)
	for revision := config.Revision(2); revision <= 80; revision++ {
		store.Change(t.Context(), propose(testID(revision-1, 0), "eleni", revision-1, drainOp("nurse-1", revision%2 == 0)))
	}
	decision := store.Change(t.Context(), propose(testID(80, 1), "linh", 3, drainOp("nurse-3", false)))
	is.Equal(decision.State, config.Refused)
	var stale *config.StaleError
	is.True(errors.As(decision.Reason, &stale))
}

// An instance of an older version must not drop fields that a newer one stored. It
// follows the configuration, but refuses to change it.
func TestNewerFieldsAreNotDropped(t *testing.T) {
	is := is.New(t)
	kv := newService()
	store := newStore(kv)
	bootstrap(t, store)
	var packed bytes.Buffer
	writer := gzip.NewWriter(&packed)
	declaration, err := json.Marshal(sample())
	is.NoErr(err)
	_, err = fmt.Fprintf(writer, `{"revision":5,"declaration":%s,"quota":{"residents-app":7}}`, declaration)
	is.NoErr(err)
	is.NoErr(writer.Close())
	_, err = kv.Swap(t.Context(), nil, []platform.Put{{Key: config.HeadKey, Value: packed.Bytes()}})
	is.NoErr(err)

	stored, err := store.Read(t.Context())
	is.NoErr(err)
	is.Equal(stored.Head.Revision, config.Revision(5))
	writes := kv.Counts().Writes
	decision := store.Change(t.Context(), propose(testID(5, 1), "eleni", 5, drainOp("nurse-1", true)))
	is.Equal(decision.State, config.Refused)
	var encoding *config.EncodingError
	is.True(errors.As(decision.Reason, &encoding))
	_, err = store.Lookup(t.Context(), testID(5, 1))
	is.True(errors.As(err, &encoding)) // voiding the ID would drop the field as well
	is.Equal(kv.Counts().Writes, writes)
}

// The first apply authenticates its operator by the file itself, so it must not be
// accepted once there is a configuration.
func TestFirstApplyOnlyOnEmptyStore(t *testing.T) {
	is := is.New(t)
	kv := newService()
	store := newStore(kv)
	bootstrap(t, store)
	stranger := config.Operator{Name: "mallory", KeyHash: config.HashKey("mine")}
	proposal := propose(testID(0, 1), "mallory", 0, config.Op{SetOperator: &stranger})
	decision := store.Change(t.Context(), proposal)
	is.Equal(decision.State, config.Refused)
	var stale *config.StaleError
	is.True(errors.As(decision.Reason, &stale))
}
