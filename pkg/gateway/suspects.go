package gateway

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// Timing of probes of other domains' gateways.
const (
	// probeTimeout bounds one probe: several round trips between regions.
	probeTimeout = time.Second
	// probeInterval is the pause between the probes of one gateway.
	probeInterval = 500 * time.Millisecond
)

// suspects holds the gateways of other domains that did not answer this gateway.
// They get no requests until a probe has succeeded: a digest can be fresh although
// the link to its domain is broken, when a third domain passes it on, and a request
// that may not be repeated must not serve as the probe.
type suspects struct {
	mu sync.Mutex
	// names maps target names to their suspicion.
	names map[string]suspicion
	// excluded is a copy of names for requests, which take no lock; nil if empty.
	excluded atomic.Pointer[map[string]suspicion]
	probe    func(ctx context.Context, address string) error
	// running is cancelled when the gateway stops.
	running context.Context
}

// suspicion is the state of a gateway that is being probed.
type suspicion int

const (
	// suspected means that another gateway of its domain became unresponsive. It gets
	// only requests that have been attempted before.
	suspected suspicion = iota + 1
	// unreachable means that it did not answer.
	unreachable
)

func newSuspects(running context.Context, probe func(context.Context, string) error) *suspects {
	return &suspects{names: make(map[string]suspicion), probe: probe, running: running}
}

// suspicionOf returns a gateway's suspicion; zero if there is none.
func (s *suspects) suspicionOf(target string) suspicion {
	excluded := s.excluded.Load()
	if excluded == nil {
		return 0
	}
	return (*excluded)[target]
}

// publish makes names visible to requests. Callers hold s.mu.
func (s *suspects) publish() {
	if len(s.names) == 0 {
		s.excluded.Store(nil)
		return
	}
	names := maps.Clone(s.names)
	s.excluded.Store(&names)
}

// failed marks a gateway that did not answer. If it became unresponsive, the other
// gateways of its domain become suspected: the link may be broken.
func (s *suspects) failed(target string, digest *board.DomainDigest, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, entry := range digest.Entries {
		name := targetName(digest.Domain, entry.Name)
		switch {
		case name == target:
			s.suspect(name, entry.Addresses.Peers, unreachable)
		case silent:
			s.suspect(name, entry.Addresses.Peers, suspected)
		}
	}
	s.publish()
}

// suspect raises a gateway's suspicion to at least level, and starts probing it if
// it was not suspected before. Callers hold s.mu.
func (s *suspects) suspect(name, address string, level suspicion) {
	before := s.names[name]
	s.names[name] = max(before, level)
	if before == 0 {
		go s.probeUntilReached(name, address)
	}
}

// probeUntilReached probes a gateway until it answers, and then clears its
// suspicion.
func (s *suspects) probeUntilReached(name, address string) {
	for !s.reached(address) {
		s.setUnreachable(name)
		select {
		case <-time.After(probeInterval):
		case <-s.running.Done():
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.names, name)
	s.publish()
}

func (s *suspects) setUnreachable(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.names[name] = unreachable
	s.publish()
}

func (s *suspects) reached(address string) bool {
	ctx, cancel := context.WithTimeout(s.running, probeTimeout)
	defer cancel()
	return s.probe(ctx, address) == nil
}

// entriesLeft returns the instances of a domain to which a request may still be
// sent.
func (s *suspects) entriesLeft(digest *board.DomainDigest, tried []string) []board.Instance {
	var left []board.Instance
	for _, entry := range digest.Entries {
		name := targetName(digest.Domain, entry.Name)
		level := s.suspicionOf(name)
		excluded := level == unreachable || (level == suspected && len(tried) == 0)
		if !excluded && !slices.Contains(tried, name) {
			left = append(left, entry)
		}
	}
	return left
}

// exhausted returns the tried targets, and the failure domains that are excluded:
// two of their instances have failed the request, or none is left.
func (s *suspects) exhausted(domains *board.Domains, tried []string) []string {
	if domains == nil || (len(tried) == 0 && s.excluded.Load() == nil) {
		return tried
	}
	excluded := tried
	for i := range domains.Remote {
		digest := &domains.Remote[i]
		failed := 0
		for _, entry := range digest.Entries {
			if slices.Contains(tried, targetName(digest.Domain, entry.Name)) {
				failed++
			}
		}
		if failed >= maxEntriesTried || len(s.entriesLeft(digest, tried)) == 0 {
			excluded = append(slices.Clip(excluded), digest.Domain)
		}
	}
	return excluded
}

// maxEntriesTried is the number of instances of one domain to which a request is
// sent.
const maxEntriesTried = 2
