package order

import (
	"context"
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
