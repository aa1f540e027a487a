package origin

import (
	"context"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/event"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// ServiceName is the net/rpc name of the service.
const ServiceName = "Origin"

// Methods of the service.
const (
	methodKeep = ServiceName + ".Keep"
	methodFind = ServiceName + ".Find"
)

const (
	// nearTimeout and farTimeout bound a call inside the region and to another one. A call that
	// times out costs its connection, which other calls use as well.
	nearTimeout = 300 * time.Millisecond
	farTimeout  = 600 * time.Millisecond
	// searchTime is the longest time for which a search waits for replies, and searchShare the
	// largest share of its caller's time.
	searchTime  = 400 * time.Millisecond
	searchShare = 0.25
)

// KeepArgs are records, as columns: the hash of the request's ID, the index of its origin, and the
// milliseconds for which it is kept.
type KeepArgs struct {
	Origins  []Origin
	Requests []uint64
	Of       []uint16
	LeftMS   []uint32
}

// KeepReply acknowledges records.
type KeepReply struct{ Kept int }

// FindArgs ask for the origin of a stream. Service is the one that its route leads to now, and
// Patience the longest time for which its caller may have waited.
type FindArgs struct {
	Request  uint64
	Service  string
	Patience time.Duration
}

// FindReply holds a recorded or proved origin. It is neither if the origin is not known, and
// Conflicting if several were recorded.
type FindReply struct {
	Recorded, Proved, Conflicting bool
	Origin                        Origin
}

// Service implements the methods that other instances call.
type Service struct{ keeper *Keeper }

// Register registers the service.
func (k *Keeper) Register(server *control.Server) error {
	return server.Register(ServiceName, &Service{keeper: k})
}

// Keep records the origins of streams that another instance has begun. Records that are not
// complete are left out.
func (s *Service) Keep(args KeepArgs, reply *KeepReply) error {
	k, now := s.keeper, s.keeper.options.Clock.Now()
	for n, id := range args.Requests {
		if n >= len(args.Of) || n >= len(args.LeftMS) || int(args.Of[n]) >= len(args.Origins) {
			break
		}
		k.records.add(id, args.Origins[args.Of[n]], now.Add(time.Duration(args.LeftMS[n])*time.Millisecond), now)
		reply.Kept++
	}
	return nil
}

// Find returns what this instance knows of the origin of a stream.
func (s *Service) Find(args FindArgs, reply *FindReply) error {
	k, now := s.keeper, s.keeper.options.Clock.Now()
	if reply.Origin, reply.Recorded = k.records.find(args.Request, now); reply.Recorded {
		return nil
	}
	if reply.Conflicting = k.records.conflicts(args.Request, now); reply.Conflicting {
		return nil
	}
	reply.Origin.Service = args.Service
	reply.Origin.Version, reply.Proved = k.only(args.Service, args.Patience)
	return nil
}

// send starts to send the records that other instances would miss. Others wait: they are sent if
// another version appears while their streams may still be taken up. An instance that does not
// answer holds up no other.
func (k *Keeper) send() {
	taken := k.takePending()
	if len(taken) == 0 {
		return
	}
	others := k.options.Live()
	if len(others) == 0 {
		// They may not be known yet.
		k.putBack(taken)
		return
	}
	batches := make(map[string]*batch)
	for _, record := range taken {
		for _, owner := range owners(record.id, k.options.Self.Region, others) {
			if batches[owner.Name] == nil {
				batches[owner.Name] = &batch{to: *owner}
			}
			batches[owner.Name].add(record, k.options.Clock.Now())
		}
	}
	for _, batch := range batches {
		k.sends.Go(func() { k.sendBatch(batch) })
	}
}

// sendBatch sends records to one instance. A failure is not repaired: the other copies are as good.
func (k *Keeper) sendBatch(batch *batch) {
	var reply KeepReply
	if err := k.call(&batch.to, methodKeep, &batch.args, &reply); err != nil {
		k.options.Log.Debug().Err(err).Str(event.KeyPeer, batch.to.Name).Msg(string(event.OriginsNotSent))
	}
}

// takePending takes the pending records whose origin could not be told without them.
func (k *Keeper) takePending() []pendingRecord {
	now := k.options.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.pending) > 0 && !now.Before(k.pending[0].expires) {
		k.pending = k.pending[1:]
	}
	needed := make(map[string]bool)
	all := true
	for i := range k.pending {
		service := k.pending[i].origin.Service
		if _, known := needed[service]; !known {
			_, uniform := k.uniform(service, 0, now)
			needed[service] = !uniform
			all = all && uniform
		}
	}
	if all {
		return nil
	}
	var taken, kept []pendingRecord
	for _, record := range k.pending {
		switch {
		case !now.Before(record.expires):
		case needed[record.origin.Service]:
			taken = append(taken, record)
		default:
			kept = append(kept, record)
		}
	}
	k.pending = kept
	return taken
}

