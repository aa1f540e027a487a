package config

import "slices"

// effect is the effect of a proposal on one declaration.
type effect struct {
	ops, inverse []Op
	after        *Declaration
	dangers      []Danger
}

// evaluate decides whether the proposal can be accepted on the head. The error is
// a *ConflictError when a change that the operator had not seen conflicts with
// it, a *StaleError when that cannot be determined, or one of evaluateOn.
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

// evaluateOn returns the effect of the proposal on a declaration; with an error,
// the part that is known. The error is a *DangerError, an *InvalidError, or one
// of Build and Apply.
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

// unseenChanges returns the changes accepted after the revision that the operator
// saw, oldest first. The error is a *StaleError.
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

// attributeConflict wraps the error in a *ConflictError with the first unseen
// change after which the proposal fails, if it could have been accepted before.
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
