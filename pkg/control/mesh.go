package control

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Names of the net/rpc services of an agent.
const (
	// MeshService is for agents of the own failure domain.
	MeshService = "Mesh"
	// DomainService is for agents of other failure domains.
	DomainService = "Domain"
	// OperatorService is for operators' commands that are passed on.
	OperatorService = "Operator"
)

// Beat is a heartbeat, in both directions: each side sends its identity, what it
// has received, and only the facts that the other has not yet acknowledged.
type Beat struct {
	From string
	// Epoch is the sender's; a new one makes the receiver discard the state of the
	// earlier one.
	Epoch uint64
	// Sequence orders the sender's heartbeats; a lower one than the last received is
	// outdated.
	Sequence uint64
	// Revision is the configuration of the sender's agent, InForce the lower of its
	// agent's and its gateway's.
	Revision, InForce config.Revision
	// ViewSum is a hash of the instances that the sender knows. Peers lists them
	// when the two sides' sums differ.
	ViewSum uint64
	Peers   []member.Peer
	// UpTo is the number of the sender's last change that Facts includes.
	UpTo  uint64
	Facts Facts
	// HaveEpoch and Have acknowledge the receiver's changes: the epoch, and the
	// number of the last change received.
	HaveEpoch, Have uint64
}

// Facts are the facts that the sender publishes.
type Facts struct {
	Identity *member.Identity
	// Load has no counts by upstream name; they are in Counts, by the numbers that
	// Names assigns in this heartbeat or in an earlier one of the same epoch.
	Load      *board.GatewayLoad
	Counts    []LoadCount
	Names     []NameFact
	Upstreams []UpstreamFact
	Prefixes  []PrefixFact
	Marks     []MarkFact
	Digests   []DigestFact
	List      *ListFact
	Platform  *PlatformFact
}

// LoadCount is the number of a gateway's requests at one upstream.
type LoadCount struct {
	// Number is the sender's number for the upstream's name.
	Number int
	// InFlight is as in board.GatewayLoad.
	InFlight int
}

// NameFact assigns a number to an upstream's name, for the sender's epoch.
type NameFact struct {
	Number int
	Name   string
}

// PlatformFact is whether the platform's key-value service answers a watcher.
type PlatformFact struct {
	// Watching is whether the sender calls the service at all.
	Watching, KeyValue bool
}

// ListFact is the domain's part of the platform's lagging list.
type ListFact struct{ Lines []platform.ListedInstance }

// PrefixFact holds the prefixes that an engine has cached, from the owner of its
// poll.
type PrefixFact struct {
	Upstream string
	// Prefixes are hashes, as in board.UpstreamLoad.
	Prefixes []uint64
}

// UpstreamFact is an upstream's report, from the owner of its poll.
type UpstreamFact struct {
	// Load has no ReportedAt, which Age replaces, as clocks differ. It has no
	// Prefixes either, which come as a PrefixFact.
	Load board.UpstreamLoad
	Age  time.Duration
}

// MarkFact sets or clears the sender's leaving mark on an upstream.
type MarkFact struct {
	Upstream string
	Leaving  bool
}

// DigestFact is a remote domain's digest, from the owner of its fetch.
type DigestFact struct {
	// Digest has no HeardAt: Age replaces it.
	Digest board.DomainDigest
	Age    time.Duration
	// EntriesSum is the hash of the domain's entries; Digest.Entries may be left
	// out when they have not changed.
	EntriesSum uint64
	// Reachable is whether the owner's last fetch succeeded.
	Reachable bool
}

// Goodbye announces that an instance leaves for good.
type Goodbye struct {
	From  string
	Epoch uint64
}

// HeadUpdate carries a configuration to a receiver with a lower revision.
type HeadUpdate struct {
	// To is the revision that the receiver holds after it; a receiver that already
	// holds it need not decode the rest.
	To config.Revision
	// Delta holds the changes alone, if the receiver is known to hold the revision
	// that they start from; else Whole is the encoded head (config.EncodeHead).
	Delta *config.Delta
	Whole []byte
}

// OfferReply answers a HeadUpdate.
type OfferReply struct {
	// Revision is the receiver's revision after it.
	Revision config.Revision
}

// WantArgs requests a configuration above Revision. Whole requests the whole head,
// because the delta did not apply.
type WantArgs struct {
	Revision config.Revision
	Whole    bool
}

// WantReply is empty if the callee has nothing newer.
type WantReply struct {
	Revision config.Revision
	Update   *HeadUpdate
}

// DigestArgs requests another failure domain's digest.
type DigestArgs struct {
	// Domain is the caller's failure domain.
	Domain string
	// Revision is the caller's configuration: a newer one comes with the reply, whole
	// if Whole is set.
	Revision config.Revision
	Whole    bool
	// EntriesSum is the hash of the entries that the caller has.
	EntriesSum uint64
	// Seen is the hash of the urgent state that the caller received last; the reply
	// is held back until that has changed, or for Wait.
	Seen uint64
	Wait time.Duration
}

// DigestReply is a domain's digest.
type DigestReply struct {
	// Digest has Entries only when EntriesSum differs from the one in DigestArgs.
	Digest     board.DomainDigest
	EntriesSum uint64
	// Seen is for the next DigestArgs.
	Seen uint64
	// Revision is the newest configuration there; Update carries it when the caller's
	// is lower.
	Revision config.Revision
	Update   *HeadUpdate
}

// AskArgs passes an operator's command on to an instance of another failure domain.
type AskArgs struct{ Operator, Line string }

// AskReply is the reply to the operator.
type AskReply struct {
	Verdict string
	Text    string
}
