package origin

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// Options of a Keeper.
type Options struct {
	Self  fleet.Instance
	Fleet *board.Section[fleet.View]
	// Live returns the other instances that answer, Known all others that may still run.
	Live, Known func() []fleet.Instance
	// Current reports whether the list of upstreams is up to date.
	Current func() bool
	Client  *control.Clients
	Clock   clock.Clock
	Log     zerolog.Logger
}

const (
	// sendInterval is the pause between the sends of new records to other instances. A record
	// that was not sent is lost with its instance.
	sendInterval = 100 * time.Millisecond
	// expiryMargin is added to the time for which a caller waits, for the time that its next
	// attempt takes to arrive.
	expiryMargin = 2 * time.Second
	// currentSlack is the time for which the list of upstreams may be out of date without its
	// history counting as interrupted: changes reach some instances before others.
	currentSlack = time.Second
	// maxPending bounds the records that wait to be sent.
	maxPending = 1 << 14
)

// Keeper keeps the origins of streams. It is safe for concurrent use.
type Keeper struct {
	options Options
	records *table
	// sends are the calls that send records.
	sends sync.WaitGroup

	mu sync.Mutex
	// pending holds the streams begun here whose records were not sent, oldest first.
	pending []pendingRecord
	// longest holds, by service, the longest time for which a caller of a stream has waited.
	longest map[string]time.Duration
	// currentAt is the last time at which the list of upstreams was up to date, and currentSince
	// the time since which it has been without interruption.
	currentAt, currentSince time.Time
}

type pendingRecord struct {
	id      uint64
	origin  Origin
	expires time.Time
}

// New returns a Keeper without records.
func New(options Options) *Keeper {
	return &Keeper{options: options, records: newTable(maxRecords), longest: make(map[string]time.Duration)}
}

// hash returns the hash of a request's ID.
func hash(request string) uint64 { return xxhash.Sum64String(request) }

// Size returns the number of records.
func (k *Keeper) Size() int { return k.records.size() }

// Begin records that a stream has begun. Its caller may take it up for the given time.
func (k *Keeper) Begin(request string, origin Origin, patience time.Duration) {
	now := k.options.Clock.Now()
	id, expires := hash(request), now.Add(patience+expiryMargin)
	k.records.add(id, origin, expires, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.longest[origin.Service] = max(k.longest[origin.Service], patience)
	if len(k.pending) >= maxPending {
		k.pending = k.pending[1:]
	}
	k.pending = append(k.pending, pendingRecord{id: id, origin: origin, expires: expires})
}

// Learn records the origin of a stream that another instance has begun.
func (k *Keeper) Learn(request string, origin Origin, patience time.Duration) {
	now := k.options.Clock.Now()
	k.records.add(hash(request), origin, now.Add(patience+expiryMargin), now)
}

// Run sends records to other instances until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for clock.Sleep(ctx, sendInterval) {
		k.observeCurrent()
		k.send()
	}
	k.sends.Wait()
}

// observeCurrent records whether the list of upstreams is up to date.
func (k *Keeper) observeCurrent() {
	current, now := k.options.Current(), k.options.Clock.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	if !current {
		return
	}
	if now.Sub(k.currentAt) > currentSlack {
		k.currentSince = now
	}
	k.currentAt = now
}

// longestPatience returns the longest time for which a caller of a service has waited, or the given one if that is
// longer.
func (k *Keeper) longestPatience(service string, patience time.Duration) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(patience, k.longest[service])
}

// only returns the software version of all upstreams of a service, if no other one can have begun
// a stream that may still be taken up. Patience is the longest known time for which a caller
// waits.
func (k *Keeper) only(service string, patience time.Duration) (version string, proved bool) {
	if !k.options.Current() {
		return "", false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.uniform(service, patience, k.options.Clock.Now())
}

// uniform is only by a list that may be out of date for currentSlack. Records can wait that long:
// the lists of other instances prove the version meanwhile. The caller holds k.mu.
func (k *Keeper) uniform(service string, patience time.Duration, now time.Time) (version string, uniform bool) {
	view := k.options.Fleet.Load()
	if view == nil || k.currentAt.IsZero() || now.Sub(k.currentAt) > currentSlack {
		return "", false
	}
	version, since := view.OnlySoftware(service)
	if since.IsZero() {
		return "", false
	}
	since = latest(since, view.HistoryLost, k.currentSince)
	return version, now.Sub(since) >= max(patience, k.longest[service])+expiryMargin
}
