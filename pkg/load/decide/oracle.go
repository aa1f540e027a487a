package decide

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/timeline"
)

// loadHistory is an engine's load over a run, used to classify refusals afterwards.
type loadHistory struct {
	steps    []step
	prefills []span
}

// step is the number of requests at an engine from a time until the next step.
type step struct {
	at   time.Time
	busy int
}

// span is an interval in which an engine's prefill was busy.
type span struct{ from, to time.Time }

// recordLoad records the number of requests at the engine; a lost engine counts as full.
func (e *engine) recordLoad(s *simulation) {
	busy := e.running + len(e.queue)
	if e.lost {
		busy = max(busy, engineSlots)
	}
	steps := e.loadHistory.steps
	if n := len(steps); n > 0 && steps[n-1].at.Equal(s.Now()) {
		steps[n-1].busy = busy
		return
	}
	e.loadHistory.steps = append(steps, step{s.Now(), busy})
}

// refusalClasses counts refused requests by whether a scheduler that knew the whole
// run could have completed each alone, without taking a slot or prefill from another.
type refusalClasses struct {
	// warranted requests could not complete in time even with a warm cache,
	// warmOnly requests only with a warm cache, unwarranted ones with a cold cache.
	warranted, warmOnly, unwarranted int
}

// classifyRefusals classifies every measured refusal of the run.
func (s *simulation) classifyRefusals() refusalClasses {
	var v refusalClasses
	for i := range s.jobs {
		j := &s.jobs[i]
		if !j.refused || !s.measured(j) {
			continue
		}
		switch {
		case s.couldFinish(j, j.prompt()):
			v.unwarranted++
		case s.couldFinish(j, j.ownTokens()):
			v.warmOnly++
		default:
			v.warranted++
		}
	}
	return v
}

// ownTokens returns the tokens of the last message, which is unique and thus in no
// cache.
func (j *job) ownTokens() int {
	n := len(j.tokens)
	if n == 1 {
		return j.tokens[0]
	}
	return j.tokens[n-1] - j.tokens[n-2]
}

// couldFinish returns whether some permitted engine had the spare capacity to complete
// a request in time, if the given number of its tokens was missing from the cache.
func (s *simulation) couldFinish(j *job, missing int) bool {
	return slices.ContainsFunc(s.engines, func(e *engine) bool {
		permitted := e.failureDomain.index == j.failureDomain || (!j.homeRegionOnly && s.variant.percent > 0)
		return permitted && !e.rejects && e.couldFinish(j, missing)
	})
}

func (e *engine) couldFinish(j *job, missing int) bool {
	delay := e.returnDelay(j)
	until := j.deadline().Add(-delay)
	slowdown := max(1, e.slowdown)
	prefill := time.Duration(slowdown * float64(missing) / enginePrefillRate * float64(time.Second))
	start := timeline.Epoch.Add(j.at + delay)
	for {
		free, ok := e.loadHistory.next(start, until, func(busy int) bool { return busy < engineSlots })
		if !ok {
			return false
		}
		begin := e.loadHistory.idle(free, prefill).Add(prefill)
		others := float64(e.loadHistory.busyAt(begin))
		token := slowdown * (1 + engineBatchCost*others) / engineDecodeRate * float64(time.Second)
		end := begin.Add(time.Duration(token) * time.Duration(j.answer))
		if end.After(until) {
			return false
		}
		full, ok := e.loadHistory.next(free, end, func(busy int) bool { return busy >= engineSlots })
		if !ok {
			return true
		}
		start = full
	}
}

// after returns the index of the first step after a time.
func (r *loadHistory) after(at time.Time) int {
	i, _ := slices.BinarySearchFunc(r.steps, at, func(s step, at time.Time) int {
		if s.at.After(at) {
			return 1
		}
		return -1
	})
	return i
}

func (r *loadHistory) busyAt(at time.Time) int {
	if i := r.after(at); i > 0 {
		return r.steps[i-1].busy
	}
	return 0
}

// next returns the first time in [from, to) at which fits accepts the number of
// requests.
func (r *loadHistory) next(from, to time.Time, fits func(busy int) bool) (time.Time, bool) {
	if fits(r.busyAt(from)) {
		return from, true
	}
	for _, s := range r.steps[r.after(from):] {
		if !s.at.Before(to) {
			break
		}
		if fits(s.busy) {
			return s.at, true
		}
	}
	return to, false
}

// idle returns the first time from which prefill is idle for the needed duration.
func (r *loadHistory) idle(from time.Time, need time.Duration) time.Time {
	i, _ := slices.BinarySearchFunc(r.prefills, from, func(s span, at time.Time) int { return s.to.Compare(at) })
	for _, s := range r.prefills[i:] {
		if s.from.Sub(from) >= need {
			return from
		}
		if s.to.After(from) {
			from = s.to
		}
	}
	return from
}
