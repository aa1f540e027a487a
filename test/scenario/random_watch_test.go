package scenario

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// watchInterval is the interval between readings of each process's revision.
const watchInterval = 250 * time.Millisecond

// sample is the revision that a process reported; the interval is that of the
// request.
type sample struct {
	interval
	// start identifies the start of the process.
	start, revision int
}

// watcher reads the revision of every gateway and agent periodically.
type watcher struct {
	d  *deployment
	mu sync.Mutex
	// starts counts ends and starts by process name. It is odd from before a process
	// ends until the next one answers. samples are in order of time.
	starts  map[string]int
	samples map[string][]sample
}

func newWatcher(d *deployment) *watcher {
	return &watcher{d: d, starts: make(map[string]int), samples: make(map[string][]sample)}
}

// run watches until ctx is cancelled.
func (w *watcher) run(ctx context.Context) {
	var running sync.WaitGroup
	for name, instance := range w.d.instances {
		running.Go(func() { w.watch(ctx, name+"/gateway", "http://"+instance.Gateway.Callers+"/readyz") })
		running.Go(func() { w.watch(ctx, name+"/agent", "http://"+instance.Agent.Operators+"/readyz") })
	}
	running.Wait()
}

func (w *watcher) watch(ctx context.Context, process, url string) {
	for clock.Sleep(ctx, watchInterval) {
		before := w.started(process)
		if before%2 == 1 {
			continue
		}
		from := time.Now()
		text, err := get(url)
		until := time.Now()
		var reply struct {
			Revision int `json:"revision"`
		}
		if err != nil || json.Unmarshal([]byte(text), &reply) != nil || w.started(process) != before {
			continue
		}
		w.mu.Lock()
		w.samples[process] = append(w.samples[process], sample{interval{from, until}, before, reply.Revision})
		w.mu.Unlock()
	}
}

// started returns the count of a process. Answers received while it was odd or
// changed are discarded, as they may come from either process.
func (w *watcher) started(process string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[process]
}

// restart records that processes end or have started.
func (w *watcher) restart(found []*process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, one := range found {
		w.starts[one.name]++
	}
}

// slack is the time for which a process may act on an older revision than the next
// sample: the sampling interval, the duration of one reading, and the time of a request
// between its check and its upstream.
const slack = 1500 * time.Millisecond

// between returns the lowest and the highest revision that a failure domain's gateways
// may have used from one time to another. ok is false if there is no sample.
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
