package config

import (
	"fmt"
	"slices"
)

// Delta holds the changes between one head and a later one, so that links do not
// carry a whole declaration for each change.
type Delta struct {
	// From is the revision that the receiver must hold.
	From Revision
	// Changes are the accepted changes after From, oldest first.
	Changes []Change
	// Archived and Voided are those of the later head.
	Archived Revision
	Voided   []VoidedChange
	// Sum is the checksum of the declaration that must result.
	Sum string
}

// DeltaError reports a delta that does not lead to the head from which it was
// made. The receiver requests the whole head instead.
type DeltaError struct {
	// Have is the receiver's revision, From the delta's.
	Have, From Revision
	Problem    string
}

// Error implements error.
func (e *DeltaError) Error() string {
	return fmt.Sprintf("delta from %d on %d: %s", e.From, e.Have, e.Problem)
}

// Since returns the accepted changes after a revision, oldest first, or false
// when the head no longer holds all of them.
func (h *Head) Since(revision Revision) ([]Change, bool) {
	if revision > h.Revision {
		return nil, false
	}
	count := int(h.Revision - revision)
	if count > len(h.Recent) {
		return nil, false
	}
	return slices.Clone(h.Recent[len(h.Recent)-count:]), true
}

// Delta returns the delta from the given revision to the head, or false when the
// receiver needs the whole head.
func (h *Head) Delta(from Revision) (*Delta, bool) {
	changes, ok := h.Since(from)
	if !ok || from == 0 {
		return nil, false
	}
	sum, err := Sum(h.Declaration)
	if err != nil {
		return nil, false
	}
	return &Delta{
		From:     from,
		Changes:  changes,
		Archived: h.Archived,
		Voided:   h.Voided,
		Sum:      sum,
	}, true
}

// Advance returns the head after a delta, without modifying this one. The error
// is a *DeltaError, after which the whole head must be fetched.
func (h *Head) Advance(delta *Delta) (*Head, error) {
	if delta.From != h.Revision {
		return nil, &DeltaError{Have: h.Revision, From: delta.From, Problem: "other revision"}
	}
	next := &Head{Revision: h.Revision, Declaration: h.Declaration, Archived: delta.Archived, Voided: delta.Voided}
	for _, change := range delta.Changes {
		after, _, err := Apply(next.Declaration, change.Ops)
		if err != nil || change.Revision != next.Revision+1 {
			return nil, &DeltaError{Have: h.Revision, From: delta.From, Problem: "changes do not follow"}
		}
		next.Declaration = after
		next.Revision = change.Revision
	}
	sum, err := Sum(next.Declaration)
	if err != nil || sum != delta.Sum {
		return nil, &DeltaError{Have: h.Revision, From: delta.From, Problem: "other declaration results"}
	}
	next.Recent = slices.Concat(h.Recent, delta.Changes)
	next.Recent = slices.DeleteFunc(next.Recent, func(c Change) bool { return c.Revision <= next.Archived })
	return next, nil
}

// At returns the declaration at an earlier revision by undoing the later changes,
// or false when the head no longer holds all of them.
func (h *Head) At(revision Revision) (*Declaration, bool) {
	changes, ok := h.Since(revision)
	if !ok {
		return nil, false
	}
	decl := h.Declaration
	for _, change := range slices.Backward(changes) {
		before, _, err := Apply(decl, change.Inverse)
		if err != nil {
			return nil, false
		}
		decl = before
	}
	return decl, true
}

// change returns the recent change with the ID, or nil.
func (h *Head) change(id string) *Change {
	for i := range h.Recent {
		if h.Recent[i].ID == id {
			return &h.Recent[i]
		}
	}
	return nil
}

// isVoided reports whether the ID was marked as not accepted.
func (h *Head) isVoided(id string) bool {
	return slices.ContainsFunc(h.Voided, func(v VoidedChange) bool { return v.ID == id })
}
