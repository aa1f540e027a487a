package spread

import (
	"context"
	"errors"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Watchers is the number of instances of a failure domain that watch the head key: the
// second one covers for the first until its failure is detected.
const Watchers = 2

// Timing of the watch.
const (
	// RetryMin and RetryMax bound the wait after a failed call. With two watchers a domain
	// makes about three calls in ten seconds during an outage.
	RetryMin = 250 * time.Millisecond
	RetryMax = 8 * time.Second
	// StableAfter is the duration of a watch after which its end counts as a first failure
	// again.
	StableAfter = 10 * time.Second
	// ReadTimeout bounds one read of the head.
	ReadTimeout = 3 * time.Second
	// ActiveCheckInterval is how often an instance checks whether it is a watcher.
	ActiveCheckInterval = 500 * time.Millisecond
	// RereadInterval is how often a watcher reads the whole head in addition to its watch,
	// in case the service was restored to an earlier state. A watch that ended is otherwise
	// resumed at its last revision, without reading the value.
	RereadInterval = 10 * time.Minute
)

// ErrWatchEnded is returned when the watch's stream ended.
var ErrWatchEnded = errors.New("watch ended")

// Watcher follows the head key while it is active.
type Watcher struct {
	// KeyValue is the platform's service and Key the head's key.
	KeyValue platform.KeyValue
	Key      string
	// Decode reads a head.
	Decode func([]byte) (*config.Head, error)
	// Keeper stores the heads.
	Keeper *Keeper
	// Active reports whether this instance is one of its domain's watchers.
	Active func() bool
	// OnResult is called with the result of each call, and OnInvalidHead with the error of a
	// value that is not a head.
	OnResult      func(err error)
	OnInvalidHead func(err error)
	Clock         clock.Clock
	// Rand returns the jitter, from 0 up to 1.
	Rand func() float64

	// lastRevision is the last modification revision received, readAt is when the head was
	// last read; both are used by Run alone.
	lastRevision int64
	readAt       time.Time
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	wait := RetryMin
	for ctx.Err() == nil {
		if !w.Active() {
			sleep(ctx, ActiveCheckInterval)
			continue
		}
		started := w.Clock.Now()
		err := w.follow(ctx)
		if err == nil {
			continue
		}
		if w.Clock.Now().Sub(started) >= StableAfter {
			wait = RetryMin
		}
		sleep(ctx, w.jitter(wait))
		wait = min(wait*2, RetryMax)
	}
}

// jitter returns a random wait between half of bound and bound.
func (w *Watcher) jitter(bound time.Duration) time.Duration {
	half := bound / 2
	return half + time.Duration(w.Rand()*float64(half))
}

// follow watches the head while active, and reads it first if necessary. It returns nil
// when it is no longer active or ctx has ended.
func (w *Watcher) follow(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if w.lastRevision == 0 || w.Clock.Now().Sub(w.readAt) >= RereadInterval {
		if err := w.read(ctx); err != nil {
			return err
		}
	}
	changes, err := w.KeyValue.Watch(ctx, w.Key, w.lastRevision)
	w.report(ctx, err)
	if errors.Is(err, platform.ErrCompacted) {
		w.lastRevision = 0
	}
	if err != nil {
		return err
	}
	return w.receive(ctx, changes)
}

func (w *Watcher) receive(ctx context.Context, changes <-chan platform.Entry) error {
	check := time.NewTicker(ActiveCheckInterval)
	defer check.Stop()
	for {
		select {
		case entry, open := <-changes:
			if !open {
				// This is not an error in itself: an adapter ends a watch that has been
				// idle for long, and the next call shows whether the service fails.
				return ErrWatchEnded
			}
			w.lastRevision = max(w.lastRevision, entry.ModRevision)
			w.offer(entry.Value)
		case <-check.C:
			if !w.Active() {
				return nil
			}
		case <-ctx.Done():
			return nil
		}
	}
}

// read reads the head and records its modification revision.
func (w *Watcher) read(ctx context.Context) error {
	bounded, cancel := context.WithTimeout(ctx, ReadTimeout)
	defer cancel()
	entry, ok, err := w.KeyValue.Get(bounded, w.Key)
	w.report(ctx, err)
	if err != nil {
		return err
	}
	w.readAt = w.Clock.Now()
	if ok {
		w.lastRevision = entry.ModRevision
		w.offer(entry.Value)
	}
	return nil
}

func (w *Watcher) offer(value []byte) {
	if len(value) == 0 {
		return
	}
	head, err := w.Decode(value)
	if err != nil {
		w.OnInvalidHead(err)
		return
	}
	w.Keeper.Offer(head, SourcePlatform)
}

func (w *Watcher) report(ctx context.Context, err error) {
	if ctx.Err() == nil {
		w.OnResult(err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