// putBack makes records pending again.
func (k *Keeper) putBack(records []pendingRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pending = append(records, k.pending...)
}

// batch is the records for one instance.
type batch struct {
	to   fleet.Instance
	args KeepArgs
}

func (b *batch) add(record pendingRecord, now time.Time) {
	at := -1
	for n, origin := range b.args.Origins {
		if origin == record.origin {
			at = n
		}
	}
	if at < 0 {
		at = len(b.args.Origins)
		b.args.Origins = append(b.args.Origins, record.origin)
	}
	b.args.Requests = append(b.args.Requests, record.id)
	b.args.Of = append(b.args.Of, uint16(at))
	b.args.LeftMS = append(b.args.LeftMS, uint32(record.expires.Sub(now).Milliseconds()))
}

// call calls another instance. It does not end with the request that needs the reply, as a call
// that is cancelled costs its connection.
func (k *Keeper) call(to *fleet.Instance, method string, args, reply any) error {
	timeout := farTimeout
	if to.Region == k.options.Self.Region {
		timeout = nearTimeout
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return k.options.Client.Call(ctx, to.Gossip, method, args, reply)
}

// Find returns the origin of the stream that a request began. Service is the one that its route
// leads to now, patience the longest time for which its caller may have waited, and left the time
// within which it needs an answer. The first record decides; a proof does if nobody has a record.
func (k *Keeper) Find(ctx context.Context, request, service string, patience, left time.Duration) Answer {
	id, now := hash(request), k.options.Clock.Now()
	patience = k.longestPatience(service, patience)
	if origin, found := k.records.find(id, now); found {
		return Answer{Origin: origin, Source: Recorded}
	}
	if k.records.conflicts(id, now) {
		return Answer{Source: Unknown}
	}
	if version, proved := k.only(service, patience); proved {
		return Answer{Origin: Origin{Service: service, Version: version}, Source: Proved}
	}
	asked := candidates(id, k.options.Self.Region, k.options.Known())
	replies := make(chan *FindReply, len(asked))
	for i := range asked {
		go func() {
			reply := &FindReply{}
			args := &FindArgs{Request: id, Service: service, Patience: patience}
			if k.call(asked[i], methodFind, args, reply) != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	ctx, cancel := context.WithTimeout(ctx, min(searchTime, time.Duration(searchShare*float64(left))))
	defer cancel()
	answer := decide(ctx, replies, len(asked))
	if answer.Source == Told {
		k.Learn(request, answer.Origin, left)
	}
	return answer
}

// decide waits for the first record, or for all replies.
func decide(ctx context.Context, replies <-chan *FindReply, asked int) Answer {
	answer := Answer{Source: Unknown, Asked: asked}
	var proofs []Origin
	for received := range asked {
		var reply *FindReply
		select {
		case reply = <-replies:
		case <-ctx.Done():
			answer.Silent += asked - received
			return answer.proved(proofs)
		}
		switch {
		case reply == nil:
			answer.Silent++
		case reply.Conflicting:
			return answer
		case reply.Recorded:
			answer.Origin, answer.Source = reply.Origin, Told
			return answer
		case reply.Proved:
			proofs = append(proofs, reply.Origin)
		}
	}
	return answer.proved(proofs)
}

// proved returns the answer by the proofs of other instances. Proofs that contradict each other are
// none.
func (a Answer) proved(proofs []Origin) Answer {
	if len(proofs) == 0 || slices.ContainsFunc(proofs, func(o Origin) bool { return o != proofs[0] }) {
		return a
	}
	a.Origin, a.Source = proofs[0], Proved
	return a
}
