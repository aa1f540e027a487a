package order

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

// pause suspends a process: its calls wait until the pause ends.
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

// fakeSource provides a declaration that the test changes, the same for every process,
// and the engines' load reports.
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

// process is a controller with fault injection.
type process struct {
	controller *Controller
	engines    *fakeEngines
	pause      *pause
	cancel     context.CancelFunc
	done       chan struct{}
}

func startProcess(ctx context.Context, name string, service *platformtest.Service, engines map[string]*fakeEngine, source *fakeSource) *process {
	p := &process{pause: &pause{}, done: make(chan struct{})}
	p.engines = &fakeEngines{engines: engines, pause: p.pause}
	p.controller = New(Dependencies{
		Domain: "larisa-hall", Holder: name, KeyValue: service.Connect(name, p.pause.wait),
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
