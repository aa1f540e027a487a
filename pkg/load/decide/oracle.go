package decide

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/timeline"
)

// record is what an engine had in hand over a run, for judgements afterwards.
type record struct {
	steps    []step
	prefills []span
}

// step is the number of requests at an engine from a time on.
type step struct {
	at   time.Time
	busy int
}

// span is a time in which an engine's prefill was busy.
type span struct{ from, to time.Time }

// note records how many requests the engine has; a lost engine is full.
func (e *engine) note(s *simulation) {
	busy := e.running + len(e.queue)
	if e.lost {
		busy = max(busy, engineSlots)
	}
	steps := e.record.steps
	if n := len(steps); n > 0 && steps[n-1].at.Equal(s.Now()) {
		steps[n-1].busy = busy
		return
	}
	e.record.steps = append(steps, step{s.Now(), busy})
}

// verdicts counts refused requests by what a place that knew the whole run could
// have done with each alone, without taking a slot or prefill from another.
type verdicts struct {
	// warranted could be finished nowhere in time, not even with a warm cache;
	// warmOnly with a warm cache alone; the others, unwarranted, with a cold one.
	warranted, warmOnly, unwarranted int
}

// judge looks at every measured refusal of the run.
func (s *simulation) judge() verdicts {
	var v verdicts
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

// ownTokens are those of the last message, which no cache holds.
func (j *job) ownTokens() int {
	n := len(j.tokens)
	if n == 1 {
		return j.tokens[0]
	}
	return j.tokens[n-1] - j.tokens[n-2]
}

// couldFinish says whether some permitted engine had room for a request before its
// deadline, if so many of its tokens were missing from the cache.
func (s *simulation) couldFinish(j *job, missing int) bool {
	return slices.ContainsFunc(s.engines, func(e *engine) bool {
		permitted := e.failureDomain.index == j.failureDomain || (!j.homeBound && s.variant.percent > 0)
		return permitted && !e.rejects && e.couldFinish(j, missing)
	})
}

func (e *engine) couldFinish(j *job, missing int) bool {
	way := e.wayBack(j)
	until := j.deadline().Add(-way)
	slow := max(1, e.slow)
	prefill := time.Duration(slow * float64(missing) / enginePrefillRate * float64(time.Second))
	start := timeline.Epoch.Add(j.at + way)
	for {
		free, ok := e.record.next(start, until, func(busy int) bool { return busy < engineSlots })
		if !ok {
			return false
		}
		begin := e.record.idle(free, prefill).Add(prefill)
		others := float64(e.record.busyAt(begin))
		token := slow * (1 + engineBatchCost*others) / engineDecodeRate * float64(time.Second)
		end := begin.Add(time.Duration(token) * time.Duration(j.answer))
		if end.After(until) {
			return false
		}
		full, ok := e.record.next(free, end, func(busy int) bool { return busy >= engineSlots })
		if !ok {
			return true
		}
		start = full
	}
}

// after is the index of the first step later than a time.
func (r *record) after(at time.Time) int {
	i, _ := slices.BinarySearchFunc(r.steps, at, func(s step, at time.Time) int {
		if s.at.After(at) {
			return 1
		}
		return -1
	})
	return i
}

func (r *record) busyAt(at time.Time) int {
	if i := r.after(at); i > 0 {
		return r.steps[i-1].busy
	}
	return 0
}

// next is the first time from one to another at which the number of requests fits.
func (r *record) next(from, to time.Time, fits func(busy int) bool) (time.Time, bool) {
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

// idle is the first time at which prefill has nothing to do for as long as needed.
func (r *record) idle(from time.Time, need time.Duration) time.Time {
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
