package agent

import (
	"context"
	"sync"
)

// job is a loop that runs until its context ends.
type job func(ctx context.Context)

// jobSet runs a changing set of named jobs. It is used from one goroutine.
type jobSet struct {
	running map[string]context.CancelFunc
	group   sync.WaitGroup
}

func newJobSet() *jobSet { return &jobSet{running: make(map[string]context.CancelFunc)} }

// sync starts the wanted jobs that do not run and stops those that are not wanted.
func (d *jobSet) sync(ctx context.Context, wanted map[string]job) {
	for name, cancel := range d.running {
		if _, ok := wanted[name]; !ok {
			cancel()
			delete(d.running, name)
		}
	}
	for name, run := range wanted {
		if _, ok := d.running[name]; ok {
			continue
		}
		jobContext, cancel := context.WithCancel(ctx)
		d.running[name] = cancel
		d.group.Go(func() { run(jobContext) })
	}
}

// stop cancels all jobs and waits for them.
func (d *jobSet) stop() {
	for _, cancel := range d.running {
		cancel()
	}
	d.group.Wait()
}
