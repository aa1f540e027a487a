package order

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
)

// fakeEngine accepts orders and records those that it executed.
type fakeEngine struct {
	mu     sync.Mutex
	checks bool
	state  State
	taken  []Load
}

func (e *fakeEngine) read() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.state
}

func (e *fakeEngine) take(load Load) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checks && load.Fence < e.state.Fence {
		return ErrStaleFence
	}
	e.taken = append(e.taken, load)
	e.state.Version = load.Version
	e.state.Fence = max(e.state.Fence, load.Fence)
	return nil
}

// outOfOrder returns an error for the first order that was executed after a newer one.
// The declared versions are v1, v2 and so on.
func (e *fakeEngine) outOfOrder() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	newest := 0
	for _, load := range e.taken {
		number := 0
		if _, err := fmt.Sscanf(load.Version, "v%d", &number); err != nil {
			return err
		}
		if number < newest {
			return fmt.Errorf("%s for %s: %w", load.ID, load.Version, ErrStaleFence)
		}
		newest = number
	}
	return nil
}

// fakeEngines is one process's connection to the engines. Each fault occurs once.
type fakeEngines struct {
	engines map[string]*fakeEngine
	pause   *pause
	mu      sync.Mutex
	faults  callFaults
}

// callFaults are faults of the next call.
type callFaults struct {
	// pauseAfterRead pauses the process after it has read an engine's state.
	pauseAfterRead time.Duration
	// pauseAfterPermit pauses it after an order was permitted, before it is sent.
	pauseAfterPermit time.Duration
	// late fails an order's call, and delivers the order after this delay.
	late time.Duration
}

func (f *fakeEngines) set(change func(*callFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.faults)
}

// take returns one of the faults and clears it.
func (f *fakeEngines) take(fault *time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	length := *fault
	*fault = 0
	return length
}

func (f *fakeEngines) State(_ context.Context, engine config.Upstream) (State, error) {
	f.pause.wait()
	defer f.pause.wait()
	state := f.engines[engine.Name].read()
	if length := f.take(&f.faults.pauseAfterRead); length > 0 {
		f.pause.begin(length)
	}
	return state, nil
}

func (f *fakeEngines) Send(_ context.Context, load Load, permit func() error) error {
	f.pause.wait()
	if err := permit(); err != nil {
		return err
	}
	if length := f.take(&f.faults.pauseAfterPermit); length > 0 {
		f.pause.begin(length)
	}
	f.pause.wait()
	engine := f.engines[load.Upstream.Name]
	if late := f.take(&f.faults.late); late > 0 {
		time.AfterFunc(late, func() { _ = engine.take(load) })
		return context.DeadlineExceeded
	}
	return engine.take(load)
}
