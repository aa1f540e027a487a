package claim

// ServiceName is the net/rpc name under which a gateway serves claims.
const ServiceName = "Claim"

// The methods of the service.
const (
	MethodBegin  = ServiceName + ".Begin"
	MethodFinish = ServiceName + ".Finish"
	MethodCopy   = ServiceName + ".Copy"
	MethodStage  = ServiceName + ".Stage"
	MethodAdopt  = ServiceName + ".Adopt"
)

// BeginArgs requests a decision on a claim.
type BeginArgs struct {
	Claim Claim
	// Relay makes an instance that does not decide the key query its own failure
	// domain. It is never set between instances of one domain.
	Relay bool
}

// BeginReply holds the decision, and the local copy if the queried instance does
// not decide the key.
type BeginReply struct {
	Decision Decision
	Copy     *Record
	// Silent reports, with Relay, that a possible decider did not reply.
	Silent bool
}

// FinishArgs reports the result of an attempt. The decider of the key records it;
// any other gateway stores a copy.
type FinishArgs struct {
	Claim  Claim
	Result Result
	// Relay is as in BeginArgs.
	Relay bool
}

// FinishReply reports whether a decider of the key recorded the result.
type FinishReply struct {
	Decided   bool
	Successor *Decider
}

// CopyArgs requests a gateway's copy of an ended attempt.
type CopyArgs struct{ Claim Claim }

// CopyReply holds the copy, or nil if there is none.
type CopyReply struct{ Copy *Record }

// StageReply confirms that a part was received. Only the addressed incarnation keeps it.
type StageReply struct {
	// By is the replying incarnation.
	By Origin
}
