package claim

import (
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// query is one call of a search and its result.
type query struct {
	decider Decider
	// sent is the time from the start of the search to the call, took the call's duration.
	sent, took time.Duration
	// successor is what the instance named if it does not decide the key.
	successor *Decider
	err       error
}

// maxTrail bounds the calls that are kept for a log line; later ones are left out.
const maxTrail = 32

// trail holds the calls of one search, in the order in which they ended.
type trail struct {
	began   time.Time
	queries []query
}

func (t *trail) add(q query, sent, ended time.Time) {
	if len(t.queries) >= maxTrail {
		return
	}
	q.sent, q.took = sent.Sub(t.began), ended.Sub(sent)
	t.queries = append(t.queries, q)
}

// String returns the query as NAME.INCARNATION@SENT+TOOK:RESULT.
func (q query) String() string {
	result := "not-mine"
	switch {
	case q.err != nil:
		result = q.err.Error()
	case q.successor != nil:
		result += ",successor=" + originOf(q.successor.Origin)
	}
	return fmt.Sprintf("%s@%s+%s:%s", originOf(q.decider.Origin), q.sent, q.took, result)
}

// originOf returns an origin without its domain.
func originOf(origin Origin) string { return fmt.Sprintf("%s.%x", origin.Instance, origin.Incarnation) }

// logLost logs a claim that found no decider: who was asked, with which result, and which
// instances of the key's domain were known.
func (s *search) logLost() {
	c := s.coordinator
	c.options.Log.Warn().
		Str("origin", s.key.Origin.String()).
		Str("attempt", s.claim.Attempt).
		Str("holder", originOf(s.claim.Holder)).
		Bool("unanswered", s.unanswered).
		Dur("waited", c.options.Clock.Now().Sub(s.trail.began)).
		Array("asked", s.trail).
		Strs("known", c.describeInstances(s.key.Domain)).
		Msg("key-owner-lost")
}

// MarshalZerologArray implements zerolog.LogArrayMarshaler.
func (t trail) MarshalZerologArray(array *zerolog.Array) {
	for _, q := range t.queries {
		array.Str(q.String())
	}
}

// describeInstances returns the known instances of a domain, each as
// NAME.INCARNATION:STATE,heard=AGE[,successor=NAME].
func (c *Coordinator) describeInstances(domain string) []string {
	now := c.options.Clock.Now()
	var texts []string
	for _, instance := range c.knownInstances(domain) {
		texts = append(texts, describeInstance(&instance, now))
	}
	return texts
}

func describeInstance(instance *board.Instance, now time.Time) string {
	var text strings.Builder
	fmt.Fprintf(&text, "%s:%s", originOf(deciderOf(instance).Origin), instance.State)
	if !instance.LastHeard.IsZero() {
		fmt.Fprintf(&text, ",heard=%s", now.Sub(instance.LastHeard).Round(time.Millisecond))
	}
	if instance.Load.Successor != "" {
		fmt.Fprintf(&text, ",successor=%s", instance.Load.Successor)
	}
	return text.String()
}
