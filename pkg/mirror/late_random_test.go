package mirror_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/mirror"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// overruleFor is the time for which the order overruling ignores late writes.
const overruleFor = 8 * time.Second

// overruling is an Order in which a larger number is newer, also in one epoch.
type overruling struct{ numbered }

func (overruling) OverruleFor(*platform.Entry) time.Duration { return overruleFor }

// lateHistory is a store in which owners write increasing numbers and some of their writes are executed late, with
// replicas of it: two follow it, two copy from the others, and some restart.
type lateHistory struct {
	*testing.T
	random  *rand.Rand
	store   *store
	mirrors [4]*lateFollower
	// number is the last number of each key. events holds, by key, what its owner has done in order.
	number map[string]int
	events map[string][]ownerEvent
	// changedAt holds the times of the owners' last writes and deletions.
	changedAt map[string]time.Time
	repairs   []repair
	notes     []string
	running   sync.WaitGroup
}

// ownerEvent is what holds for a key from a revision on: a number, or zero if its owner has deleted it.
type ownerEvent struct {
	revision int64
	number   int
}

// lateFollower is a mirror; met is true once it has exchanged with all others since its first snapshot.
type lateFollower struct {
	mirror *mirror.Mirror
	stop   context.CancelFunc
	met    bool
}

func (h *lateHistory) note(form string, args ...any) {
	h.notes = append(h.notes, time.Now().Format("05.000 ")+fmt.Sprintf(form, args...))
}

func (h *lateHistory) begin(follows bool) *lateFollower {
	options := mirror.Options{
		Source: h.store, Leased: []string{"servers/"}, Replayed: []string{"servers/"}, Order: overruling{}, Clock: clock.System{}, Log: zerolog.Nop(),
	}
	if !follows {
		options.Active = func() bool { return false }
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := &lateFollower{mirror: mirror.New(options), stop: cancel}
	h.running.Go(func() { f.mirror.Run(ctx) })
	return f
}

// put writes a number; late is true if its owner has done something newer.
func (h *lateHistory) put(key string, number int, late bool) {
	h.store.put(key, strconv.Itoa(number))
	if !late {
		h.record(key, number)
	}
	h.note("%d: %s is %d, late: %v", h.store.revision, key, number, late)
}

func (h *lateHistory) remove(key string) {
	h.store.remove(key)
	h.record(key, 0)
	h.note("%d: remove %s", h.store.revision, key)
}

func (h *lateHistory) record(key string, number int) {
	h.events[key] = append(h.events[key], ownerEvent{h.store.revision, number})
	h.changedAt[key] = time.Now()
}

// expected returns what a replica at a revision should hold under a key: zero for nothing.
func (h *lateHistory) expected(key string, revision int64) (number int) {
	for _, event := range h.events[key] {
		if event.revision <= revision {
			number = event.number
		}
	}
	return number
}

// check fails the test if a mirror holds an earlier state than its owner's last one.
func (h *lateHistory) check(name int, f *lateFollower) {
	snapshot := f.mirror.Snapshot().Load()
	if snapshot == nil {
		return
	}
	for key := range h.events {
		held := 0
		if entry, present := snapshot.Entries[key]; present {
			held = number(entry.Value)
		}
		if want := h.expected(key, snapshot.Revision); held != want {
			h.Fatalf("mirror %d holds %d under %s at revision %d, its owner's last word was %d\n%s", name, held, key, snapshot.Revision, want, strings.Join(h.notes, "\n"))
		}
	}
}

// gossip lets each mirror merge the others' snapshots, and checks those for which should returns true.
func (h *lateHistory) gossip(should func(f *lateFollower) bool) {
	for name, f := range h.mirrors {
		if should(f) {
			h.check(name, f)
		}
		started := f.mirror.Revision() > 0
		for _, other := range h.mirrors {
			if snapshot := other.mirror.Snapshot().Load(); other != f && snapshot != nil && other.met {
				if f.mirror.Unreplayed() {
					whole := snapshot.Since(mirror.Position{}, time.Now())
					f.mirror.Introduce(&whole)
				}
				delta := snapshot.Since(f.mirror.Position(), time.Now())
				f.mirror.Adopt(&delta)
			}
		}
		f.met = f.met || started
		if should(f) {
			h.check(name, f)
		}
	}
}

// step makes one change, after which owners and the store put right what a late write has done.
func (h *lateHistory) step() {
	key := fmt.Sprintf("servers/%c", 'a'+rune(h.random.IntN(3)))
	// A server serves on after it has announced that it leaves, and a write that is late is so by a second at least:
	// its owner waited as long for the response.
	settled := time.Since(h.changedAt[key]) >= time.Second
	alive := len(h.events[key]) > 0 && h.events[key][len(h.events[key])-1].number > 0
	switch action := h.random.IntN(10); {
	case action < 4:
		h.number[key] += 2
		h.put(key, h.number[key], false)
	case action < 5 && alive && settled:
		h.remove(key)
	case action < 8 && h.number[key] > 2 && settled:
		h.put(key, h.number[key]-1, true)
		after := 3600 * time.Millisecond
		if alive {
			after = 1200 * time.Millisecond
		}
		h.repairs = append(h.repairs, repair{time.Now().Add(after), key, alive})
	case action >= 8:
		n := h.random.IntN(len(h.mirrors))
		h.note("mirror %d restarts", n)
		h.mirrors[n].stop()
		h.mirrors[n] = h.begin(n%2 == 0)
	}
}

// repair lets a living owner write again within its heartbeat, and the store delete the entry of another.
type repair struct {
	due   time.Time
	key   string
	alive bool
}

func (h *lateHistory) repair() {
	now := time.Now()
	h.repairs = slices.DeleteFunc(h.repairs, func(r repair) bool {
		if now.Before(r.due) {
			return false
		}
		_, present := h.store.backup().entries[r.key]
		switch {
		case r.alive:
			h.number[r.key] += 2
			h.put(r.key, h.number[r.key], false)
		case present && h.expected(r.key, h.store.revision) == 0:
			h.remove(r.key)
		}
		return true
	})
}

// runLateHistories plays random histories in virtual time.
func runLateHistories(t *testing.T, compact bool, should func(f *lateFollower) bool) {
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := &lateHistory{T: t, random: rand.New(rand.NewPCG(seed, 2)), store: newStore(), number: make(map[string]int), events: make(map[string][]ownerEvent), changedAt: make(map[string]time.Time)}
				for n := range h.mirrors {
					h.mirrors[n] = h.begin(n%2 == 0)
				}
				defer func() {
					for _, f := range h.mirrors {
						f.stop()
					}
					h.running.Wait()
				}()
				for range 60 {
					h.step()
					if compact && h.random.IntN(4) == 0 {
						h.store.compact()
					}
					time.Sleep(time.Duration(h.random.IntN(500)) * time.Millisecond)
					h.repair()
					synctest.Wait()
					h.gossip(should)
				}
			})
		})
	}
}

// TestLateWritesUndoNothing guards against a server that is used again since the store executes an earlier report
// of it late, at instances that follow the store, that copy from others, and that start in between.
func TestLateWritesUndoNothing(t *testing.T) {
	runLateHistories(t, false, func(f *lateFollower) bool { return !f.mirror.Unreplayed() })
}

// TestLateWritesAreKnownFromPeersWithoutAHistory is the same for a store that may have discarded its history. An
// instance that starts then learns from the others what the store's state is older than.
func TestLateWritesAreKnownFromPeersWithoutAHistory(t *testing.T) {
	runLateHistories(t, true, func(f *lateFollower) bool { return f.met && !f.mirror.Unreplayed() })
}
