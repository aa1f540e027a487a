package claim

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
)

// replace lets an instance leave gracefully and starts its next incarnation. Other instances
// keep the lists that they have.
func (w *simulation) replace(instance string) {
	p := w.processes[instance]
	p.leaving = true
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	_, _ = p.coordinator.Handover(ctx)
	p.dead = true
	w.start(instance)
}

// setState changes how an instance appears in the list of another.
func (p *process) setState(instance string, state board.InstanceState) {
	for i := range p.members.Instances {
		if p.members.Instances[i].Name == instance {
			p.members.Instances[i].State = state
		}
	}
}

// A key that was never used is granted while its owner is replaced gracefully, though a list is
// a step behind or a call is lost. b has two instances, which all leave gracefully or serve.
func TestKeyOfAReplacedInstanceIsDecided(t *testing.T) {
	cases := []struct {
		name, through string
		event         func(w *simulation)
	}{
		{"the leaving instance lists the former incarnation of its successor", "b1", func(w *simulation) {
			w.replace("b1")
			w.replace("b2")
		}},
		{"the new instance lists its neighbour as left", "b2", func(w *simulation) {
			w.replace("b2")
			b2 := w.processes["b2"]
			b2.setState("b1", board.InstanceLeft)
			w.pause = func() { b2.refresh() }
		}},
		{"the new instance lists nobody", "b2", func(w *simulation) {
			w.replace("b2")
			b2 := w.processes["b2"]
			b2.members = &board.Members{Self: "b2"}
			w.pause = func() { b2.refresh() }
		}},
		{"the call to the only decider is lost", "b2", func(w *simulation) {
			w.replace("b2")
			w.nextFaults["b2>b1"] = []fault{faultRequestLost}
		}},
		{"the owner hands over to the asking instance and ends before it is asked", "b1", func(w *simulation) {
			w.beforeCall = func(link string) {
				if link == "b1>b2" {
					w.beforeCall = nil
					w.replace("b2")
				}
			}
		}},
		{"the leaving instance lists its neighbour as left", "b1", func(w *simulation) {
			b2 := w.processes["b2"]
			b2.setState("b1", board.InstanceLeft)
			w.pause = func() { b2.refresh() }
			w.replace("b2")
		}},
		{"the transfer's first call is lost", "b1", func(w *simulation) {
			w.nextFaults["b2>b1"] = []fault{faultRequestLost}
			w.replace("b2")
		}},
		{"the owner stalls while it leaves, and is no longer listed", "b1", func(w *simulation) {
			w.nextFaults["b1>b2"] = []fault{faultRequestLost}
			w.pause = func() { w.processes["b1"].members.Instances = w.processes["b1"].members.Instances[:1] }
		}},
		{"another domain asks, and one call is lost in the domain", "a1", func(w *simulation) {
			w.replace("b2")
			w.nextFaults["b2>b1"] = []fault{faultRequestLost}
			w.nextFaults["a1>b1"] = []fault{faultRequestLost}
		}},
		{"another domain asks that lists the owner alone", "a1", func(w *simulation) {
			w.processes["a1"].domains.Remote[0].Entries = w.processes["a1"].domains.Remote[0].Entries[1:]
			w.replace("b2")
			w.nextFaults["a1>b2"] = []fault{faultRequestLost}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(1)
			key := w.issued("b2")
			c.event(w)
			_, got := w.begin(c.through, key)
			is.Equal(got, "granted")
		})
	}
}

// The successor is replaced between the records and the authority: the former incarnation has
// not adopted the keys, as no call was in doubt.
func TestSuccessorIsReplacedDuringAHandover(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	key := w.issued("a1")
	successor := w.processes["a1"].coordinator.candidates()[0].Instance
	calls := 0
	w.beforeCall = func(link string) {
		if link != "a1>"+successor {
			return
		}
		if calls++; calls == 2 {
			w.beforeCall = nil
			w.replace(successor)
		}
	}
	w.replace("a1")
	w.refreshAll()
	_, got := w.begin("a1", key)
	is.Equal(got, "granted")
}

// A neighbour that is listed as leaving may have been replaced already.
func TestNeighbourListedAsLeavingHasBeenReplaced(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	key := w.issued("b2")
	w.processes["b1"].leaving = true
	w.processes["b2"].refresh()
	w.replace("b1")
	w.replace("b2")
	w.refreshAll()
	_, got := w.begin("b2", key)
	is.Equal(got, "granted")
}

// An instance does not wait for a successor if its neighbours leave too.
func TestHandoverDoesNotWaitForLeavingNeighbours(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	w.processes["b1"].leaving = true
	w.refreshAll()
	w.pause = func() { t.Error("waited") }
	_, err := w.processes["b2"].coordinator.Handover(context.Background())
	is.True(errors.Is(err, ErrNoSuccessor))
}

// A search goes on until a leaving decider answers, for longer than a handover may take. One that
// is not leaving and does not answer is not awaited for as long.
func TestSearchAwaitsALeavingDecider(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulation(1)
		key := w.issued("b2")
		asking := w.processes["b1"].coordinator
		asking.options.Clock, asking.options.Sleep = clock.System{}, sleep
		const slow = 6 * time.Second
		began := time.Now()
		w.beforeCall = func(string) {
			if time.Since(began) < slow {
				w.nextFaults["b1>b2"] = []fault{faultRequestLost}
			}
		}
		w.processes["b1"].setState("b2", board.InstanceLeaving)
		_, got := w.begin("b1", key)
		is.Equal(got, "granted")
		is.True(time.Since(began) < handoverWait)

		w.beforeCall = nil
		w.processes["b1"].refresh()
		w.processes["b2"].frozen = true
		began = time.Now()
		_, got = w.begin("b1", w.issued("b2"))
		is.Equal(got, "unknown idempotency-key-owner-lost")
		is.True(time.Since(began) < searchWait+searchPauseMax) // calls take no time here
	})
}

// A complete copy is answered at once, though the decider does not answer.
func TestCompleteCopyIsNotDelayed(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	key := w.issued("b2")
	grant, _ := w.begin("b1", key)
	w.processes["b2"].frozen = true
	grant.Finish(context.Background(), answered)
	w.pause = func() { t.Error("waited") }
	_, got := w.begin("b1", key)
	is.Equal(got, "recorded "+string(answered.Body))
}

// The reply of an instance of an earlier version does not name its incarnation.
func TestStageReplyOfAnEarlierVersion(t *testing.T) {
	is := is.New(t)
	var buffer bytes.Buffer
	is.NoErr(gob.NewEncoder(&buffer).Encode(struct{}{}))
	var reply StageReply
	is.NoErr(gob.NewDecoder(&buffer).Decode(&reply))
	is.Equal(reply.By, Origin{})
	buffer.Reset()
	is.NoErr(gob.NewEncoder(&buffer).Encode(StageReply{By: Origin{Domain: "b", Instance: "b1", Incarnation: 1}}))
	is.NoErr(gob.NewDecoder(&buffer).Decode(&struct{}{}))
}
