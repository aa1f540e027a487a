package claim

import (
	"context"
)

// Service is the net/rpc service that a gateway registers under ServiceName.
type Service struct {
	coordinator *Coordinator
}

// Service returns the net/rpc receiver of other gateways' calls.
func (c *Coordinator) Service() *Service { return &Service{coordinator: c} }

// Begin decides a claim if this gateway is the decider; otherwise it returns the
// copy and the successor that it knows.
func (s *Service) Begin(args BeginArgs, reply *BeginReply) error {
	key, err := ParseKey(args.Claim.Key)
	if err != nil {
		return err
	}
	*reply = s.coordinator.serveBegin(key, args)
	return nil
}

// Finish records the result of an attempt, as the decider or as a copy.
func (s *Service) Finish(args FinishArgs, reply *FinishReply) error {
	key, err := ParseKey(args.Claim.Key)
	if err != nil {
		return err
	}
	*reply = s.coordinator.serveFinish(key, args)
	return nil
}

// Copy returns the local copy of an ended attempt. It makes no decision.
func (s *Service) Copy(args CopyArgs, reply *CopyReply) error {
	reply.Copy = s.coordinator.copies.Get(args.Claim)
	return nil
}

// Stage receives a part of a leaving gateway's records.
func (s *Service) Stage(args Part, reply *StageReply) error {
	s.coordinator.owner.Stage(args)
	reply.By = s.coordinator.options.Self
	return nil
}

// Adopt takes over a leaving gateway's keys.
func (s *Service) Adopt(args Transfer, reply *TransferReply) error {
	*reply = s.coordinator.owner.Adopt(&args)
	return nil
}

func (c *Coordinator) serveBegin(key Key, args BeginArgs) BeginReply {
	decision := c.decide(key, args.Claim)
	if decision.Verdict != VerdictNotMine {
		return BeginReply{Decision: decision}
	}
	held := c.copies.Get(args.Claim)
	if !args.Relay || key.Domain != c.options.Self.Domain {
		return BeginReply{Decision: decision, Copy: held}
	}
	return c.relayBegin(key, args.Claim, held, decision.Successor)
}

// relayBegin queries the own domain on behalf of a gateway of another. It never
// withdraws, since the attempt's holder may be querying another relay concurrently.
func (c *Coordinator) relayBegin(key Key, claim Claim, held *Record, successor *Decider) BeginReply {
	ctx, cancel := context.WithTimeout(context.Background(), relaySearchTimeout)
	defer cancel()
	search := c.newSearch(key, claim, held)
	search.run(ctx, successor)
	if search.decided == nil {
		search.logLost()
		return BeginReply{Copy: search.bestCopy, Silent: search.unanswered}
	}
	return BeginReply{Decision: *search.decided}
}

func (c *Coordinator) serveFinish(key Key, args FinishArgs) FinishReply {
	decided, successor := c.record(key, args.Claim, args.Result)
	if decided || !args.Relay || key.Domain != c.options.Self.Domain {
		return FinishReply{Decided: decided, Successor: successor}
	}
	ctx, cancel := context.WithTimeout(context.Background(), DefaultRelayTimeout)
	defer cancel()
	return FinishReply{Decided: c.reportToDomain(ctx, key, args.Claim, args.Result)}
}
