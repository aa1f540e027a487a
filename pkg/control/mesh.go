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
	// OperatorService is for operators' questions that are passed on.
	OperatorService = "Operator"
)

// Beat is a heartbeat, in both directions: each side says who it is, what it
// has received, and only what the other has not yet acknowledged.
type Beat struct {
	From string
	// Epoch is the sender's; a new one makes the receiver forget what it had.
	Epoch uint64
	// Sequence orders the sender's heartbeats: one that was overtaken is old.
	Sequence uint64
	// Revision is the sender's agent's configuration; InForce the lower of its
	// agent's and its gateway's.
	Revision, InForce config.Revision
	// ViewSum is a hash of the instances that the sender knows. Peers lists them
	// when the two sides' sums differ.
	ViewSum uint64
	Peers   []member.Peer
	// UpTo numbers the last change that Facts brings the receiver to.
	UpTo  uint64
	Facts Facts
	// HaveEpoch and Have say which of the receiver's changes the sender has.
	HaveEpoch, Have uint64
}

// Facts are what the sender itself vouches for.
type Facts struct {
	Identity *member.Identity
	// Load has no counts by upstream's name; they are in Counts, by the numbers that
	// Names gives, in this heartbeat or in an earlier one of the same epoch.
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

// LoadCount is what a gateway has at one upstream.
type LoadCount struct {
	// Number is the sender's for the upstream's name.
	Number int
	// InFlight is as in board.GatewayLoad.
	InFlight int
}

// NameFact gives an upstream's name a number, for the sender's epoch.
type NameFact struct {
	Number int
	Name   string
}

// PlatformFact is how the platform's key-value service answers a watcher.
type PlatformFact struct {
	// Watching is whether the sender calls the service at all.
	Watching, KeyValue bool
}

// ListFact is what the platform's lagging list says of the domain.
type ListFact struct{ Lines []platform.ListedInstance }

// PrefixFact is what an engine has cached, by the engine's owner.
type PrefixFact struct {
	Upstream string
	// Prefixes are hashes, as in board.UpstreamLoad.
	Prefixes []uint64
}

// UpstreamFact is a report by the upstream's owner.
type UpstreamFact struct {
	// Load has no ReportedAt: Age replaces it, as clocks differ. Nor has it
	// Prefixes, which come as a PrefixFact.
	Load board.UpstreamLoad
	Age  time.Duration
}

// MarkFact sets or takes back the sender's leaving mark on an upstream.
type MarkFact struct {
	Upstream string
	Leaving  bool
}

// DigestFact is a remote domain's digest by the owner of its fetch.
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

// Goodbye says that an instance leaves for good.
type Goodbye struct {
	From  string
	Epoch uint64
}

// HeadUpdate brings a configuration to somebody whose revision is lower.
type HeadUpdate struct {
	// To is the revision that the receiver holds after it: whoever has that already
	// need not read the rest.
	To config.Revision
	// Delta holds the changes alone, when the receiver is known to be able to
	// follow them; else Whole is the encoded head (config.EncodeHead).
	Delta *config.Delta
	Whole []byte
}

// OfferReply answers a HeadUpdate.
type OfferReply struct {
	// Revision is what the receiver has after it.
	Revision config.Revision
}

// WantArgs asks for a configuration above Revision. Whole asks for the whole
// head: the changes alone did not lead there.
type WantArgs struct {
	Revision config.Revision
	Whole    bool
}

// WantReply is empty when the asked has nothing newer.
type WantReply struct {
	Revision config.Revision
	Update   *HeadUpdate
}

// DigestArgs asks another failure domain for its digest.
type DigestArgs struct {
	// Domain is who asks.
	Domain string
	// Revision is the asker's configuration: a newer one comes with the reply,
	// whole when Whole is set.
	Revision config.Revision
	Whole    bool
	// EntriesSum is the hash of the entries that the asker has.
	EntriesSum uint64
	// Seen is the hash of what the asker saw last; the reply is held back until
	// that has changed, or for Wait.
	Seen uint64
	Wait time.Duration
}

// DigestReply is a domain's digest.
type DigestReply struct {
	// Digest has Entries only when EntriesSum differs from the asked one.
	Digest     board.DomainDigest
	EntriesSum uint64
	// Seen is for the next DigestArgs.
	Seen uint64
	// Revision is the newest configuration there; Update brings it when the
	// asker's is lower.
	Revision config.Revision
	Update   *HeadUpdate
}

// AskArgs passes an operator's question on to the instance that can answer.
type AskArgs struct{ Operator, Line string }

// AskReply is the answer.
type AskReply struct {
	Verdict string
	Text    string
}
