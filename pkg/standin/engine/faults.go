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
	verbMisreport = "lie"
	// verbNoResume refuses to resume.
	verbNoResume = "no-resume"
	// verbForget empties the prefix cache.
	verbForget = "forget"
)

// never is a chunk count that no answer reaches.
const disabled = -1

// faults is the state of the switches.
type faults struct {
	slowFactor      float64
	fail            int
	refuse          int
	disconnectAfter int
	stallAfter      int
	cross           bool
	truncate        bool
	leave           bool
	announce        bool
	misreport       bool
	noResume        bool
}

// leaving reports whether the engine says that it leaves.
func (f faults) leaving() bool { return f.leave || f.announce }

func noFaults() faults { return faults{slowFactor: 1, disconnectAfter: disabled, stallAfter: disabled} }

// switches guards faults.
type switches struct {
	mu      sync.Mutex
	current faults
}

func (s *switches) load() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// take uses up one of a number of faults, and reports whether there was one.
func (s *switches) consume(counter *int) bool {
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
	current := &e.switches.current
	switch verb {
	case verbOK:
		*current = noFaults()
	case verbCross:
		current.cross = true
	case verbTruncate:
		current.truncate = true
	case verbLeave:
		current.leave = true
	case verbAnnounce:
		current.announce = true
	case verbMisreport:
		current.misreport = true
	case verbNoResume:
		current.noResume = true
	case verbForget:
		e.cache.clear()
	case verbSlow:
		return setFactor(&current.slowFactor, argument)
	default:
		return setCount(current, verb, argument)
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

func setCount(current *faults, verb, argument string) error {
	target := map[string]*int{
		verbFail: &current.fail, verbRefuse: &current.refuse, verbDieAfter: &current.disconnectAfter, verbStall: &current.stallAfter,
	}[verb]
	if target == nil {
		return &fault.VerbError{Verb: verb}
	}
	return fault.SetCount(target, argument)
}
