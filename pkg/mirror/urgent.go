package mirror

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// While many entries change, a pause after each call lets the next one read several changes, which
// is too late for urgent ones: an evacuation that starts and ends within a pause leaves upstreams
// cold that get full load until the pause is over. Urgent changes have a waiting call of their own,
// which ends the pause.

// urgentWait is the wait of one such call. It is long because each call has a cost, and the store
// retains its history for longer; a call on a stalled connection delays changes by no more than a
// pause.
const urgentWait = 9 * time.Second

// watchUrgent waits for changes below Options.UrgentPrefix after a position until it is stopped.
func (m *Mirror) watchUrgent(ctx context.Context, after Position) (stop func()) {
	if m.options.UrgentPrefix == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() {
		for ctx.Err() == nil && after.Era == m.Epoch() {
			after.Revision = m.waitUrgent(ctx, after.Revision)
		}
	})
	return func() {
		cancel()
		running.Wait()
	}
}

// waitUrgent makes one call, and returns the revision after which to continue.
func (m *Mirror) waitUrgent(ctx context.Context, after int64) int64 {
	bounded, cancel := context.WithTimeout(ctx, urgentWait+callTimeout)
	defer cancel()
	changes, err := m.options.Source.Changes(bounded, m.options.UrgentPrefix, after, urgentWait)
	if errors.Is(err, platform.ErrCompacted) {
		after = max(after, m.revision())
	}
	if err != nil {
		// The loop that follows all changes handles errors of the store.
		clock.Sleep(ctx, maxRetryPause)
		return after
	}
	m.observeAnswer(changes.Era)
	if len(changes.Entries) > 0 {
		m.signalUrgent(changes.Revision)
	}
	return max(after, changes.Revision)
}

// signalUrgent requests that changes up to a revision are read at once.
func (m *Mirror) signalUrgent(revision int64) {
	select {
	case <-m.urgent:
		// The new revision covers the older one.
	default:
	}
	m.urgent <- revision
}

// sleepUnlessUrgent waits for a time or until an urgent change has to be read.
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
