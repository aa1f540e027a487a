package engine

import (
	"strconv"
	"sync"

	"github.com/lilacweir/lilacweir/pkg/standin/fault"
)

// Verbs of an engine's fault switches.
const (
	// verbOK takes every fault away.
	verbOK = "ok"
	// verbSlow multiplies all times.
	verbSlow = "slow"
	// verbFail answers the next N requests with 500.
	verbFail = "fail"
	// verbRefuse answers the next N requests with 503, not started.
	verbRefuse = "refuse"
	// verbDieAfter breaks each stream's connection after K chunks.
	verbDieAfter = "die-after"
	// verbStall stops each stream after K chunks without an end.
	verbStall = "stall"
	// verbCross answers with another request's ID and text.
	verbCross = "cross"
	// verbTruncate ends each answer half-way, as if it were whole, without the
	// end marker.
	verbTruncate = "truncate"
	// verbLeave announces that the engine leaves; it takes no new request.
	verbLeave = "leave"
	// verbAnnounce announces that the engine leaves; it goes on taking requests.
	verbAnnounce = "announce"
	// verbLie reports an empty engine.
	verbLie = "lie"
	// verbNoResume refuses to resume.
	verbNoResume = "no-resume"
	// verbForget empties the prefix cache.
	verbForget = "forget"
)

// never is a chunk count that no answer reaches.
const never = -1

// faults is the state of the switches.
type faults struct {
	slow     float64
	fail     int
	refuse   int
	dieAfter int
	stall    int
	cross    bool
	truncate bool
	leave    bool
	announce bool
	lie      bool
	noResume bool
}

// leaving reports whether the engine says that it leaves.
func (f faults) leaving() bool { return f.leave || f.announce }

func noFaults() faults { return faults{slow: 1, dieAfter: never, stall: never} }

// switches guards faults.
type switches struct {
	mu  sync.Mutex
	now faults
}

func (s *switches) load() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// take uses up one of a number of faults, and reports whether there was one.
func (s *switches) take(counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}

// Set throws a switch: a verb and its argument, if it has one.
func (e *Engine) Set(verb, argument string) error {
	e.switches.mu.Lock()
	defer e.switches.mu.Unlock()
	now := &e.switches.now
	switch verb {
	case verbOK:
		*now = noFaults()
	case verbCross:
		now.cross = true
	case verbTruncate:
		now.truncate = true
	case verbLeave:
		now.leave = true
	case verbAnnounce:
		now.announce = true
	case verbLie:
		now.lie = true
	case verbNoResume:
		now.noResume = true
	case verbForget:
		e.cache.clear()
	case verbSlow:
		return setFactor(&now.slow, argument)
	default:
		return setNumber(now, verb, argument)
	}
	return nil
}

func setFactor(factor *float64, argument string) error {
	parsed, err := strconv.ParseFloat(argument, 64)
	if err != nil || parsed <= 0 {
		return &fault.ArgumentError{Argument: argument, Expected: "a factor above 0"}
	}
	*factor = parsed
	return nil
}

func setNumber(now *faults, verb, argument string) error {
	target := map[string]*int{
		verbFail: &now.fail, verbRefuse: &now.refuse, verbDieAfter: &now.dieAfter, verbStall: &now.stall,
	}[verb]
	if target == nil {
		return &fault.VerbError{Verb: verb}
	}
	return fault.Number(target, argument)
}
