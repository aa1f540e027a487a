package scenario

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// watchEvery is the pace at which each process is asked for its revision.
const watchEvery = 250 * time.Millisecond

// sample is the revision that a process said it has; the interval is that of the
// question.
type sample struct {
	interval
	// start tells one start of the process from another.
	start, revision int
}

// watcher asks every gateway and agent for its revision all the time.
type watcher struct {
	d  *deployment
	mu sync.Mutex
	// starts counts by process name, and is odd from before a process is ended
	// until the next one answers. samples are in order of time.
	starts  map[string]int
	samples map[string][]sample
}

func newWatcher(d *deployment) *watcher {
	return &watcher{d: d, starts: make(map[string]int), samples: make(map[string][]sample)}
}

// run watches until ctx ends.
func (w *watcher) run(ctx context.Context) {
	var running sync.WaitGroup
	for name, instance := range w.d.instances {
		running.Go(func() { w.watch(ctx, name+"/gateway", "http://"+instance.Gateway.Callers+"/readyz") })
		running.Go(func() { w.watch(ctx, name+"/agent", "http://"+instance.Agent.Operators+"/readyz") })
	}
	running.Wait()
}

func (w *watcher) watch(ctx context.Context, process, url string) {
	for clock.Sleep(ctx, watchEvery) {
		before := w.started(process)
		if before%2 == 1 {
			continue
		}
		from := time.Now()
		text, err := get(url)
		until := time.Now()
		var said struct {
			Revision int `json:"revision"`
		}
		if err != nil || json.Unmarshal([]byte(text), &said) != nil || w.started(process) != before {
			continue
		}
		w.mu.Lock()
		w.samples[process] = append(w.samples[process], sample{interval{from, until}, before, said.Revision})
		w.mu.Unlock()
	}
}

// started returns the count of a process. Answers that came while it was odd or
// changed are not taken, as they may be either process's.
func (w *watcher) started(process string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[process]
}

// restart notes that processes end or start.
func (w *watcher) restart(found []*process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range found {
		w.starts[one.name]++
	}
}

// slack is how long a process may go on with what it knew before: the pace of the
// questions, one question's time and a request between its check and its upstream.
const slack = 1500 * time.Millisecond

// between returns the lowest and the highest revision that a failure domain's
// gateways may have decided by from one time to another. ok is false when
// nothing is known.
func (w *watcher) between(gateways []string, from, until time.Time) (low, high int, ok bool) {
	for _, name := range gateways {
		for index, one := range w.samples[name] {
			last := index+1 == len(w.samples[name]) || w.samples[name][index+1].until.After(from.Add(-slack))
			inside := one.until.After(from.Add(-slack)) && one.from.Before(until.Add(slack))
			if one.revision == 0 || (!inside && !(last && one.until.Before(from))) {
				continue
			}
			if !ok || one.revision < low {
				low = one.revision
			}
			high, ok = max(high, one.revision), true
		}
	}
	return low, high, ok
}
