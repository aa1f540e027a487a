package config

import "fmt"

// Proposal is a change that an operator asks for.
type Proposal struct {
	// ID is the change's identity, made by NewID. The same ID is accepted once at
	// most, whichever instances it is proposed through.
	ID string
	// Operator is who asks, Line what was typed.
	Operator, Line string
	// Seen is the revision that the operator saw. The change is refused when one
	// accepted after Seen touches the same entries.
	Seen Revision
	// Since, when it is not zero, takes the place of Seen in that comparison: an
	// undo must not trample on anything accepted since the change that it undoes.
	Since Revision
	// Build returns the operations on the declaration as it stands. It may be
	// called several times, and must depend on nothing else. Its error refuses
	// the change; operations that come with it name what the change is about.
	Build func(*Declaration) ([]Op, error)
	// Force accepts a dangerous change; see Dangers.
	Force bool
	// Repeated says that the ID may have been proposed before, here or elsewhere:
	// silence of the platform then leaves open what became of that.
	Repeated bool
}

// Fixed returns a Build function for operations that are known beforehand.
func Fixed(ops []Op) func(*Declaration) ([]Op, error) {
	return func(*Declaration) ([]Op, error) { return ops, nil }
}

// State says what became of a proposal.
type State string

// The states of a proposal.
const (
	// Accepted: the change has a revision, for ever.
	Accepted State = "accepted"
	// Refused: nothing was changed, and nothing of the proposal is on its way.
	Refused State = "refused"
	// Unknown: the platform's service gave no answer; ask Lookup later.
	Unknown State = "unknown"
)

// Decision is the answer to a proposal.
type Decision struct {
	State State
	// ID is the proposal's.
	ID string
	// Revision is the revision that the change made, when accepted.
	Revision Revision
	// Head is the accepted head right after the change; nil when the decision was
	// found in the history, or not accepted.
	Head *Head
	// Change is the accepted change.
	Change *Change
	// Dangers is what the change takes away wholly, as its operator insisted;
	// empty when the decision was found in the history.
	Dangers []Danger
	// Reason says why the change was refused or is unknown.
	Reason error
}

// ConflictError refuses a change because another one stood in the way.
type ConflictError struct {
	// Obstacle is the accepted change that touches the same entries.
	Obstacle Change
	// Err is what the change would have failed with on the new declaration; nil
	// when it only would have overwritten the obstacle's effect.
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

// StaleError refuses a change whose operator saw a revision that is too old to
// tell what was changed since.
type StaleError struct {
	Seen, Now Revision
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("%d is too old to compare, now %d", e.Seen, e.Now)
}

// NothingToDoError refuses a change that would change nothing.
type NothingToDoError struct {
	// Detail says what already holds.
	Detail string
}

// Error implements error.
func (e *NothingToDoError) Error() string { return "nothing to do: " + e.Detail }

// VoidedError refuses a change that was declared not accepted before.
type VoidedError struct {
	ID string
}

// Error implements error.
func (e *VoidedError) Error() string { return e.ID + " was not accepted" }

// UnreachableError says that the platform's key-value service gave no answer.
type UnreachableError struct {
	// Sent is true when a write was sent, so that the change may be accepted.
	Sent bool
	Err  error
}

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("no answer: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }
