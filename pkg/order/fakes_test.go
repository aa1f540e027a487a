package order

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// fakeService is the part of the key-value service that orders need.
type fakeService struct {
	mu       sync.Mutex
	revision int64
	lastID   platform.LeaseID
	leases   map[platform.LeaseID]time.Time
	entry    platform.Entry
	owner    platform.LeaseID
	down     bool
	// loseAnswers is how many writes' answers are lost.
	loseAnswers int
}

func newFakeService() *fakeService {
	return &fakeService{leases: make(map[platform.LeaseID]time.Time)}
}

func (s *fakeService) expire() {
	for id, end := range s.leases {
		if !time.Now().Before(end) {
			delete(s.leases, id)
		}
	}
	if _, ok := s.leases[s.owner]; !ok {
		s.entry, s.owner = platform.Entry{}, 0
	}
}

func (s *fakeService) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// loseNext loses the answer of the next claim.
func (s *fakeService) loseNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseAnswers++
}

// fakeKeyValue is one process's way to the service; paused holds its calls back.
type fakeKeyValue struct {
	platform.KeyValue
	service *fakeService
	pause   *pause
}

func (k *fakeKeyValue) enter() error {
	k.pause.wait()
	k.service.mu.Lock()
	k.service.expire()
	if k.service.down {
		return platform.ErrUnavailable
	}
	return nil
}

func (k *fakeKeyValue) leave() {
	k.service.mu.Unlock()
	k.pause.wait()
}

func (k *fakeKeyValue) Get(context.Context, string) (platform.Entry, bool, error) {
	err := k.enter()
	defer k.leave()
	return k.service.entry, k.service.owner != 0, err
}

func (k *fakeKeyValue) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, error) {
	err := k.enter()
	defer k.leave()
	if err != nil {
		return 0, err
	}
	k.service.lastID++
	k.service.leases[k.service.lastID] = time.Now().Add(ttl)
	return k.service.lastID, nil
}

func (k *fakeKeyValue) Swap(_ context.Context, _ map[string]int64, puts []platform.Put) (int64, error) {
	err := k.enter()
	defer k.leave()
	s := k.service
	switch {
	case err != nil:
		return 0, err
	case s.owner != 0:
		return 0, platform.ErrConflict
	}
	if _, ok := s.leases[puts[0].Lease]; !ok {
		return 0, platform.ErrLeaseLost
	}
	s.revision++
	s.owner = puts[0].Lease
	s.entry = platform.Entry{Key: puts[0].Key, Value: puts[0].Value, ModRevision: s.revision, CreateRevision: s.revision}
	if s.loseAnswers > 0 {
		s.loseAnswers--
		return 0, platform.ErrUnavailable
	}
	return s.revision, nil
}

func (k *fakeKeyValue) KeepAlive(_ context.Context, lease platform.LeaseID) (time.Duration, error) {
	err := k.enter()
	defer k.leave()
	if err != nil {
		return 0, err
	}
	if _, ok := k.service.leases[lease]; !ok {
		return 0, platform.ErrLeaseLost
	}
	k.service.leases[lease] = time.Now().Add(LeaseTTL)
	return LeaseTTL, nil
}

func (k *fakeKeyValue) Revoke(_ context.Context, lease platform.LeaseID) error {
	err := k.enter()
	defer k.leave()
	if err == nil {
		delete(k.service.leases, lease)
	}
	return err
}

// pause stops a process: its calls wait until it goes on.
type pause struct {
	mu    sync.Mutex
	until time.Time
}

func (p *pause) begin(length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.until = time.Now().Add(length)
}

func (p *pause) wait() {
	p.mu.Lock()
	left := time.Until(p.until)
	p.mu.Unlock()
	if left > 0 {
		time.Sleep(left)
	}
}

// fakeEngine takes orders, and remembers each that it carried out.
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

// backwards returns the first order that was carried out after a newer one: the
// declared versions are v1, v2 and so on.
func (e *fakeEngine) backwards() error {
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

// fakeEngines is one process's way to the engines. Each fault strikes once.
type fakeEngines struct {
	engines map[string]*fakeEngine
	pause   *pause
	mu      sync.Mutex
	faults  callFaults
}

// callFaults are faults of the next call.
type callFaults struct {
	// pauseAfterRead pauses the process when it has read an engine's state.
	pauseAfterRead time.Duration
	// pauseAfterPermit pauses it when an order was permitted, before that leaves.
	pauseAfterPermit time.Duration
	// late fails an order's call, and delivers the order after so long.
	late time.Duration
}

func (f *fakeEngines) set(change func(*callFaults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.faults)
}

// take returns one of the faults, and takes it away.
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

// fakeSource is a declaration that a test changes, seen by every process, and
// the engines' reports.
type fakeSource struct {
	engines     map[string]*fakeEngine
	mu          sync.Mutex
	declaration *config.Declaration
}

func (s *fakeSource) Declaration() *config.Declaration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.declaration
}

func (s *fakeSource) declare(declaration *config.Declaration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.declaration = declaration
}

func (s *fakeSource) Reported(upstream string) (string, bool) {
	return s.engines[upstream].read().Version, true
}

func (s *fakeSource) Candidate() bool { return true }

// process is a controller with its faults.
type process struct {
	controller *Controller
	engines    *fakeEngines
	pause      *pause
	cancel     context.CancelFunc
	done       chan struct{}
}

func startProcess(ctx context.Context, name string, service *fakeService, engines map[string]*fakeEngine, source *fakeSource) *process {
	p := &process{pause: &pause{}, done: make(chan struct{})}
	p.engines = &fakeEngines{engines: engines, pause: p.pause}
	p.controller = New(Dependencies{
		Domain: "larisa-hall", Holder: name, KeyValue: &fakeKeyValue{service: service, pause: p.pause},
		Engines: p.engines, Source: source, Clock: clock.System{}, Log: zerolog.Nop(),
	})
	ctx, p.cancel = context.WithCancel(ctx)
	go func() {
		defer close(p.done)
		p.controller.Run(ctx)
	}()
	return p
}

func (p *process) stop() {
	p.cancel()
	<-p.done
}
