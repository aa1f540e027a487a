package claim

import (
	"encoding/binary"
	"errors"
	"io"

	"github.com/cespare/xxhash/v2"
)

// ErrHandedOver: the owner's authority may already be with a successor.
var ErrHandedOver = errors.New("authority over idempotency keys was handed over")

// TransferFault says why a transfer was not adopted.
type TransferFault string

// The faults of a transfer.
const (
	// FaultNone: the transfer was adopted.
	FaultNone TransferFault = ""
	// FaultAddressee: the transfer names another incarnation than the one that
	// answers. It says nothing about what the named one did.
	FaultAddressee TransferFault = "other-addressee"
	// FaultIncomplete: count or checksum do not match.
	FaultIncomplete TransferFault = "incomplete"
	// FaultLeaving: the addressee has itself stopped deciding.
	FaultLeaving TransferFault = "leaving"
	// FaultDuplicate: the addressee already decides one of the origins.
	FaultDuplicate TransferFault = "already-decided"
)

// Transfer carries all records and the authority of a leaving owner to exactly
// one incarnation.
type Transfer struct {
	// ID is random. A repeat with the same ID changes nothing.
	ID string
	// From is the leaving owner, Successor the only one who may adopt.
	From, Successor Origin
	Tables          []TableExport
	// Records counts the records of all tables, and Sum is their checksum.
	Records int
	Sum     uint64
}

// TableExport is all that is known of one origin's keys.
type TableExport struct {
	Origin Origin
	// Now is the origin's clock when the owner had stopped deciding, and Floor
	// the issue time up to which records may be missing; both Unix milliseconds.
	Now, Floor int64
	Records    []Record
}

// TransferReply answers a transfer.
type TransferReply struct {
	// By is the incarnation that answers.
	By Origin
	// Fault is FaultNone when the transfer was adopted.
	Fault TransferFault
}

// Export stops all deciding for good and returns what the successor needs. A
// second call is refused with ErrHandedOver, unless the first successor itself
// has refused (see Refused).
func (o *Owner) Export(id string, successor Decider) (*Transfer, error) {
	o.gate.Lock()
	defer o.gate.Unlock()
	if o.outstanding != "" {
		return nil, ErrHandedOver
	}
	o.stopped = true
	o.outstanding = id
	o.successor = &successor
	transfer := &Transfer{ID: id, From: o.self, Successor: successor.Origin}
	for origin, records := range o.tables {
		export := records.export(origin)
		transfer.Records += len(export.Records)
		transfer.Tables = append(transfer.Tables, export)
	}
	transfer.Sum = transfer.checksum()
	return transfer, nil
}

// Refused takes in a reply to a transfer. It returns true when the named
// successor itself refused and will refuse for ever, so that another may be
// asked. Any other incarnation's refusal proves nothing.
func (o *Owner) Refused(transfer *Transfer, reply TransferReply) bool {
	o.gate.Lock()
	defer o.gate.Unlock()
	if reply.Fault == FaultNone || reply.By != transfer.Successor || o.outstanding != transfer.ID {
		return false
	}
	o.outstanding = ""
	o.successor = nil
	return true
}

// Stopped reports whether the owner has stopped deciding, and for whom.
func (o *Owner) Stopped() (successor *Decider, stopped bool) {
	o.gate.RLock()
	defer o.gate.RUnlock()
	return o.successor, o.stopped
}

// Adopt takes over the origins of a transfer, or refuses. The answer to one
// transfer never changes, so that a late or repeated one does no harm.
func (o *Owner) Adopt(transfer *Transfer) TransferReply {
	o.gate.Lock()
	defer o.gate.Unlock()
	if transfer.Successor != o.self {
		return TransferReply{By: o.self, Fault: FaultAddressee}
	}
	if earlier, ok := o.transfers[transfer.ID]; ok {
		return earlier
	}
	reply := TransferReply{By: o.self, Fault: o.faultOf(transfer)}
	o.transfers[transfer.ID] = reply
	if reply.Fault == FaultNone {
		o.adopt(transfer)
	}
	return reply
}

func (o *Owner) faultOf(transfer *Transfer) TransferFault {
	if o.stopped {
		return FaultLeaving
	}
	count := 0
	for _, export := range transfer.Tables {
		if o.tables[export.Origin] != nil {
			return FaultDuplicate
		}
		count += len(export.Records)
	}
	if count != transfer.Records || transfer.checksum() != transfer.Sum {
		return FaultIncomplete
	}
	return FaultNone
}

func (o *Owner) adopt(transfer *Transfer) {
	o.dropExpired()
	received := o.clock.Now()
	for _, export := range transfer.Tables {
		records := newTable(o.clock, received, export.Now, export.Floor, o.limits)
		records.load(export.Records)
		o.tables[export.Origin] = records
	}
}

// dropExpired forgets adopted origins whose last key has expired: no key of
// theirs was issued after the time that base stands for.
func (o *Owner) dropExpired() {
	ttl := o.ttl().Milliseconds()
	for origin, records := range o.tables {
		if origin != o.self && records.now()-records.baseMillis > ttl {
			delete(o.tables, origin)
		}
	}
}

func (t *table) export(origin Origin) TableExport {
	export := TableExport{Origin: origin, Now: t.now(), Floor: t.floor.Load()}
	for i := range t.shards {
		part := &t.shards[i]
		part.mu.Lock()
		for _, record := range part.records {
			export.Records = append(export.Records, *record)
		}
		part.mu.Unlock()
	}
	return export
}

func (t *table) load(records []Record) {
	for i := range records {
		record := records[i]
		t.put(t.shard(record.identity()), &record)
		t.account(&record)
	}
}

// checksum covers who is transferred and every record.
func (t *Transfer) checksum() uint64 {
	digest := xxhash.New()
	hashText(digest, t.ID, t.From.String(), t.Successor.String())
	for _, export := range t.Tables {
		hashText(digest, export.Origin.String())
		hashNumber(digest, uint64(export.Now), uint64(export.Floor))
		for i := range export.Records {
			export.Records[i].hash(digest)
		}
	}
	return digest.Sum64()
}

func (r *Record) hash(digest io.Writer) {
	hashText(digest, r.Key, r.Caller, r.Attempt, string(r.Fingerprint[:]), string(r.Result.Body))
	hashNumber(digest, uint64(r.State), uint64(r.Issued), uint64(r.Granted), uint64(r.Result.Status))
}

func hashText(digest io.Writer, texts ...string) {
	for _, text := range texts {
		hashNumber(digest, uint64(len(text)))
		_, _ = io.WriteString(digest, text)
	}
}

func hashNumber(digest io.Writer, numbers ...uint64) {
	for _, number := range numbers {
		var bytes [8]byte
		binary.BigEndian.PutUint64(bytes[:], number)
		_, _ = digest.Write(bytes[:])
	}
}
