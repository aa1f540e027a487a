package config

import (
	"errors"
	"slices"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// prepared is the next head, ready to be written.
type prepared struct {
	head   *Head
	change Change
	// dangers is what the change takes away, as its operator insisted.
	dangers []Danger
	expect  map[string]int64
	puts    []platform.Put
}

// prepare decides whether the proposal can be accepted on the head as it stands
// and builds the write. The error is why it is refused.
func (s *Store) prepare(stored Stored, proposal *Proposal) (*prepared, error) {
	if stored.newer != nil {
		return nil, stored.newer
	}
	change, after, err := evaluate(stored.Head, proposal)
	if err != nil {
		return nil, err
	}
	change.At = s.clock.Now().UTC()
	next := &Head{
		Revision:    change.Revision,
		Declaration: after,
		Recent:      append(slices.Clone(stored.Head.Recent), change),
		Archived:    stored.Head.Archived,
		Voided:      stored.Head.Voided,
	}
	ready := &prepared{
		head:    next,
		change:  change,
		dangers: Dangers(stored.Head.Declaration, after),
		expect:  map[string]int64{HeadKey: stored.ModRevision},
	}
	if err := ready.encode(); err != nil {
		return nil, err
	}
	return ready, nil
}

// evaluate returns the change that the proposal makes of the head's declaration,
// and the declaration that results. Errors: *ConflictError, *StaleError,
// *DangerError, *InvalidError, and those of Build and Apply.
func evaluate(head *Head, proposal *Proposal) (Change, *Declaration, error) {
	if proposal.Seen == 0 && head.Revision > 0 {
		return Change{}, nil, &StaleError{Seen: 0, Now: head.Revision}
	}
	ops, err := proposal.Build(head.Declaration)
	if conflict := obstacle(head, proposal, ops, err); conflict != nil {
		return Change{}, nil, conflict
	}
	if err != nil {
		return Change{}, nil, err
	}
	after, inverse, err := Apply(head.Declaration, ops)
	if err != nil {
		return Change{}, nil, err
	}
	if err := Validate(after); err != nil {
		return Change{}, nil, err
	}
	dangers := Dangers(head.Declaration, after)
	if len(dangers) > 0 && !proposal.Force {
		return Change{}, nil, &DangerError{Dangers: dangers}
	}
	change := Change{
		ID:       proposal.ID,
		Revision: head.Revision + 1,
		Seen:     proposal.Seen,
		Operator: proposal.Operator,
		Line:     proposal.Line,
		Ops:      ops,
		Inverse:  inverse,
	}
	return change, after, nil
}

// obstacle returns a *ConflictError when a change that the operator had not seen
// touches what the operations touch, or a *StaleError when that cannot be told.
func obstacle(head *Head, proposal *Proposal, ops []Op, cause error) error {
	since := proposal.Seen
	if proposal.Since != 0 {
		since = proposal.Since
	}
	if since >= head.Revision {
		return nil
	}
	changes, ok := head.Since(since)
	if !ok {
		return &StaleError{Seen: since, Now: head.Revision}
	}
	for _, change := range slices.Backward(changes) {
		if collide(change.Ops, ops) {
			return &ConflictError{Obstacle: change, Err: cause}
		}
	}
	return nil
}

// recentKept is how many changes stay in the head when older ones are archived.
const recentKept = RecentLimit / 2

// encode builds the write. It archives the older changes when the head holds
// too many, and all but the last when the head would be too large.
func (p *prepared) encode() error {
	if len(p.head.Recent) > RecentLimit {
		if err := p.archive(recentKept); err != nil {
			return err
		}
	}
	encoded, err := EncodeHead(p.head)
	var size *SizeError
	if errors.As(err, &size) && len(p.head.Recent) > 1 && len(p.puts) == 0 {
		if err := p.archive(1); err != nil {
			return err
		}
		encoded, err = EncodeHead(p.head)
	}
	if err != nil {
		return err
	}
	p.puts = append(p.puts, platform.Put{Key: HeadKey, Value: encoded})
	return nil
}

// archive moves all but the newest changes into a segment of the audit trail,
// which is written together with the head.
func (p *prepared) archive(keep int) error {
	cut := len(p.head.Recent) - keep
	old := p.head.Recent[:cut]
	value, err := encode(old)
	if err != nil {
		return err
	}
	key := segmentKey(old[0].Revision)
	p.head.Recent = slices.Clone(p.head.Recent[cut:])
	p.head.Archived = old[cut-1].Revision
	p.expect[key] = 0
	p.puts = append(p.puts, platform.Put{Key: key, Value: value})
	return nil
}
