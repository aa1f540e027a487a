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

// The platform's store keeps quarantines, and for a day the fact that one was cleared, beyond a
// restart of all instances. Instances report both to each other sooner than the store does, which
// is read at a start.

const (
	// writeJitter is the time over which the witnesses of a request spread their writes of its
	// quarantine, so that most of them find it written.
	writeJitter = 500 * time.Millisecond
	// writeTimeout bounds the calls that write one quarantine. writeAttempts bounds the attempts,
	// each after twice the pause of the one before: the store may be unavailable for some
	// seconds.
	writeTimeout  = 2 * time.Second
	writeAttempts = 6
	// quarantineWriters is the number of instances that rewrite a quarantine which the store
	// lacks: some of them may be partitioned from it.
	quarantineWriters = 3
	// epochSettleTime is the time after the store's restore from a copy in which its content is
	// not known everywhere. It covers a listing and one or two rounds of copies.
	epochSettleTime = time.Second
	// maxPendingWrites bounds the quarantines that wait to be written.
	maxPendingWrites = 64
)

// quarantineWrite is a request whose record in the store is to be updated to the state known
// here.
type quarantineWrite struct {
	request quarantine.Fingerprint
	// staleReplica is true if the store may hold another record than the local replica, which
	// retains newer entries.
	staleReplica bool
}

// enqueueWrite schedules the write of a quarantine or of its removal. It never blocks: if the
// queue is full the write is dropped, and the other instances know the quarantine all the same.
func (e *Edge) enqueueWrite(write quarantineWrite) {
	if e.options.QuarantineKey == nil {
		return
	}
	select {
	case e.quarantineWrites <- write:
	default:
	}
}

// writeQuarantines writes scheduled records until ctx ends.
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

// rankQuarantineWriters is the hash key that ranks the instances that rewrite a quarantine.
const rankQuarantineWriters = "keep"

// followEpochs rewrites, until ctx ends, the quarantines and clearances that the store lost by a
// restore from a copy.
func (e *Edge) followEpochs(ctx context.Context) {
	known := e.store.Epoch()
	for {
		changed := e.store.Epochs().Changed()
		if epoch := e.store.Epoch(); epoch != known {
			known = epoch
			clock.Sleep(ctx, epochSettleTime)
			e.writeMissingQuarantines()
			for _, request := range e.quarantine.AllCleared() {
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

// writeMissingQuarantines schedules writes of the quarantines that the store lacks. All instances
// know them, so some are chosen by hashing.
func (e *Edge) writeMissingQuarantines() {
	stored := e.board.Quarantined.Load()
	for _, request := range e.quarantine.AllQuarantined() {
		if !stored.Covers(request, e.quarantinedOrganisation(request)) && e.writesQuarantine(request) {
			e.enqueueWrite(quarantineWrite{request: request})
		}
	}
}

// writesQuarantine reports whether this instance is one of those that rewrite a quarantine.
func (e *Edge) writesQuarantine(request quarantine.Fingerprint) bool {
	names := slices.Collect(maps.Keys(e.countInstances().regionByName))
	ranked := member.Rank(member.Key(rankQuarantineWriters, request.Key()), names)
	return slices.Contains(ranked[:min(quarantineWriters, len(ranked))], e.self.Name)
}

// writeQuarantine updates one record of the store to the state known here.
func (e *Edge) writeQuarantine(ctx context.Context, write quarantineWrite) {
	pause := writeJitter
	for range writeAttempts {
		if !clock.Sleep(ctx, rand.N(pause)) {
			return
		}
		pause *= 2
		held := e.quarantine.IsQuarantined(write.request)
		stored := e.board.Quarantined.Load()
		written := held && stored.Covers(write.request, e.quarantinedOrganisation(write.request))
		if written || (!held && !stored.IsQuarantined(write.request) && !write.staleReplica) {
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

// putQuarantine writes the record of a quarantine or of its clearing. It replaces only the known
// record (nil if there is none), so that a write which the store applies late does not undo later
// changes. Only a clearing after a restore of the store replaces any record.
func (e *Edge) putQuarantine(ctx context.Context, write quarantineWrite, held bool, known *quarantine.Record) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	note, revision := quarantine.Note{Instance: e.self.Name, Since: time.Now().UTC(), Organisation: e.quarantinedOrganisation(write.request)}, int64(0)
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

// quarantinedOrganisation returns the organisation that a quarantine concerns, empty for all and for
// that of a request.
func (e *Edge) quarantinedOrganisation(request quarantine.Fingerprint) string {
	if segment, ok := request.Segment(); ok {
		return e.quarantine.OrganisationOf(segment)
	}
	return ""
}

// deleteExpiredClearances deletes the records of cleared requests once their clearing need not be
// remembered. Some instances are chosen by hashing for that.
func (e *Edge) deleteExpiredClearances(ctx context.Context) {
	stored := e.board.Quarantined.Load()
	if stored == nil || e.options.QuarantineKey == nil {
		return
	}
	for i := range stored.Records {
		record := &stored.Records[i]
		if record.ClearedBy != "" && !e.quarantine.RecentlyCleared(record.Request) && e.writesQuarantine(record.Request) {
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

// followQuarantines applies the store's records until ctx ends.
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

// applyStored applies the changes between two states of the store's records. before may be nil. A
// deleted record has no effect: only a recorded clearing ends a quarantine.
func (e *Edge) applyStored(before, stored *quarantine.Stored) {
	for i := range stored.Records {
		record := &stored.Records[i]
		known := before.Find(record.Request)
		switch {
		case known != nil && before.Epoch == stored.Epoch && known.Revision == record.Revision:
		case record.ClearedBy != "":
			e.applyClearance(record)
		default:
			e.logQuarantine(record.Request, e.quarantineRecord(record))
			if !e.quarantine.IsQuarantined(record.Request) {
				// It succeeded while another instance wrote this.
				e.enqueueWrite(quarantineWrite{request: record.Request})
			}
		}
	}
}

// quarantineRecord quarantines what a record of the store names.
func (e *Edge) quarantineRecord(record *quarantine.Record) quarantine.Change {
	if segment, ok := record.Request.Segment(); ok {
		return e.quarantine.QuarantineSegment(segment, record.Organisation, 0)
	}
	return e.quarantine.Quarantine(record.Request, 0)
}

// applyClearance releases a request that the store records as cleared.
func (e *Edge) applyClearance(record *quarantine.Record) {
	e.quarantine.Clear(record.Request)
	e.log.Info().Stringer(event.KeyContent, record.Request).Str(event.KeyOperator, record.ClearedBy).Msg(string(event.RequestCleared))
}
