package claim

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

func ownerAt(clock *fakeClock, instance string, incarnation uint64) *Owner {
	return NewOwner(Origin{Domain: "hn-a", Instance: instance, Incarnation: incarnation}, clock, fixedTTL, Limits{})
}

// adoptAll sends a whole transfer.
func (o *Owner) adoptAll(transfer *Transfer, parts []Part) TransferFault {
	for _, part := range parts {
		o.Stage(part)
	}
	return o.Adopt(transfer).Fault
}

func asDecider(o *Owner) Decider { return Decider{Origin: o.self, Control: o.self.Instance} }

// handoverPair is a leaving owner with one running and one complete key, and its
// successor.
type handoverPair struct {
	clock              *fakeClock
	old, next          *Owner
	running, complete  Key
	runningAs, finalAs Claim
}

func newHandoverPair() *handoverPair {
	p := &handoverPair{clock: &fakeClock{}}
	p.old, p.next = ownerAt(p.clock, "hn-1", 7), ownerAt(p.clock, "hn-2", 3)
	p.running, p.complete = keyAt(p.old.self, epoch, randomPart), keyAt(p.old.self, epoch, randomPart+"1")
	p.runningAs, p.finalAs = claimOf(p.running, "desk", "a"), claimOf(p.complete, "desk", "b")
	p.old.Begin(p.running, p.runningAs)
	p.old.Begin(p.complete, p.finalAs)
	p.old.Finish(p.complete, p.finalAs, answered)
	return p
}

func TestHandoverMovesRecordsAndAuthority(t *testing.T) {
	is := is.New(t)
	p := newHandoverPair()
	transfer, parts, err := p.old.Export("t", asDecider(p.next))
	is.NoErr(err)
	moved := p.old.Begin(p.complete, claimOf(p.complete, "desk", "c"))
	is.Equal(moved.Verdict, VerdictNotMine)
	is.Equal(moved.Successor.Origin, p.next.self)
	_, issuing := p.old.Prefix()
	is.True(!issuing) // no new keys from an origin that has stopped deciding
	is.Equal(p.next.Begin(p.complete, claimOf(p.complete, "desk", "c")).Verdict, VerdictNotMine)
	is.Equal(p.next.adoptAll(transfer, parts), FaultNone)
	is.Equal(verdictOf(p.next.Begin(p.complete, claimOf(p.complete, "desk", "c"))), "recorded")
	is.Equal(verdictOf(p.next.Begin(p.running, claimOf(p.running, "desk", "c"))), "unknown idempotency-key-in-progress")
	is.True(p.next.Finish(p.running, p.runningAs, answered).Changed)
	is.Equal(verdictOf(p.next.Begin(p.running, claimOf(p.running, "desk", "d"))), "recorded")
	unused := keyAt(p.old.self, epoch, randomPart+"2")
	is.Equal(verdictOf(p.next.Begin(unused, claimOf(unused, "desk", "e"))), "granted")
	p.clock.advance(testTTL)
	is.Equal(verdictOf(p.next.Begin(p.complete, claimOf(p.complete, "desk", "f"))), "unknown idempotency-key-expired")
}

// A successor that adopted keys and was restarted at the same address must not be
// mistaken for one that never adopted.
func TestRefusalOfARestartedSuccessorIsNotProof(t *testing.T) {
	is := is.New(t)
	p := newHandoverPair()
	transfer, parts, err := p.old.Export("t", asDecider(p.next))
	is.NoErr(err)
	is.Equal(p.next.adoptAll(transfer, parts), FaultNone) // the reply is lost
	restarted, third := ownerAt(p.clock, "hn-2", 4), ownerAt(p.clock, "hn-3", 1)
	reply := restarted.Adopt(transfer)
	is.Equal(reply.Fault, FaultAddressee)
	is.True(!p.old.Refused(transfer, reply))
	_, _, err = p.old.Export("u", asDecider(third))
	is.True(errors.Is(err, ErrHandedOver))
}

// A successor that adopted and has itself handed over replies to a repeated
// transfer as it did the first time.
func TestRepeatedTransferGetsTheSameReply(t *testing.T) {
	is := is.New(t)
	p := newHandoverPair()
	transfer, parts, err := p.old.Export("t", asDecider(p.next))
	is.NoErr(err)
	is.Equal(p.next.adoptAll(transfer, parts), FaultNone)
	third := ownerAt(p.clock, "hn-3", 1)
	onward, parts, err := p.next.Export("u", asDecider(third))
	is.NoErr(err)
	is.Equal(third.adoptAll(onward, parts), FaultNone)
	is.Equal(p.next.Adopt(transfer).Fault, FaultNone)
	is.Equal(p.next.Begin(p.complete, p.finalAs).Verdict, VerdictNotMine)
	is.Equal(verdictOf(third.Begin(p.complete, claimOf(p.complete, "desk", "c"))), "recorded")
}

