package claim

import "errors"

// ErrHandedOver means that a successor may already have the owner's authority.
var ErrHandedOver = errors.New("authority over idempotency keys was handed over")

// TransferFault is the reason why a transfer was not adopted.
type TransferFault string

// The faults of a transfer.
const (
	// FaultNone means that the transfer was adopted.
	FaultNone TransferFault = ""
	// FaultAddressee means that the transfer names another incarnation than the
	// replying one. It gives no evidence of what the named incarnation did.
	FaultAddressee TransferFault = "other-addressee"
	// FaultIncomplete means that the part count or the checksum does not match.
	FaultIncomplete TransferFault = "incomplete"
	// FaultLeaving means that the addressee has itself stopped deciding.
	FaultLeaving TransferFault = "leaving"
	// FaultDuplicate means that the addressee already decides one of the origins.
	FaultDuplicate TransferFault = "already-decided"
)

// Transfer passes the authority of a leaving owner to exactly one incarnation. The
// records are sent before it, in parts.
type Transfer struct {
	// ID is random. A repeat with the same ID has no effect.
	ID string
	// From is the leaving owner; only Successor may adopt the transfer.
	From, Successor Origin
	Tables          []TableExport
	// Parts is the number of parts that hold all records, and Sum the checksum of
	// tables and parts.
	Parts int
	Sum   uint64
}

// TableExport holds the state of one origin's keys besides the records.
type TableExport struct {
	Origin Origin
	// Now is the origin's clock after the owner stopped deciding, and Floor the
	// issue time up to which records may be missing; both in Unix milliseconds.
	Now, Floor int64
}

// Part holds some of a transfer's records. It transfers no authority.
type Part struct {
	// Transfer is the transfer's ID.
	Transfer string
	// From and Successor are the transfer's.
	From, Successor Origin
	// Index is the part's number, from zero.
	Index int
	// Origin is the origin of all Records.
	Origin  Origin
	Records []Record
}

// partSize is the approximate upper bound of a part on the wire, in bytes.
const partSize = 1 << 20

// TransferReply is the reply to a Transfer.
type TransferReply struct {
	// By is the replying incarnation.
	By Origin
	// Fault is FaultNone if the transfer was adopted.
	Fault TransferFault
}

// Export permanently stops this owner's decisions and returns the transfer for
// successor. A second call returns ErrHandedOver, unless the first successor itself
// refused (see Refused) or the transfer was not sent (see Unsent).
func (o *Owner) Export(id string, successor Decider) (*Transfer, []Part, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.outstanding != "" {
		return nil, nil, ErrHandedOver
	}
	o.stopped = true
	o.outstanding = id
	o.successor = &successor
	transfer := &Transfer{ID: id, From: o.self, Successor: successor.Origin}
	var parts []Part
	for origin, records := range o.tables {
		transfer.Tables = append(transfer.Tables, TableExport{Origin: origin, Now: records.now(), Floor: records.floor.Load()})
		parts = append(parts, split(origin, records.all())...)
	}
	if len(parts) == 0 {
		parts = []Part{{Origin: o.self}} // an empty part tests that the successor replies
	}
	for i := range parts {
		parts[i].Transfer, parts[i].Index = id, i
		parts[i].From, parts[i].Successor = o.self, successor.Origin
	}
	transfer.Parts = len(parts)
	transfer.Sum = transfer.checksum(parts)
	return transfer, parts, nil
}

// Refused processes the reply to a transfer. It returns true if the named successor
// itself refused, which is final, so that another may be chosen. A refusal by any
// other incarnation proves nothing.
func (o *Owner) Refused(transfer *Transfer, reply TransferReply) bool {
	if reply.Fault == FaultNone || reply.By != transfer.Successor {
		return false
	}
	return o.release(transfer)
}

// Unsent records that a transfer was never sent to its successor, so that another
// may be chosen.
func (o *Owner) Unsent(transfer *Transfer) { o.release(transfer) }

func (o *Owner) release(transfer *Transfer) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.outstanding != transfer.ID {
		return false
	}
	o.outstanding = ""
	o.successor = nil
	return true
}

// Stopped reports whether the owner has stopped deciding, and its successor.
func (o *Owner) Stopped() (successor *Decider, stopped bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.successor, o.stopped
}

// Stage stores a part until its transfer arrives. For each owner only the parts
// of the latest transfer are kept.
func (o *Owner) Stage(part Part) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.dropStale()
	if part.Successor != o.self || o.stopped {
		return
	}
	if _, decided := o.transfers[part.Transfer]; decided {
		return
	}
	stage := o.staged[part.From]
	if stage == nil || stage.transfer != part.Transfer {
		stage = &staging{transfer: part.Transfer, parts: make(map[int]Part), began: o.clock.Now()}
		o.staged[part.From] = stage
	}
	stage.parts[part.Index] = part
}

// Adopt takes over the origins of a transfer, or refuses. The reply to a transfer
// never changes, so late and repeated deliveries are harmless.
func (o *Owner) Adopt(transfer *Transfer) TransferReply {
	o.mu.Lock()
	defer o.mu.Unlock()
	if transfer.Successor != o.self {
		return TransferReply{By: o.self, Fault: FaultAddressee}
	}
	if earlier, ok := o.transfers[transfer.ID]; ok {
		return earlier
	}
	parts := o.takeStaged(transfer)
	reply := TransferReply{By: o.self, Fault: o.checkTransfer(transfer, parts)}
	o.transfers[transfer.ID] = reply
	if reply.Fault == FaultNone {
		o.adopt(transfer, parts)
	}
	return reply
}

// takeStaged removes and returns the parts received for a transfer, in order.
func (o *Owner) takeStaged(transfer *Transfer) []Part {
	held := o.staged[transfer.From]
	if held == nil || held.transfer != transfer.ID {
		return nil
	}
	delete(o.staged, transfer.From)
	var parts []Part
	for i := range transfer.Parts {
		if part, ok := held.parts[i]; ok {
			parts = append(parts, part)
		}
	}
	return parts
}

func (o *Owner) checkTransfer(transfer *Transfer, parts []Part) TransferFault {
	if o.stopped {
		return FaultLeaving
	}
	for _, export := range transfer.Tables {
		if o.tables[export.Origin] != nil {
			return FaultDuplicate
		}
	}
	if len(parts) != transfer.Parts || transfer.checksum(parts) != transfer.Sum {
		return FaultIncomplete
	}
	return FaultNone
}

func (o *Owner) adopt(transfer *Transfer, parts []Part) {
	o.dropExpired()
	received := o.clock.Now()
	for _, export := range transfer.Tables {
		o.tables[export.Origin] = newTable(o.clock, received, export.Now, export.Floor, o.limits)
	}
	for _, part := range parts {
		o.tables[part.Origin].load(part.Records)
	}
}

// dropExpired deletes adopted origins after the expiry of their last key: they
// issued no key after the time that base stands for.
func (o *Owner) dropExpired() {
	ttl := o.ttl().Milliseconds()
	for origin, records := range o.tables {
		if origin != o.self && records.now()-records.baseMillis > ttl {
			delete(o.tables, origin)
		}
	}
}

// all returns copies of all records.
func (t *table) all() []Record {
	records := make([]Record, 0, t.count.Load())
	for i := range t.shards {
		part := &t.shards[i]
		part.mu.Lock()
		for _, record := range part.records {
			records = append(records, *record)
		}
		part.mu.Unlock()
	}
	return records
}

func (t *table) load(records []Record) {
	for i := range records {
		record := records[i]
		t.put(t.shard(record.identity()), &record)
		t.accountBody(&record)
	}
}
