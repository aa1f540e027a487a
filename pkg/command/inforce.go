package command

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// InForceBound is the longest time that a change's reply waits for every instance.
const InForceBound = 3 * time.Second

// rollout counts the instances that reported a revision as in force.
type rollout struct {
	revision    config.Revision
	have, total int
	// notes list what is missing, one a line.
	notes []string
}

// complete reports whether every instance reported the revision.
func (s *rollout) complete() bool { return s.have == s.total && len(s.notes) == 0 }

// line returns the first line of a reply, like "118 in force 5/7".
func (s *rollout) line() string {
	return fmt.Sprintf("%d in force %d/%d", s.revision, s.have, s.total)
}

// rollout counts the instances with the revision or a newer one.
func (e *Executor) rollout(revision config.Revision) *rollout {
	s := &rollout{revision: revision}
	now := e.Clock.Now()
	s.countOwn(e.Board.Members.Load(), now)
	reported := s.countRemote(e.Board.Domains.Load(), now)
	head := e.Board.Config.Load()
	for _, domain := range slices.Sorted(maps.Keys(domains(head.Declaration))) {
		if domain != e.Self.Domain && !reported[domain] {
			s.total++ // it has at least one instance
			s.notes = append(s.notes, domain+" not heard yet")
		}
	}
	return s
}

// maxNotes is the largest number of notes in a reply.
const maxNotes = 6

// lines returns the count and the notes.
func (s *rollout) lines() []string {
	lines := append([]string{s.line()}, s.notes...)
	if len(s.notes) <= maxNotes {
		return lines
	}
	over := len(s.notes) - maxNotes + 1
	return append(lines[:maxNotes], fmt.Sprintf("and %d more", over))
}

func (s *rollout) countOwn(members *board.Members, now time.Time) {
	if members == nil {
		return
	}
	for _, instance := range members.Instances {
		if instance.State == board.InstanceLeft {
			continue
		}
		s.total++
		if instance.Revision >= s.revision {
			s.have++
		}
		if instance.State == board.InstanceSilent {
			s.notes = append(s.notes, instance.Name+" silent "+age(now.Sub(instance.LastHeard)))
		} else if instance.Revision < s.revision {
			s.notes = append(s.notes, fmt.Sprintf("%s has %d", instance.Name, instance.Revision))
		}
	}
}

// countRemote adds the other domains' digests and returns the domains with one.
func (s *rollout) countRemote(remote *board.Domains, now time.Time) map[string]bool {
	reported := map[string]bool{}
	if remote == nil {
		return reported
	}
	for _, digest := range remote.Remote {
		reported[digest.Domain] = true
		have := 0
		for _, count := range digest.Revisions {
			if count.Revision >= s.revision {
				have += count.Nodes
			}
		}
		s.total += digest.Nodes
		s.have += have
		silence := now.Sub(digest.HeardAt)
		switch {
		case silence > board.DomainSilentAfter:
			s.notes = append(s.notes, digest.Domain+" silent "+age(silence))
		case have < digest.Nodes:
			s.notes = append(s.notes, fmt.Sprintf("%s %d/%d", digest.Domain, have, digest.Nodes))
		}
	}
	return reported
}

// waitInForce waits until the revision is in force on every instance, at most for
// InForceBound, and returns the last count.
func (e *Executor) waitInForce(ctx context.Context, revision config.Revision) *rollout {
	ctx, cancel := context.WithTimeout(ctx, InForceBound)
	defer cancel()
	for {
		members := e.Board.Members.Changed()
		remote := e.Board.Domains.Changed()
		own := e.Board.Config.Changed()
		s := e.rollout(revision)
		if s.complete() {
			return s
		}
		select {
		case <-members:
		case <-remote:
		case <-own:
		case <-ctx.Done():
			return e.rollout(revision)
		}
	}
}
