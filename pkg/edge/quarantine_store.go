package edge

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/quarantine"
)

// Quarantines outlive a restart of all instances in the platform's store, and so does that one was cleared,
// for a day. Instances tell each other sooner than the store does; it is read at a start.

const (
	// keepSpread is over which time the witnesses of a request write its quarantine, so that
	// most of them find it there.
	writeJitter = 500 * time.Millisecond
	// keepTimeout bounds the calls that write one quarantine; keepTries is how often that is
	// tried, each time after twice the pause: the store may be away for some seconds.
	writeTimeout  = 2 * time.Second
	writeAttempts = 6
	// keepers is how many instances write a quarantine again that the store lacks: some of them
	// may be cut off from it.
	quarantineWriters = 3
	// eraSettles is for how long after the store's return from a copy what it holds is not known
	// everywhere: a listing, and a round or two of copies.
	epochSettleTime = time.Second
	// mostToKeep bounds the quarantines that wait to be written.
	maxPendingWrites = 64
)

// keeping is a request whose record in the store is to be brought in line with what is known here.
type quarantineWrite struct {
	request quarantine.Fingerprint
	// unseen says that the store may hold another record than the own copy of it tells, which holds
	// over what is newer.
	staleReplica bool
}

// keepQuarantine has a quarantine written, or taken back. It never waits: one that finds no
// room is known to the other instances all the same.
func (e *Edge) enqueueWrite(write quarantineWrite) {
	if e.options.QuarantineKey == nil {
		return
	}
	select {
	case e.quarantineWrites <- write:
	default:
	}
}

// writeQuarantines writes until ctx ends.
func (e *Edge) writeQuarantines(ctx context.Context) {
	for {
		select {
		case write := <-e.quarantineWrites:
			e.writeQuarantine(ctx, write)
		case <-ctx.Done():
			return
		}
	}
}

// jobKeep ranks the instances that write a quarantine again.
const rankQuarantineWriters = "keep"

// followEras has the store brought in line, until ctx ends, with what it has forgotten by its return
// from a copy: quarantines, and that they were cleared.
func (e *Edge) followEpochs(ctx context.Context) {
	known := e.store.Era()
	for {
		changed := e.store.Eras().Changed()
		if epoch := e.store.Era(); epoch != known {
			known = epoch
			clock.Sleep(ctx, epochSettleTime)
			e.writeMissingQuarantines()
			for _, request := range e.quarantine.AllReleased() {
				if e.writesQuarantine(request) {
					e.enqueueWrite(quarantineWrite{request: request, staleReplica: true})
				}
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// keepHeld has the quarantines written that the store lacks. All instances know them: some are
// chosen by hashing.
func (e *Edge) writeMissingQuarantines() {
	stored := e.board.Quarantined.Load()
	for _, request := range e.quarantine.AllHeld() {
		if !stored.Holds(request) && e.writesQuarantine(request) {
			e.enqueueWrite(quarantineWrite{request: request})
		}
	}
}

// keeps says whether this instance is one of those that write a quarantine again.
func (e *Edge) writesQuarantine(request quarantine.Fingerprint) bool {
	names := slices.Collect(maps.Keys(e.countInstances().regionByName))
	ranked := member.Rank(member.Key(rankQuarantineWriters, request.Key()), names)
	return slices.Contains(ranked[:min(quarantineWriters, len(ranked))], e.self.Name)
}

// writeQuarantine brings one record of the store in line with what is known here.
func (e *Edge) writeQuarantine(ctx context.Context, write quarantineWrite) {
	pause := writeJitter
	for range writeAttempts {
		if !clock.Sleep(ctx, rand.N(pause)) {
			return
		}
		pause *= 2
		held := e.quarantine.Held(write.request)
		stored := e.board.Quarantined.Load()
		if held == stored.Holds(write.request) && (held || !write.staleReplica) {
			return
		}
		err := e.putQuarantine(ctx, write, held, stored.Find(write.request))
		if err == nil {
			return
		}
		if !errors.Is(err, platform.ErrConflict) {
			e.log.Warn().Err(err).Stringer(event.KeyContent, write.request).Msg(string(event.QuarantineNotKept))
		}
	}
}

// putQuarantine writes a record: that a request is quarantined, or was cleared. It is written only over
// what is known of it (nil: there is none), so that a write that the store takes late undoes nothing that
// was done meanwhile.
func (e *Edge) putQuarantine(ctx context.Context, write quarantineWrite, held bool, known *quarantine.Record) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	note, revision := quarantine.Note{Instance: e.self.Name, Since: time.Now().UTC()}, int64(0)
	if known != nil {
		revision = known.Revision
	}
	if !held {
		if known != nil {
			note = known.Note
		}
		note.ClearedBy = cmp.Or(note.ClearedBy, e.self.Name)
	}
	value, err := note.Encode()
	if err != nil {
		return err
	}
	key := e.options.QuarantineKey(write.request)
	expect := map[string]int64{key: revision}
	if write.staleReplica && !held {
		expect = nil
	}
	_, err = e.options.Registrar.Swap(ctx, expect, []platform.Put{{Key: key, Value: value}})
	return err
}

// forgetCleared removes the records of requests whose clearing no longer needs to be remembered. Some
// instances are chosen by hashing for that.
func (e *Edge) deleteExpiredClearances(ctx context.Context) {
	stored := e.board.Quarantined.Load()
	if stored == nil || e.options.QuarantineKey == nil {
		return
	}
	for i := range stored.Records {
		record := &stored.Records[i]
		if record.ClearedBy != "" && !e.quarantine.Released(record.Request) && e.writesQuarantine(record.Request) {
			e.deleteRecord(ctx, record)
		}
	}
}

func (e *Edge) deleteRecord(ctx context.Context, record *quarantine.Record) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	key := e.options.QuarantineKey(record.Request)
	_, err := e.options.Registrar.Swap(ctx, map[string]int64{key: record.Revision}, []platform.Put{{Key: key, Delete: true}})
	if err != nil && !errors.Is(err, platform.ErrConflict) {
		e.log.Warn().Err(err).Stringer(event.KeyContent, record.Request).Msg(string(event.QuarantineNotKept))
	}
}

// followQuarantines takes what the store tells of quarantines until ctx ends.
func (e *Edge) followQuarantines(ctx context.Context) {
	var known *quarantine.Stored
	for {
		changed := e.board.Quarantined.Changed()
		if stored := e.board.Quarantined.Load(); stored != nil {
			e.applyStored(known, stored)
			known = stored
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// takeStored takes what has changed in the store's records; before may be nil. That one is gone says
// nothing: only an act clears a quarantine.
func (e *Edge) applyStored(before, stored *quarantine.Stored) {
	for i := range stored.Records {
		record := &stored.Records[i]
		known := before.Find(record.Request)
		switch {
		case known != nil && before.Era == stored.Era && known.Revision == record.Revision:
		case record.ClearedBy != "":
			e.applyClearance(record)
		default:
			e.logQuarantine(record.Request, e.quarantine.Hold(record.Request, 0))
			if !e.quarantine.Held(record.Request) {
				// It ran to a good end while another instance wrote this.
				e.enqueueWrite(quarantineWrite{request: record.Request})
			}
		}
	}
}

// release takes the store's word that a request may run again.
func (e *Edge) applyClearance(record *quarantine.Record) {
	e.quarantine.Release(record.Request)
	e.log.Info().Stringer(event.KeyContent, record.Request).Str(event.KeyOperator, record.ClearedBy).Msg(string(event.RequestCleared))
}
