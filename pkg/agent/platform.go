package agent

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// Timing of the calls to the platform's other services.
const (
	// DirectoryTTL is the lifetime of an entry after its last renewal; renewals are
	// sent every DirectoryInterval.
	DirectoryTTL      = 30 * time.Second
	DirectoryInterval = 10 * time.Second
	// DirectoryTimeout bounds a call, DirectoryRetryMax the backoff after failures.
	DirectoryTimeout  = 2 * time.Second
	DirectoryRetryMax = 8 * time.Second
	// ReadinessCheck is how often the gateway's readiness is checked.
	ReadinessCheck = 100 * time.Millisecond
	// ListInterval is how often one instance of a domain reads the lagging list.
	ListInterval = 2 * time.Second
	ListTimeout  = 2 * time.Second
	ListRetryMax = 8 * time.Second
)

// watch follows the head key while this instance is one of its domain's watchers.
func (a *Agent) watch(ctx context.Context) {
	watcher := &spread.Watcher{
		KeyValue:      a.KeyValue,
		Key:           a.HeadKey,
		Decode:        config.DecodeHead,
		Keeper:        a.keeper,
		Active:        a.watching,
		OnResult:      a.recordKeyValueResult,
		OnInvalidHead: func(err error) { a.Log.Error().Err(err).Msg("configuration-unreadable") },
		Clock:         clock.System{},
		Rand:          rand.Float64,
	}
	watcher.Run(ctx)
}

// watching reports whether this instance watches the head key.
func (a *Agent) watching() bool {
	if time.Since(a.started) < SettleTime {
		return false
	}
	now := time.Now()
	workers, lost := a.mesh.workers(now), a.mesh.withoutPlatform(now)
	on := standsIn(member.Key("watch", "head"), workers, lost, a.Settings.Instance, spread.Watchers)
	if !on && a.mesh.setPlatform(control.PlatformFact{}) {
		a.beat.raise()
	}
	return on
}

// recordKeyValueResult records the result of a call to the key-value service.
func (a *Agent) recordKeyValueResult(err error) {
	count(a.calls.keyValue, a.calls.keyValueFailed, err)
	if a.mesh.setPlatform(control.PlatformFact{Watching: true, KeyValue: err == nil}) {
		a.Log.Info().Bool("reached", err == nil).AnErr("error", err).Msg("key-value-service")
		a.beat.raise()
	}
}

// publishPlatform writes the domain's view of the platform to the blackboard.
func (a *Agent) publishPlatform(now time.Time) {
	seen := a.mesh.seesPlatform(now)
	if before := a.board.Platform.Load(); before.KeyValue == seen {
		return
	}
	a.board.Platform.Store(&board.PlatformHealth{KeyValue: seen, Since: now})
	a.exchange.raise()
}

// ready reports whether callers may be sent to the own gateway.
func (a *Agent) ready() bool {
	up, reply := a.gateway.state()
	leaving := a.mesh.state(a.Settings.Instance, time.Now()) != board.InstanceLive
	return up && !reply.Leaving && !leaving && reply.Revision > 0
}

// register keeps the instance in the directory while its gateway is ready.
func (a *Agent) register(ctx context.Context) {
	if a.Directory == nil {
		return
	}
	registered, retry := false, time.Second
	var renewal time.Time
	for clock.Sleep(ctx, ReadinessCheck) {
		ready := a.ready()
		if ready == registered && (!ready || time.Now().Before(renewal)) {
			continue
		}
		err := a.updateDirectory(ctx, ready)
		if err != nil {
			clock.Sleep(ctx, jitter(retry))
			retry = min(2*retry, DirectoryRetryMax)
			continue
		}
		if ready != registered {
			a.Log.Info().Bool("registered", ready).Msg("directory")
		}
		registered, retry = ready, time.Second
		renewal = time.Now().Add(jitter(DirectoryInterval))
	}
}

// updateDirectory registers or deregisters the instance.
func (a *Agent) updateDirectory(ctx context.Context, present bool) error {
	ctx, cancel := context.WithTimeout(ctx, DirectoryTimeout)
	defer cancel()
	s := a.Settings
	var err error
	if present {
		entry := platform.DirectoryEntry{Instance: s.Instance, Domain: s.Domain, Region: s.Region, Address: s.Gateway.Callers}
		err = a.Directory.Register(ctx, entry, DirectoryTTL)
	} else {
		err = a.Directory.Deregister(ctx, s.Instance)
	}
	count(a.calls.directory, a.calls.directoryFailed, err)
	return err
}

// listLoop reads the lagging list while this instance owns that job.
func (a *Agent) listLoop(ctx context.Context) {
	if a.List == nil {
		return
	}
	retry := ListInterval
	for clock.Sleep(ctx, jitter(ListInterval)) {
		now := time.Now()
		if !member.Owns(member.Key("list", "instances"), a.mesh.workers(now), a.Settings.Instance, 1) {
			continue
		}
		if err := a.readList(ctx); err != nil {
			clock.Sleep(ctx, jitter(retry))
			retry = min(2*retry, ListRetryMax)
			continue
		}
		retry = ListInterval
	}
}

func (a *Agent) readList(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, ListTimeout)
	defer cancel()
	lines, err := a.List.List(ctx, a.Settings.Domain)
	count(a.calls.list, a.calls.listFailed, err)
	if err == nil {
		a.mesh.setList(lines, time.Now())
	}
	return err
}
