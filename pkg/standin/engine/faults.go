package engine

import (
	"strconv"
	"sync"

	"github.com/lilacweir/lilacweir/pkg/standin/fault"
)

// Fault injection verbs of an engine.
const (
	// verbOK clears all faults.
	verbOK = "ok"
	// verbSlow multiplies all processing times by a factor.
	verbSlow = "slow"
	// verbFail answers the next N requests with 500.
	verbFail = "fail"
	// verbRefuse rejects the next N requests with 503 and the not-started header.
	verbRefuse = "refuse"
	// verbDieAfter drops each stream's connection after K chunks.
	verbDieAfter = "die-after"
	// verbStall stops each stream after K chunks and keeps its connection open.
	verbStall = "stall"
	// verbCross answers with another request's ID and text.
	verbCross = "cross"
	// verbTruncate ends each stream cleanly at half its length, without the end
	// marker.
	verbTruncate = "truncate"
	// verbLeave announces that the engine is leaving and rejects new requests.
	verbLeave = "leave"
	// verbAnnounce announces that the engine is leaving and still accepts requests.
	verbAnnounce = "announce"
	// verbMisreport reports an idle engine whatever its load.
	verbMisreport = "lie"
	// verbNoResume rejects requests to resume a stream.
	verbNoResume = "no-resume"
	// verbForget empties the prefix cache.
	verbForget = "forget"
)

// disabled is a chunk count that no stream reaches.
const disabled = -1

// faults holds the injected faults.
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

// leaving reports whether the engine announces that it is leaving.
func (f faults) leaving() bool { return f.leave || f.announce }

func noFaults() faults { return faults{slowFactor: 1, disconnectAfter: disabled, stallAfter: disabled} }

// injectedFaults guards the current faults with a mutex.
type injectedFaults struct {
	mu      sync.Mutex
	current faults
}

func (s *injectedFaults) load() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.current
}

// consume decrements a fault counter and reports whether it was above zero.
func (s *injectedFaults) consume(counter *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}

// Set applies the fault that verb names, with its argument if it has one.
func (e *Engine) Set(verb, argument string) error {
	e.injectedFaults.mu.Lock()
	defer e.injectedFaults.mu.Unlock()
	current := &e.injectedFaults.current
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
