package config

import "time"

// Revision numbers the accepted configurations, counting from 1; 0 means that
// none is known.
type Revision uint64

// Head is the accepted configuration, the value of the one key that all changes
// compare-and-swap.
type Head struct {
	// Revision is the number of the last accepted change.
	Revision Revision `json:"revision"`
	// Declaration is the state after that change. It is immutable once accepted.
	Declaration *Declaration `json:"declaration"`
	// Recent holds the last accepted changes, oldest first, RecentLimit at most.
	Recent []Change `json:"recent"`
	// Archived is the revision up to which the audit trail is in segment keys.
	Archived Revision `json:"archived"`
	// Voided holds the IDs of changes that were asked about and declared not
	// accepted, oldest first, VoidedLimit at most: they never can be any more.
	Voided []VoidedChange `json:"voided,omitempty"`
}

// VoidedChange records that a change was declared not accepted.
type VoidedChange struct {
	// ID is the change's identity.
	ID string `json:"id"`
	// At is when, by the declaring instance's clock.
	At time.Time `json:"at"`
}

// VoidedLimit is how many voided IDs a head keeps. A proposer gives up within
// seconds, so the oldest is of no use long before it is dropped.
const VoidedLimit = 64

// RecentLimit is how many changes a head keeps for duplicate detection, for
// undo, and until they are archived.
const RecentLimit = 64

// Change is one accepted change: what an operator asked for, and what it did.
type Change struct {
	// ID is the random identity that survives lost answers.
	ID string `json:"id"`
	// Revision is the revision that the change made.
	Revision Revision `json:"revision"`
	// Seen is the revision that the operator saw when asking.
	Seen Revision `json:"seen"`
	// Operator is who asked.
	Operator string `json:"operator"`
	// At is when it was accepted, by the accepting instance's clock.
	At time.Time `json:"at"`
	// Line is what the operator typed, with shortened names written out, or
	// "apply FILE".
	Line string `json:"line"`
	// Ops is what the change does to the declaration.
	Ops []Op `json:"ops"`
	// Inverse undoes Ops.
	Inverse []Op `json:"inverse"`
}

// Op is one typed step of a change. Exactly one field is set.
type Op struct {
	SetRegion    *Region       `json:"set_region,omitempty"`
	SetModel     *Model        `json:"set_model,omitempty"`
	SetService   *Service      `json:"set_service,omitempty"`
	SetUpstream  *Upstream     `json:"set_upstream,omitempty"`
	SetCaller    *Caller       `json:"set_caller,omitempty"`
	SetOperator  *Operator     `json:"set_operator,omitempty"`
	SetSpill     *Spill        `json:"set_spill,omitempty"`
	SetPolicy    *Policy       `json:"set_policy,omitempty"`
	Remove       *Remove       `json:"remove,omitempty"`
	Drain        *DrainOp      `json:"drain,omitempty"`
	Permit       *PermitOp     `json:"permit,omitempty"`
	SplitVersion *SplitVersion `json:"split_version,omitempty"`
}

// Remove deletes one entry of the declaration.
type Remove struct {
	// Kind is one of region, model, service, upstream, caller, operator, spill.
	Kind string `json:"kind"`
	// Name is the entry's name; a spill rule is named "FROM>TO".
	Name string `json:"name"`
}

// DrainOp takes an upstream out of service or puts it back.
type DrainOp struct {
	Upstream string `json:"upstream"`
	Drained  bool   `json:"drained"`
}

// PermitOp gives a caller a region or takes it away.
type PermitOp struct {
	Caller  string `json:"caller"`
	Region  string `json:"region"`
	Allowed bool   `json:"allowed"`
}

// SplitVersion sets one version's share of a model's requests; the others keep
// their proportions in what is left.
type SplitVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Percent int    `json:"percent"`
}
