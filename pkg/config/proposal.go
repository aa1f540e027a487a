package config

import "fmt"

// Proposal is a change that an operator asks for.
type Proposal struct {
	// ID is the change's identity, made by NewID. The same ID is accepted at most
	// once, whichever instances propose it.
	ID string
	// Operator is the operator's name, Line the line that was typed.
	Operator, Line string
	// Seen is the revision that the operator saw. The change is refused when a
	// change accepted after Seen touches the same entries.
	Seen Revision
	// Since, when it is not zero, replaces Seen in that comparison, because an undo
	// must not overwrite changes accepted after the one that it undoes.
	Since Revision
	// Build returns the operations on the given declaration. It may be called
	// several times, and must depend on nothing else. Its error refuses the change;
	// the operations returned with it serve to find conflicts.
	Build func(*Declaration) ([]Op, error)
	// Force accepts a dangerous change (see Dangers).
	Force bool
	// Repeated is true when the ID may have been proposed before, on any instance.
	// The decision on that proposal stays unknown while the platform does not
	// answer.
	Repeated bool
}

// Fixed returns a Build function that always returns the given operations.
func Fixed(ops []Op) func(*Declaration) ([]Op, error) {
	return func(*Declaration) ([]Op, error) { return ops, nil }
}

// State is the state of a proposal.
type State string

// The states of a proposal.
const (
	// Accepted means that the change has a revision, permanently.
	Accepted State = "accepted"
	// Refused means that nothing was changed and no write is in flight.
	Refused State = "refused"
	// Unknown means that the platform's service did not answer; use Lookup later.
	Unknown State = "unknown"
)

// Decision is the answer to a proposal.
type Decision struct {
	State State
	// ID is the ID of the proposal.
	ID string
	// Revision is the revision of an accepted change.
	Revision Revision
	// Head is the head right after the change; nil when the decision was found in
	// the history, or the change was not accepted.
	Head *Head
	// Change is the accepted change.
	Change *Change
	// Dangers are the dangerous effects that the operator forced. It is empty when
	// the decision was found in the history.
	Dangers []Danger
	// Reason is the reason why the change was refused or is unknown.
	Reason error
}

// ConflictError refuses a change that conflicts with another one.
type ConflictError struct {
	// Obstacle is the accepted change that touches the same entries.
	Obstacle Change
	// Err is the error of the change on the new declaration, or nil when the change
	// would only have overwritten the effect of Obstacle.
	Err error
}

// Error implements error.
func (e *ConflictError) Error() string {
	text := fmt.Sprintf("%d by %s stands in the way: %s", e.Obstacle.Revision, e.Obstacle.Operator, e.Obstacle.Line)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *ConflictError) Unwrap() error { return e.Err }

// StaleError refuses a change because the changes after the revision that the
// operator saw are no longer known.
type StaleError struct {
	Seen, Now Revision
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%d is too old to compare, now %d", e.Seen, e.Now)
}

// NothingToDoError refuses a change that would change nothing.
type NothingToDoError struct {
	// Detail describes the state that already holds.
	Detail string
}

// Error implements error.
func (e *NothingToDoError) Error() string { return "nothing to do: " + e.Detail }

// VoidedError refuses a change that was marked as not accepted before.
type VoidedError struct {
	ID string
}

// Error implements error.
func (e *VoidedError) Error() string { return e.ID + " was not accepted" }

// UnreachableError reports that the platform's key-value service did not answer.
type UnreachableError struct {
	// Sent is true when a write was sent, so that the change may be accepted.
	Sent bool
	Err  error
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("no answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }
