package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/mirror"
)

// ServiceName is the name under which instances serve each other by net/rpc.
const ServiceName = "Peer"

// Methods of the service.
const (
	methodExchange = ServiceName + ".Exchange"
	methodCopy     = ServiceName + ".Copy"
)

// Message is one side of an exchange.
type Message struct{ States []State }

// CopyArgs asks for the copy of the store if it is newer than Revision.
type CopyArgs struct{ Revision int64 }

// CopyReply holds the copy; nil when it is not newer.
type CopyReply struct{ Snapshot *mirror.Snapshot }

// Options of a Gossip.
type Options struct {
	Self  func() State
	Fleet *board.Section[fleet.View]
	// Store is this instance's copy of the platform's store.
	Store  *mirror.Mirror
	Client *control.Clients
	Clock  clock.Clock
	Log    zerolog.Logger
}

// Times and sizes of the exchange.
const (
	// round passes between exchanges inside the region. Loads are then at most about
	// two rounds old, less than the time of a short request.
	round = 200 * time.Millisecond
	// hurryPause keeps rounds apart that were asked for.
	hurryPause = 20 * time.Millisecond
	// farEvery is every how many rounds another region is asked; bytes between
	// regions are dear, and what is asked for there changes slowly.
	farEvery = 3
	// fanout is how many instances of the own region are asked in a round.
	fanout = 3
	// callTimeout bounds an exchange: two round trips between regions, and some work.
	callTimeout = 600 * time.Millisecond
	// forgetAfter is when an instance that is silent and not registered is dropped.
	forgetAfter = 30 * time.Second
	// storeStale is for how long the store may say nothing before a peer's newer
	// copy is asked for: a little longer than one waiting call.
	storeStale = 600 * time.Millisecond
)

// Gossip exchanges states. It is safe for concurrent use.
type Gossip struct {
	options Options
	view    board.Section[View]
	mu      sync.Mutex
	table   map[string]*Known
	// urgent holds one value while a round should come early.
	urgent chan struct{}
}

// New returns a Gossip that knows nobody.
func New(options Options) *Gossip {
	return &Gossip{options: options, table: make(map[string]*Known), urgent: make(chan struct{}, 1)}
}

// Hurry asks for an exchange inside the region before the next round is due: this
// instance has just sent so much to an upstream that the others would choose
// differently if they knew. It never waits.
func (g *Gossip) Hurry() {
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// View returns the section that holds what is known of the others.
func (g *Gossip) View() *board.Section[View] { return &g.view }

// Service is what other instances call.
type Service struct{ gossip *Gossip }

// Register offers the service.
func (g *Gossip) Register(server *control.Server) error {
	return server.Register(ServiceName, &Service{gossip: g})
}

// Exchange takes what another instance knows and returns what this one knows.
func (s *Service) Exchange(args Message, reply *Message) error {
	g := s.gossip
	g.take(args.States)
	region := ""
	if len(args.States) > 0 {
		region = args.States[0].Instance.Region
	}
	*reply = Message{States: g.tell(region)}
	return nil
}

// Copy returns this instance's copy of the store when it is newer.
func (s *Service) Copy(args CopyArgs, reply *CopyReply) error {
	snapshot := s.gossip.options.Store.Snapshot().Load()
	if snapshot != nil && snapshot.Revision > args.Revision {
		reply.Snapshot = snapshot
	}
	return nil
}

// Run exchanges until ctx ends.
func (g *Gossip) Run(ctx context.Context) {
	var due time.Time
	for n := 0; ctx.Err() == nil; {
		now := g.options.Clock.Now()
		if now.Before(due) && !g.waitHurry(ctx, due.Sub(now)) {
			continue
		}
		far := !g.options.Clock.Now().Before(due)
		if far {
			due = g.options.Clock.Now().Add(round)
			n++
		}
		g.publish()
		g.exchangeRound(ctx, far && n%farEvery == 0)
		g.catchUp(ctx)
		clock.Sleep(ctx, hurryPause)
	}
}

// waitHurry waits until a round is due, and says whether one is wanted before.
func (g *Gossip) waitHurry(ctx context.Context, left time.Duration) bool {
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-g.urgent:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// Tell tells everyone of the own region at once: a leaving mark must not wait.
func (g *Gossip) Tell(ctx context.Context) {
	var all errgroup.Group
	for _, instance := range g.others() {
		all.Go(func() error { g.exchange(ctx, instance); return nil })
	}
	// Failures are logged by exchange.
	_ = all.Wait()
}

func (g *Gossip) exchangeRound(ctx context.Context, far bool) {
	var all errgroup.Group
	for _, instance := range g.partners(far) {
		all.Go(func() error { g.exchange(ctx, instance); return nil })
	}
	_ = all.Wait()
}

// partners picks whom to ask in this round.
func (g *Gossip) partners(far bool) []fleet.Instance {
	self := g.options.Self().Instance
	var near, others []fleet.Instance
	for _, instance := range g.others() {
		if instance.Region == self.Region {
			near = append(near, instance)
		} else {
			others = append(others, instance)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	picked := near[:min(fanout, len(near))]
	if far && len(others) > 0 {
		picked = append(picked, others[rand.IntN(len(others))])
	}
	return picked
}

// others lists the instances that are registered or were heard of lately.
func (g *Gossip) others() []fleet.Instance {
	self := g.options.Self().Instance.Name
	byName := make(map[string]fleet.Instance)
	if view := g.options.Fleet.Load(); view != nil {
		for _, instance := range view.Instances {
			byName[instance.Name] = instance
		}
	}
	g.mu.Lock()
	for name, known := range g.table {
		if before, ok := byName[name]; !ok || known.Instance.Incarnation > before.Incarnation {
			byName[name] = known.Instance
		}
	}
	g.mu.Unlock()
	delete(byName, self)
	list := make([]fleet.Instance, 0, len(byName))
	for _, instance := range byName {
		list = append(list, instance)
	}
	return list
}

func (g *Gossip) exchange(ctx context.Context, instance fleet.Instance) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply Message
	err := g.options.Client.Call(ctx, instance.Gossip, methodExchange, Message{States: g.tell(instance.Region)}, &reply)
	if err != nil {
		g.options.Log.Debug().Err(err).Str("peer", instance.Name).Msg("peer-unreached")
		return
	}
	g.take(reply.States)
}

// tell is what is said to an instance of a region, this instance first.
func (g *Gossip) tell(region string) []State {
	self := g.options.Self()
	own := self.Instance.Region
	states := make([]State, 0, 1+len(g.table))
	states = append(states, self)
	g.mu.Lock()
	now := g.options.Clock.Now()
	for _, known := range g.table {
		if known.Live(now) {
			states = append(states, known.State)
		}
	}
	g.mu.Unlock()
	if region == own {
		return states
	}
	for i := range states {
		states[i] = states[i].brief()
	}
	return states
}

// take learns from states.
func (g *Gossip) take(states []State) {
	self := g.options.Self().Instance.Name
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i := range states {
		state := &states[i]
		if state.Instance.Name == self {
			continue
		}
		before := g.table[state.Instance.Name]
		if before == nil || state.newer(&before.State) {
			g.note(before, state, now)
			g.table[state.Instance.Name] = &Known{State: *state, Heard: now}
		}
	}
}

// note logs what is new of an instance.
func (g *Gossip) note(before *Known, state *State, now time.Time) {
	switch {
	case before == nil, before.Instance.Incarnation != state.Instance.Incarnation:
		g.options.Log.Info().Str("peer", state.Instance.Name).Str("region", state.Instance.Region).Msg("peer-found")
	case !before.Live(now):
		g.options.Log.Info().Str("peer", state.Instance.Name).Dur("silent_ms", now.Sub(before.Heard)).Msg("peer-regained")
	case state.Leaving && !before.Leaving:
		g.options.Log.Info().Str("peer", state.Instance.Name).Msg("peer-leaving")
	}
}

// publish makes the view from the table, and forgets who is long silent.
func (g *Gossip) publish() {
	now := g.options.Clock.Now()
	g.mu.Lock()
	for name, known := range g.table {
		if now.Sub(known.Heard) > forgetAfter {
			delete(g.table, name)
		}
	}
	view := newView(g.table, now)
	g.mu.Unlock()
	g.view.Store(view)
}

// catchUp takes a peer's copy of the store when the store itself is not heard.
func (g *Gossip) catchUp(ctx context.Context) {
	store := g.options.Store
	if g.options.Clock.Now().Sub(store.Reached()) < storeStale {
		return
	}
	revision := int64(0)
	if snapshot := store.Snapshot().Load(); snapshot != nil {
		revision = snapshot.Revision
	}
	newest := g.newest(revision)
	if newest == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply CopyReply
	if err := g.options.Client.Call(ctx, newest, methodCopy, CopyArgs{Revision: revision}, &reply); err != nil {
		g.options.Log.Debug().Err(err).Msg("copy-failed")
		return
	}
	if store.Adopt(reply.Snapshot) {
		g.options.Log.Info().Int64("revision", reply.Snapshot.Revision).Str("from", newest).Msg("copy-adopted")
	}
}

// newest returns the address of the live instance with the newest copy above a
// revision; empty when there is none.
func (g *Gossip) newest(above int64) string {
	now := g.options.Clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	address := ""
	for _, known := range g.table {
		if known.Store > above && known.Live(now) {
			above, address = known.Store, known.Instance.Gossip
		}
	}
	return address
}
