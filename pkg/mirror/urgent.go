package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// While many entries change, changes are gathered, which is late for the few that matter at once: an
// evacuation that comes and goes within a pause leaves upstreams cold that get a full load until the
// pause is over. These few have a call of their own that waits for them, and that ends the pause.

// promptWait is how long one such call waits. It costs a call each time, and the store keeps
// history for longer; one that fell silent costs no more than a pause.
const urgentWait = 9 * time.Second

// watchPrompt waits for changes below Options.Prompt after a position until it is stopped.
func (m *Mirror) watchUrgent(ctx context.Context, after Position) (stop func()) {
	if m.options.UrgentPrefix == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil && after.Era == m.Era() {
			after.Revision = m.waitUrgent(ctx, after.Revision)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// waitPrompt makes one call, and returns the revision after which to go on.
func (m *Mirror) waitUrgent(ctx context.Context, after int64) int64 {
	bounded, cancel := context.WithTimeout(ctx, urgentWait+callTimeout)
	defer cancel()
	changes, err := m.options.Source.Changes(bounded, m.options.UrgentPrefix, after, urgentWait)
	if errors.Is(err, platform.ErrCompacted) {
		after = max(after, m.revision())
	}
	if err != nil {
		// Whoever follows all changes finds out what is wrong with the store.
		clock.Sleep(ctx, maxRetryPause)
		return after
	}
	m.observeAnswer(changes.Era)
	if len(changes.Entries) > 0 {
		m.signalUrgent(changes.Revision)
	}
	return max(after, changes.Revision)
}

// prompt has changes up to a revision read at once.
func (m *Mirror) signalUrgent(revision int64) {
	select {
	case <-m.urgent:
		// A later one covers it.
	default:
	}
	m.urgent <- revision
}

// sleepUnlessPrompted waits until a time has passed, or there is a change to be read at once.
func (m *Mirror) sleepUnlessUrgent(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case revision := <-m.urgent:
			if revision > m.revision() {
				return
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
