package config

import "slices"

// effect is what a proposal does to one declaration.
type effect struct {
	ops, inverse []Op
	after        *Declaration
	dangers      []Danger
}

// evaluate decides whether the proposal can be accepted on the head. Errors:
// *ConflictError when a change that the operator had not seen stands in the way,
// *StaleError when that cannot be told, else those of evaluateOn.
func evaluate(head *Head, proposal *Proposal) (*effect, error) {
	unseen, err := unseenChanges(head, proposal)
	if err != nil {
		return nil, err
	}
	result, err := evaluateOn(head.Declaration, proposal)
	for _, change := range slices.Backward(unseen) {
		if collide(change.Ops, result.ops) {
			return nil, &ConflictError{Obstacle: change, Err: err}
		}
	}
	if err != nil {
		return nil, attributeConflict(head, proposal, unseen, err)
	}
	return result, nil
}

// evaluateOn returns what the proposal does to a declaration; with an error, what it
// would have done as far as that is known. Errors: *DangerError, *InvalidError,
// and those of Build and Apply.
func evaluateOn(decl *Declaration, proposal *Proposal) (*effect, error) {
	result := new(effect)
	var err error
	if result.ops, err = proposal.Build(decl); err != nil {
		return result, err
	}
	if result.after, result.inverse, err = Apply(decl, result.ops); err != nil {
		return result, err
	}
	if err := Validate(result.after); err != nil {
		return result, err
	}
	result.dangers = Dangers(decl, result.after)
	if len(result.dangers) > 0 && !proposal.Force {
		return result, &DangerError{Dangers: result.dangers}
	}
	return result, nil
}

// unseenChanges returns what was accepted since the operator looked, oldest
// first. The error is a *StaleError.
func unseenChanges(head *Head, proposal *Proposal) ([]Change, error) {
	if proposal.Seen == 0 && head.Revision > 0 {
		return nil, &StaleError{Seen: 0, Now: head.Revision}
	}
	since := proposal.Seen
	if proposal.Since != 0 {
		since = proposal.Since
	}
	if since >= head.Revision {
		return nil, nil
	}
	changes, ok := head.Since(since)
	if !ok {
		return nil, &StaleError{Seen: since, Now: head.Revision}
	}
	return changes, nil
}

// attributeConflict wraps the error in a *ConflictError when the proposal could have been
// accepted before one of the unseen changes: the first after which it fails.
func attributeConflict(head *Head, proposal *Proposal, unseen []Change, cause error) error {
	if len(unseen) == 0 {
		return cause
	}
	decl, ok := head.At(unseen[0].Revision - 1)
	if !ok {
		return cause
	}
	if _, err := evaluateOn(decl, proposal); err != nil {
		return cause
	}
	for _, change := range unseen {
		after, _, err := Apply(decl, change.Ops)
		if err != nil {
			return cause
		}
		decl = after
		if _, err := evaluateOn(decl, proposal); err != nil {
			return &ConflictError{Obstacle: change, Err: cause}
		}
	}
	return cause
}
