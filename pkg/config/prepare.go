package config

import (
	"errors"
	"slices"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

// prepared is the next head, with the write that stores it.
type prepared struct {
	head   *Head
	change Change
	// dangers are the dangerous effects that the operator forced.
	dangers []Danger
	expect  map[string]int64
	puts    []platform.Put
}

// prepare decides whether the proposal can be accepted on the current head and
// builds the write. The error is the reason for a refusal.
func (s *Store) prepare(stored Stored, proposal *Proposal) (*prepared, error) {
	if stored.newer != nil {
		return nil, stored.newer
	}
	effect, err := evaluate(stored.Head, proposal)
	if err != nil {
		return nil, err
	}
	change := Change{
		ID:       proposal.ID,
		Revision: stored.Head.Revision + 1,
		Seen:     proposal.Seen,
		Operator: proposal.Operator,
		At:       s.clock.Now().UTC(),
		Line:     proposal.Line,
		Ops:      effect.ops,
		Inverse:  effect.inverse,
	}
	next := &Head{
		Revision:    change.Revision,
		Declaration: effect.after,
		Recent:      append(slices.Clone(stored.Head.Recent), change),
		Archived:    stored.Head.Archived,
		Voided:      stored.Head.Voided,
	}
	ready := &prepared{
		head:    next,
		change:  change,
		dangers: effect.dangers,
		expect:  map[string]int64{HeadKey: stored.ModRevision},
	}
	if err := ready.encode(); err != nil {
		return nil, err
	}
	return ready, nil
}

// recentKept is the number of changes that stay in the head when older ones are
// archived.
const recentKept = RecentLimit / 2

// encode builds the write. It archives the older changes when the head holds too
// many, and all except the last when the head would otherwise be too large.
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

// archive moves all except the newest changes into a segment of the audit trail,
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
