package agent

import (
	"context"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/spread"
)

// Timing inside the failure domain.
const (
	// BeatInterval is the longest time without a heartbeat between two instances that
	// reach each other. Of a pair, the one with the lower name calls first; the other
	// calls when it received nothing for BeatBackup.
	BeatInterval = time.Second
	BeatBackup   = 1300 * time.Millisecond
	// BeatSpacing is the shortest time between two calls to one peer.
	BeatSpacing = 20 * time.Millisecond
	// BeatTimeout bounds one call inside the domain.
	BeatTimeout = 1500 * time.Millisecond
	// BeatRetryMax bounds the backoff after failed calls to a peer.
	BeatRetryMax = 4 * time.Second
	// CatchUpDelay gives a pushed head the time to arrive before one is requested,
	// and CatchUpRetry is the wait when no peer's head could be read.
	CatchUpDelay = 100 * time.Millisecond
	CatchUpRetry = 10 * time.Second
)

// beatJobs returns the loops that exchange heartbeats: one for each known peer, and
// one for each seed of the own domain that is not a known peer.
func (a *Agent) beatJobs(now time.Time) map[string]job {
	wanted := make(map[string]job)
	covered := map[string]bool{a.Settings.Agent.Mesh: true}
	for _, peer := range a.mesh.peers(now) {
		covered[peer.Mesh] = true
		wanted[peer.Name+" "+peer.Mesh] = a.beatJob(peer)
	}
	for _, seed := range a.Settings.Seeds {
		if seed.Domain == a.Settings.Domain && !covered[seed.Mesh] {
			wanted["seed "+seed.Mesh] = a.beatJob(member.Peer{Mesh: seed.Mesh})
		}
	}
	return wanted
}

// beatJob returns the loop that exchanges heartbeats with one peer.
func (a *Agent) beatJob(peer member.Peer) job {
	return func(ctx context.Context) {
		wake := newSignal()
		a.wakers.Store(peer, wake)
		defer a.wakers.Delete(peer)
		interval := BeatInterval
		if peer.Name != "" && peer.Name < a.Settings.Instance {
			interval = BeatBackup
		}
		retry := BeatInterval
		for {
			wait := interval
			if err := a.sendBeat(ctx, peer); err != nil {
				wait = jitter(retry)
				retry = min(2*retry, BeatRetryMax)
			} else {
				retry = BeatInterval
			}
			if !a.awaitBeat(ctx, peer.Name, wake, wait, interval) {
				return
			}
		}
	}
}

// awaitBeat waits until the next heartbeat is due; heartbeats received from the
// peer postpone it. It returns false when ctx ends.
func (a *Agent) awaitBeat(ctx context.Context, name string, wake signal, wait, interval time.Duration) bool {
	if !clock.Sleep(ctx, BeatSpacing) {
		return false
	}
	for {
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-wake:
			timer.Stop()
			return true
		case <-timer.C:
		}
		wait = interval - time.Since(a.mesh.lastReceived(name))
		if wait <= 0 {
			return true
		}
	}
}

// wakePeers makes every heartbeat loop call at once.
func (a *Agent) wakePeers() {
	a.wakers.Range(func(_, wake any) bool {
		wake.(signal).raise()
		return true
	})
}

func (a *Agent) sendBeat(ctx context.Context, peer member.Peer) error {
	ctx, cancel := context.WithTimeout(ctx, BeatTimeout)
	defer cancel()
	beat := a.mesh.compose(peer.Name, time.Now())
	var reply control.Beat
	err := a.clients.Call(ctx, peer.Mesh, control.MeshService+".Beat", &beat, &reply)
	count(a.calls.beats, a.calls.beatsFailed, err)
	if err != nil {
		return err
	}
	a.mesh.receive(&reply, time.Now())
	return nil
}

