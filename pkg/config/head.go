package config

import "time"

// Revision is the number of an accepted configuration, counted from 1; 0 means
// that none is known.
type Revision uint64

// Head is the accepted configuration, the value of the key on which all changes
// do a compare-and-swap.
type Head struct {
	// Revision is the number of the last accepted change.
	Revision Revision `json:"revision"`
	// Declaration is the state after that change. It is immutable once accepted.
	Declaration *Declaration `json:"declaration"`
	// Recent holds the last accepted changes, oldest first, at most RecentLimit.
	Recent []Change `json:"recent"`
	// Archived is the last revision in the segment keys of the audit trail.
	Archived Revision `json:"archived"`
	// Voided holds the IDs of changes that Lookup marked as not accepted, oldest
	// first, at most VoidedLimit. They can never be accepted afterwards.
	Voided []VoidedChange `json:"voided,omitempty"`
}

// VoidedChange records that a change was marked as not accepted.
type VoidedChange struct {
	// ID is the change's identity.
	ID string `json:"id"`
	// At is the time of the marking, by the marking instance's clock.
	At time.Time `json:"at"`
}

// VoidedLimit is the number of voided IDs that a head retains. A proposer aborts
// within seconds, so the oldest is obsolete long before it is dropped.
const VoidedLimit = 64

// RecentLimit is the number of changes that a head retains for duplicate
// detection and undo, until they are archived.
const RecentLimit = 64

// Change is one accepted change, with its request and effect.
type Change struct {
	// ID is random; the change is found by it after a lost answer.
	ID string `json:"id"`
	// Revision is the revision that the change made.
	Revision Revision `json:"revision"`
	// Seen is the revision that the operator saw when asking.
	Seen Revision `json:"seen"`
	// Operator is the operator who proposed the change.
	Operator string `json:"operator"`
	// At is the time of acceptance, by the accepting instance's clock.
	At time.Time `json:"at"`
	// Line is the operator's line with abbreviated names expanded, or "apply FILE".
	Line string `json:"line"`
	// Ops are the operations of the change on the declaration.
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

// DrainOp takes an upstream out of service or returns it to service.
type DrainOp struct {
	Upstream string `json:"upstream"`
	Drained  bool   `json:"drained"`
}

// PermitOp permits or forbids a region to a caller.
type PermitOp struct {
	Caller  string `json:"caller"`
	Region  string `json:"region"`
	Allowed bool   `json:"allowed"`
}

// SplitVersion sets one version's share of a model's requests. The others divide
// the rest in their present proportions.
type SplitVersion struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Percent int    `json:"percent"`
}