func TestTransferRefused(t *testing.T) {
	cases := []struct {
		name  string
		spoil func(p *handoverPair, transfer *Transfer, parts []Part)
		want  TransferFault
	}{
		{"record missing", func(_ *handoverPair, _ *Transfer, parts []Part) { parts[0].Records = parts[0].Records[1:] }, FaultIncomplete},
		{"part missing", func(_ *handoverPair, _ *Transfer, parts []Part) { parts[0].Transfer = "s" }, FaultIncomplete},
		{"record altered", func(_ *handoverPair, _ *Transfer, parts []Part) { parts[0].Records[0].State = StateFree }, FaultIncomplete},
		{"floor altered", func(_ *handoverPair, t *Transfer, _ []Part) { t.Tables[0].Floor++ }, FaultIncomplete},
		{"successor leaving", func(p *handoverPair, _ *Transfer, _ []Part) { _, _, _ = p.next.Export("x", asDecider(p.old)) }, FaultLeaving},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newHandoverPair()
			transfer, parts, err := p.old.Export("t", asDecider(p.next))
			is.NoErr(err)
			c.spoil(p, transfer, parts)
			is.Equal(p.next.adoptAll(transfer, parts), c.want)
			reply := p.next.Adopt(transfer)
			is.Equal(p.next.Begin(p.complete, p.finalAs).Verdict, VerdictNotMine)
			is.True(p.old.Refused(transfer, reply)) // the successor's own refusal is final
			is.Equal(p.old.Begin(p.complete, p.finalAs).Verdict, VerdictNotMine)
			third := ownerAt(p.clock, "hn-3", 1)
			again, parts, err := p.old.Export("u", asDecider(third))
			is.NoErr(err)
			is.Equal(third.adoptAll(again, parts), FaultNone)
			is.Equal(p.next.Adopt(transfer).Fault, c.want) // a late duplicate has no effect
			is.Equal(verdictOf(third.Begin(p.complete, claimOf(p.complete, "desk", "c"))), "recorded")
		})
	}
}

// A successor that does not reply while the records are sent cannot have received
// the authority, so the next candidate is tried.
func TestUnresponsivePeerIsSkipped(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	first := w.processes["a1"].coordinator.candidates()[0].Instance
	w.nextFaults["a1>"+first] = []fault{faultReplyLost}
	successor, err := w.processes["a1"].coordinator.Handover(context.Background())
	is.NoErr(err)
	is.True(successor.Instance != first)
	key := keyAt(w.processes["a1"].self, epoch, randomPart)
	is.Equal(verdictOf(w.processes[successor.Instance].coordinator.owner.Begin(key, claimOf(key, "desk", "a"))), "granted")
}

// Records that exceed one message are split into parts.
func TestManyRecordsAreSplitIntoParts(t *testing.T) {
	is := is.New(t)
	p := newHandoverPair()
	const records = 100
	for i := range records {
		key := keyAt(p.old.self, epoch, fmt.Sprintf("%016x", i))
		p.old.Begin(key, claimOf(key, "desk", "a"))
		p.old.Finish(key, claimOf(key, "desk", "a"), Result{Outcome: outcome.Complete, Body: make([]byte, MaxStoredBody)})
	}
	transfer, parts, err := p.old.Export("t", asDecider(p.next))
	is.NoErr(err)
	is.True(len(parts) > 1)
	for _, part := range parts {
		is.True(gobSize(part) < 2*partSize)
	}
	is.Equal(p.next.adoptAll(transfer, parts), FaultNone)
	is.Equal(p.next.Records(), records+2)
}

func gobSize(value any) int {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(value); err != nil {
		panic(err)
	}
	return buffer.Len()
}

func TestNoHandoverWithoutAPeer(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	for _, name := range []string{"a2", "a3"} {
		w.processes[name].dead = true
	}
	w.refreshAll()
	_, err := w.processes["a1"].coordinator.Handover(context.Background())
	is.True(errors.Is(err, ErrNoSuccessor))
	_, issuing := w.processes["a1"].coordinator.Prefix()
	is.True(issuing) // without a successor it continues to decide
}

func TestSuccessorDropsExpiredOrigin(t *testing.T) {
	is := is.New(t)
	p := newHandoverPair()
	transfer, parts, err := p.old.Export("t", asDecider(p.next))
	is.NoErr(err)
	is.Equal(p.next.adoptAll(transfer, parts), FaultNone)
	is.Equal(p.next.Records(), 2)
	p.clock.advance(testTTL + time.Second)
	third := ownerAt(p.clock, "hn-3", 1)
	onward, parts, err := third.Export("u", asDecider(p.next))
	is.NoErr(err)
	is.Equal(p.next.adoptAll(onward, parts), FaultNone)
	is.Equal(p.next.Records(), 0)
	is.Equal(p.next.Begin(p.complete, p.finalAs).Verdict, VerdictNotMine)
}
