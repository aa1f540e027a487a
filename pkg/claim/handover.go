package claim

import "errors"

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

// Transfer passes the authority of a leaving owner to exactly one incarnation.
// The records have gone there before, in parts.
type Transfer struct {
	// ID is random. A repeat with the same ID changes nothing.
	ID string
	// From is the leaving owner, Successor the only one who may adopt.
	From, Successor Origin
	Tables          []TableExport
	// Parts counts the parts that hold all records, and Sum is the checksum of
	// the tables and parts.
	Parts int
	Sum   uint64
}

// TableExport is what is known of one origin's keys besides the records.
type TableExport struct {
	Origin Origin
	// Now is the origin's clock when the owner had stopped deciding, and Floor
	// the issue time up to which records may be missing; both Unix milliseconds.
	Now, Floor int64
}

// Part is a piece of a transfer's records. It gives no authority.
type Part struct {
	// Transfer is the transfer's ID.
	Transfer string
	// From and Successor are the transfer's.
	From, Successor Origin
	// Index counts the parts from zero.
	Index int
	// Origin is that of all Records.
	Origin  Origin
	Records []Record
}

// partSize is about how many bytes a part takes on the wire at most.
const partSize = 1 << 20

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
		parts = []Part{{Origin: o.self}} // shows whether the successor answers
	}
	for i := range parts {
		parts[i].Transfer, parts[i].Index = id, i
		parts[i].From, parts[i].Successor = o.self, successor.Origin
	}
	transfer.Parts = len(parts)
	transfer.Sum = transfer.checksum(parts)
	return transfer, parts, nil
}

// Refused takes in a reply to a transfer. It returns true when the named
// successor itself refused and will refuse for ever, so that another may be
// asked. Any other incarnation's refusal proves nothing.
func (o *Owner) Refused(transfer *Transfer, reply TransferReply) bool {
	if reply.Fault == FaultNone || reply.By != transfer.Successor {
		return false
	}
	return o.release(transfer)
}

// Unsent says that a transfer was never sent to its successor, so that another
// may be asked.
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

// Stopped reports whether the owner has stopped deciding, and for whom.
func (o *Owner) Stopped() (successor *Decider, stopped bool) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return o.successor, o.stopped
}

// Stage keeps a part until its transfer comes. Only the parts of one transfer
// from each owner are kept: the latest.
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

// Adopt takes over the origins of a transfer, or refuses. The answer to one
// transfer never changes, so that a late or repeated one does no harm.
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

// unstage returns the parts of a transfer that have come, in order.
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

// all returns a copy of every record.
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
		t.account(&record)
	}
}
