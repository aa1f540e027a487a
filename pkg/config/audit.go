package config

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/platform"
)

const (
	// auditDigits is the number of digits of the revision in a segment key.
	auditDigits = 12
	// auditBlock is the number of revisions per key prefix, which one Range reads.
	auditBlock = 100
	// auditBlocks is the largest number of blocks that one search reads.
	auditBlocks = 40
)

// HistoryError reports a search that reached its bound without an answer.
type HistoryError struct {
	// Back is the oldest revision that was searched.
	Back Revision
}

// Error implements error.
func (e *HistoryError) Error() string { return fmt.Sprintf("searched back to %d", e.Back) }

// AbsentError reports a revision that has not been accepted.
type AbsentError struct {
	Revision, Now Revision
}

// Error implements error.
func (e *AbsentError) Error() string { return fmt.Sprintf("no %d, now %d", e.Revision, e.Now) }

func segmentKey(from Revision) string {
	return fmt.Sprintf("%s%0*d", AuditPrefix, auditDigits, from)
}

// blockPrefix returns the key prefix of the segments that begin in a block.
func blockPrefix(block Revision) string {
	return segmentKey(block * auditBlock)[:len(AuditPrefix)+auditDigits-2]
}

// Log returns the last n accepted changes that keep selects, newest first. The
// error is the platform's, or a *HistoryError when the search reached its bound.
func (s *Store) Log(ctx context.Context, n int, keep func(*Change) bool) ([]Change, error) {
	stored, err := s.Read(ctx)
	if err != nil {
		return nil, err
	}
	var found []Change
	err = s.backward(ctx, stored.Head, 1, func(change *Change) bool {
		if keep(change) {
			found = append(found, *change)
		}
		return len(found) < n
	})
	return found, err
}

// Revision returns an accepted change by its number. The error is an
// *AbsentError or the platform's.
func (s *Store) Revision(ctx context.Context, revision Revision) (*Change, error) {
	stored, err := s.Read(ctx)
	if err != nil {
		return nil, err
	}
	return s.find(ctx, stored.Head, revision)
}

func (s *Store) find(ctx context.Context, head *Head, revision Revision) (*Change, error) {
	if recent, ok := head.Since(revision - 1); ok && revision > 0 && len(recent) > 0 {
		return &recent[0], nil
	}
	if revision > 0 && revision <= head.Archived {
		for back := range Revision(2) {
			block := revision / auditBlock
			if back > block {
				break
			}
			change, err := s.inBlock(ctx, block-back, revision)
			if change != nil || err != nil {
				return change, err
			}
		}
	}
	return nil, &AbsentError{Revision: revision, Now: head.Revision}
}

func (s *Store) inBlock(ctx context.Context, block, revision Revision) (*Change, error) {
	changes, err := s.block(ctx, block)
	if err != nil {
		return nil, err
	}
	for i := range changes {
		if changes[i].Revision == revision {
			return &changes[i], nil
		}
	}
	return nil, nil
}

// Lookup returns the decision on a change by its ID. An ID that is not found is
// marked as not accepted in the head, which makes every write of the change that
// is still in flight fail. The error is the platform's or a *HistoryError.
func (s *Store) Lookup(ctx context.Context, id string) (Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, ChangeBound)
	defer cancel()
	for round := 0; ; round++ {
		if round > 0 {
			if err := s.pause(ctx, firstPause); err != nil {
				return Decision{State: Unknown, ID: id}, fmt.Errorf("settle %s: %w", id, err)
			}
		}
		stored, err := s.Read(ctx)
		if err != nil {
			return Decision{State: Unknown, ID: id}, err
		}
		decision, done, err := s.history(ctx, stored.Head, id)
		if done || err != nil {
			return decision, err
		}
		err = s.void(ctx, stored, id)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return Decision{State: Unknown, ID: id}, err
		}
	}
}

// void rewrites the head with the ID marked as not accepted. The revision does
// not change.
func (s *Store) void(ctx context.Context, stored Stored, id string) error {
	if stored.newer != nil {
		return stored.newer
	}
	head := *stored.Head
	head.Voided = append(slices.Clone(head.Voided), VoidedChange{ID: id, At: s.clock.Now().UTC()})
	head.Voided = head.Voided[max(0, len(head.Voided)-VoidedLimit):]
	encoded, err := EncodeHead(&head)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	expect := map[string]int64{HeadKey: stored.ModRevision}
	if _, err := s.kv.Swap(ctx, expect, []platform.Put{{Key: HeadKey, Value: encoded}}); err != nil {
		return fmt.Errorf("settle %s: %w", id, err)
	}
	return nil
}

// history searches the voided, recent and archived changes for an ID; done is
// false when it is not found.
func (s *Store) history(ctx context.Context, head *Head, id string) (decision Decision, done bool, err error) {
	if head.isVoided(id) {
		return Decision{State: Refused, ID: id, Reason: &VoidedError{ID: id}}, true, nil
	}
	change := head.change(id)
	seen, _ := ParseID(id)
	if change == nil && seen < head.Archived {
		change, err = s.archived(ctx, head, id, seen)
	}
	if err != nil {
		return Decision{State: Unknown, ID: id}, false, err
	}
	if change == nil {
		return Decision{}, false, nil
	}
	return Decision{State: Accepted, ID: id, Revision: change.Revision, Change: change}, true, nil
}

func (s *Store) archived(ctx context.Context, head *Head, id string, seen Revision) (*Change, error) {
	var found *Change
	err := s.backward(ctx, head, seen+1, func(change *Change) bool {
		if change.ID == id {
			found = change
		}
		return found == nil
	})
	return found, err
}

// backward calls visit for accepted changes from the newest down to the given
// revision, until visit returns false.
func (s *Store) backward(ctx context.Context, head *Head, down Revision, visit func(*Change) bool) error {
	for i := range slices.Backward(head.Recent) {
		if head.Recent[i].Revision < down || !visit(&head.Recent[i]) {
			return nil
		}
	}
	if head.Archived < down {
		return nil
	}
	block := head.Archived / auditBlock
	for range auditBlocks {
		changes, err := s.block(ctx, block)
		if err != nil {
			return err
		}
		for i := range slices.Backward(changes) {
			if changes[i].Revision > head.Archived {
				continue
			}
			if changes[i].Revision < down || !visit(&changes[i]) {
				return nil
			}
		}
		if block == 0 || (len(changes) > 0 && changes[0].Revision <= down) {
			return nil
		}
		block--
	}
	return &HistoryError{Back: (block + 1) * auditBlock}
}

// block returns the changes of the segments that begin in a block, oldest first.
func (s *Store) block(ctx context.Context, block Revision) ([]Change, error) {
	ctx, cancel := context.WithTimeout(ctx, callBound)
	defer cancel()
	entries, _, err := s.kv.Range(ctx, blockPrefix(block), 0)
	if err != nil {
		return nil, fmt.Errorf("read audit trail: %w", err)
	}
	var changes []Change
	for _, entry := range entries {
		var segment []Change
		if err := decode(entry.Value, &segment, lenient); err != nil {
			return nil, err
		}
		changes = append(changes, segment...)
	}
	return changes, nil
}

// Mentions returns a filter for Log that selects changes with the word in their
// line, operator, ID or operations, in any case. An empty word selects all.
func Mentions(word string) func(*Change) bool {
	lowered := strings.ToLower(word)
	return func(change *Change) bool {
		texts := []string{change.Line, change.Operator, change.ID}
		for _, op := range change.Ops {
			texts = append(texts, op.String())
		}
		return strings.Contains(strings.ToLower(strings.Join(texts, "\n")), lowered)
	}
}
