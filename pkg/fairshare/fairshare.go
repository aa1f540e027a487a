// Package fairshare divides capacity between the organisations of a deployment by weighted max-min
// fairness, while there is too little of it.
//
// It only decides: an instance records what it admitted and what it refused for lack of capacity, and
// asks under contention whether a request's organisation is above its fair share. All state is in
// memory, and an instance without state finds every organisation below its share.
package fairshare

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Parameters of the shares.
const (
	// shortTerm and longTerm are the time constants of the recorded sums. An organisation is above its
	// share only by both. By the short one alone a few requests that happen to arrive together at one
	// instance would count as too many, by the long one alone an organisation would be refused for
	// seconds for having used capacity that nobody else asked for.
	shortTerm = 2 * time.Second
	longTerm  = 12 * time.Second
	// memory is the time after which an organisation that asked for nothing is forgotten.
	memory = 2 * longTerm
	// margin is the excess over its share from which an organisation is above it. It keeps the remains
	// of a request that was refused long ago from holding back an organisation that uses what the
	// others leave.
	margin = 0.1
	// levelInterval is the interval at which the level of a class is computed again; it bounds the
	// work for decisions, and is short against shortTerm.
	levelInterval = 50 * time.Millisecond
	// maxMembers bounds the organisations of all classes together, at about 150 bytes each.
	maxMembers = 8192
)

// Class identifies the requests that compete: those of one service with the same priority. More urgent
// requests have precedence and are in another class.
type Class struct {
	Service  string
	Priority int
}

// Request is a request as far as shares depend on it.
type Request struct {
	Class        Class
	Organisation string
	// Weight is that of the organisation; 1 if it is not positive.
	Weight float64
	// Cost is what it takes of the service's capacity, in any unit that is the same in the class.
	Cost float64
	// Contended is true while its service has no capacity in time for all requests.
	Contended bool
}

// Standing is the recent use of an organisation and its fair share of what was admitted in its class,
// as decayed sums of costs.
type Standing struct{ Used, Share float64 }

// Shares holds what the organisations of each class recently asked for and were given here. It is safe
// for concurrent use.
type Shares struct {
	mu      sync.Mutex
	classes map[Class]*class
	members int
	max     int
}

// terms are the time constants, and sums holds a value for each of them.
var terms = [...]time.Duration{shortTerm, longTerm}

type sums [len(terms)]float64

// class holds the organisations of a class, in the order of their first requests: sums in a random order
// would differ by rounding. levels are the fair shares for each unit of weight.
type class struct {
	byName   map[string]*member
	members  []*member
	levels   sums
	levelsAt time.Time
}

// member holds the decayed sums of one organisation. at is the time to which they are decayed, and full
// is true if it gets all that it asked for.
type member struct {
	name          string
	weight        float64
	asked, used   sums
	at, lastAsked time.Time
	full          bool
}

// New returns Shares without records.
func New() *Shares { return &Shares{classes: make(map[Class]*class), max: maxMembers} }

// Record records that a request was admitted, or refused for lack of capacity.
func (s *Shares) Record(r *Request, admitted bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.member(r, now)
	if m == nil {
		return
	}
	m.decay(now)
	for term := range terms {
		m.asked[term] += r.Cost
		if admitted {
			m.used[term] += r.Cost
		}
	}
	m.lastAsked = now
	if r.Weight > 0 {
		m.weight = r.Weight
	}
}

// Admit reports whether a request may use or wait for capacity: always without contention, otherwise
// unless its organisation is above its fair share.
func (s *Shares) Admit(r *Request, now time.Time) (Standing, bool) {
	if !r.Contended {
		return Standing{}, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.classes[r.Class]
	if c == nil || c.byName[r.Organisation] == nil {
		return Standing{}, true
	}
	if now.Sub(c.levelsAt) >= levelInterval {
		s.forgetIdle(c, now)
		c.setLevels(now)
	}
	m := c.byName[r.Organisation]
	if m == nil {
		return Standing{}, true
	}
	m.decay(now)
	for term := range terms {
		standing := Standing{Used: m.used[term], Share: m.weight * c.levels[term]}
		if standing.Used <= (1+margin)*standing.Share {
			return standing, true
		}
	}
	return Standing{Used: m.used[0], Share: m.weight * c.levels[0]}, false
}

// member returns the record of a request's organisation; nil if there are too many.
func (s *Shares) member(r *Request, now time.Time) *member {
	c := s.classes[r.Class]
	if c != nil && c.byName[r.Organisation] != nil {
		return c.byName[r.Organisation]
	}
	if s.members >= s.max {
		for _, other := range s.classes {
			s.forgetIdle(other, now)
		}
		for key, other := range s.classes {
			if len(other.members) == 0 {
				delete(s.classes, key)
			}
		}
		if s.members >= s.max {
			return nil
		}
		c = s.classes[r.Class]
	}
	if c == nil {
		c = &class{byName: make(map[string]*member)}
		s.classes[r.Class] = c
	}
	m := &member{name: r.Organisation, weight: 1, at: now}
	c.byName[m.name] = m
	c.members = append(c.members, m)
	s.members++
	return m
}

// forgetIdle drops the organisations of a class that have asked for nothing lately.
func (s *Shares) forgetIdle(c *class, now time.Time) {
	c.members = slices.DeleteFunc(c.members, func(m *member) bool {
		idle := now.Sub(m.lastAsked) > memory
		if idle {
			delete(c.byName, m.name)
			s.members--
		}
		return idle
	})
}

func (m *member) decay(now time.Time) {
	if passed := now.Sub(m.at); passed > 0 {
		for term, constant := range terms {
			kept := math.Exp(-passed.Seconds() / constant.Seconds())
			m.asked[term] *= kept
			m.used[term] *= kept
		}
		m.at = now
	}
}

// setLevels computes the max-min levels: what was admitted is given to the organisations in proportion to
// their weights, none gets more than it asked for, and what these leave goes to the others.
func (c *class) setLevels(now time.Time) {
	c.levelsAt = now
	for _, m := range c.members {
		m.decay(now)
	}
	for term := range terms {
		c.levels[term] = c.level(term)
	}
}

// level returns the max-min level of one term, infinite if all get what they asked for.
func (c *class) level(term int) float64 {
	left, weights := 0.0, 0.0
	for _, m := range c.members {
		m.full = false
		left += m.used[term]
		weights += m.weight
	}
	for rest := len(c.members); rest > 0; {
		level, before := max(0, left/weights), rest
		for _, m := range c.members {
			if !m.full && m.asked[term] <= m.weight*level {
				m.full = true
				rest--
				left -= m.asked[term]
				weights -= m.weight
			}
		}
		if rest == before {
			return level
		}
	}
	return math.Inf(1)
}
