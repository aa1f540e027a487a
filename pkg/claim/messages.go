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

// BeginArgs asks a gateway to decide a claim.
type BeginArgs struct {
	Claim Claim
	// Relay asks an instance that does not decide the key to ask its own failure
	// domain. It is never set from one instance to another of the same domain.
	Relay bool
}

// BeginReply is the answer, and the copy that the asked instance holds when it
// does not decide the key.
type BeginReply struct {
	Decision Decision
	Copy     *Record
	// Silent says, with Relay, that someone who may decide did not answer.
	Silent bool
}

// FinishArgs tells a gateway how an attempt ended. One that decides the key
// records it; any other keeps a copy.
type FinishArgs struct {
	Claim  Claim
	Result Result
	// Relay is as in BeginArgs.
	Relay bool
}

// FinishReply says whether a decider of the key has recorded it.
type FinishReply struct {
	Decided   bool
	Successor *Decider
}

// CopyArgs asks for the copy that a gateway holds of an ended attempt.
type CopyArgs struct{ Claim Claim }

// CopyReply holds the copy; nil when there is none.
type CopyReply struct{ Copy *Record }

// StageReply answers a part: it was received.
type StageReply struct{}