// offerPeers pushes a head to the peers that are not known to hold it.
func (a *Agent) offerPeers(head *config.Head) {
	for _, peer := range a.mesh.peers(time.Now()) {
		held := a.mesh.revision(peer.Name)
		if held >= head.Revision {
			continue
		}
		update, err := a.updates.make(head, held, false)
		if err != nil {
			a.Log.Error().Err(err).Msg("configuration-not-encoded")
			return
		}
		go a.offer(peer.Mesh, update)
	}
}

func (a *Agent) offer(address string, update *control.HeadUpdate) {
	ctx, cancel := context.WithTimeout(context.Background(), BeatTimeout)
	defer cancel()
	var reply control.OfferReply
	a.calls.offers.Inc(1)
	if err := a.clients.Call(ctx, address, control.MeshService+".Offer", update, &reply); err != nil {
		a.Log.Debug().Err(err).Msg("offer-failed")
	}
}

// catchUpLoop requests a configuration from peers that advertise a newer one.
func (a *Agent) catchUpLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.catchUp:
		}
		if !clock.Sleep(ctx, CatchUpDelay) {
			return
		}
		if !a.catchUpOnce(ctx) {
			clock.Sleep(ctx, jitter(CatchUpRetry))
		}
	}
}

// catchUpOnce requests the configuration from the peers that are ahead. It returns
// false if there were some and none supplied it.
func (a *Agent) catchUpOnce(ctx context.Context) bool {
	held := a.keeper.Revision()
	ahead := a.mesh.ahead(held, time.Now())
	for _, peer := range ahead {
		err := a.requestHead(ctx, peer.Mesh, control.WantArgs{Revision: held})
		if err != nil {
			err = a.requestHead(ctx, peer.Mesh, control.WantArgs{Revision: held, Whole: true})
		}
		if err == nil && a.keeper.Revision() > held {
			return true
		}
	}
	return len(ahead) == 0
}

func (a *Agent) requestHead(ctx context.Context, address string, args control.WantArgs) error {
	ctx, cancel := context.WithTimeout(ctx, BeatTimeout)
	defer cancel()
	var reply control.WantReply
	if err := a.clients.Call(ctx, address, control.MeshService+".Want", &args, &reply); err != nil {
		return err
	}
	return a.applyUpdate(reply.Update, spread.SourceMesh)
}

// meshService serves agents of the own failure domain.
type meshService struct{ agent *Agent }

// Beat exchanges heartbeats.
func (s *meshService) Beat(beat *control.Beat, reply *control.Beat) error {
	now := time.Now()
	if !s.agent.mesh.receive(beat, now) {
		return &ForeignError{From: beat.From}
	}
	*reply = s.agent.mesh.compose(beat.From, now)
	return nil
}

// Offer applies a pushed configuration.
func (s *meshService) Offer(update *control.HeadUpdate, reply *control.OfferReply) error {
	if s.agent.applyUpdate(update, spread.SourceMesh) != nil {
		s.agent.catchUp.raise()
	}
	reply.Revision = s.agent.keeper.Revision()
	return nil
}

// Want returns the configuration when it is newer than the caller's.
func (s *meshService) Want(args *control.WantArgs, reply *control.WantReply) error {
	head := s.agent.keeper.Head()
	if head == nil || head.Revision <= args.Revision {
		return nil
	}
	update, err := s.agent.updates.make(head, args.Revision, args.Whole)
	reply.Revision, reply.Update = head.Revision, update
	return err
}

// Goodbye records that a peer leaves for good.
func (s *meshService) Goodbye(goodbye *control.Goodbye, _ *control.OfferReply) error {
	s.agent.mesh.goodbye(goodbye.From, goodbye.Epoch, time.Now())
	return nil
}

// ForeignError reports a heartbeat from another failure domain or from an earlier
// epoch.
type ForeignError struct{ From string }

// Error implements error.
func (e *ForeignError) Error() string {
	return "heartbeat of a foreign or former instance: " + e.From
}
