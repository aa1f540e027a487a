// Package engine is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes in bounded memory, honours priorities, resumes and
// cancels streams, reports its load with a lag and cache events late and with gaps,
// and accepts orders with fencing numbers, which it checks or ignores.
//
// The text of an answer depends only on the prompt, so that an answer resumed on any
// engine equals an uninterrupted one.
package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// Settings configures an engine.
type Settings struct {
	Name    string `yaml:"name" validate:"required,name"`
	Domain  string `yaml:"domain" validate:"required,name"`
	Address string `yaml:"address" validate:"required,hostport"`
	// Serves is the model, Version the initially loaded version.
	Serves  string `yaml:"serves" validate:"required,name"`
	Version string `yaml:"version" validate:"required,name"`
	// Concurrency is the number of slots in the batch, Queue the number of requests
	// that may wait for one.
	Concurrency int `yaml:"concurrency" validate:"gte=1"`
	Queue       int `yaml:"queue" validate:"gte=0"`
	// DecodeRate is the tokens per second of a stream that runs alone. Each further
	// stream in the batch lengthens a token's time by the fraction BatchCost.
	DecodeRate float64 `yaml:"decode_rate" validate:"gt=0"`
	BatchCost  float64 `yaml:"batch_cost" validate:"gte=0"`
	// PrefillRate is the prompt tokens per second, one prompt at a time.
	PrefillRate float64 `yaml:"prefill_rate" validate:"gt=0"`
	// CacheTokens is the capacity of the prefix cache, in tokens.
	CacheTokens int `yaml:"cache_tokens" validate:"gte=0"`
	// LoadLag and EventLag are the delays of load reports and cache events.
	LoadLag  time.Duration `yaml:"load_lag" validate:"gt=0"`
	EventLag time.Duration `yaml:"event_lag" validate:"gte=0"`
	// LoadTime is the time that loading a version takes.
	LoadTime time.Duration `yaml:"load_time" validate:"gte=0"`
	// ChecksFencing makes the engine reject orders with an old fencing number.
	ChecksFencing bool `yaml:"checks_fencing,omitempty"`
}

// Engine is a stand-in model engine.
type Engine struct {
	settings       Settings
	clock          clock.Clock
	journal        *journal.Journal
	scheduler      scheduler
	cache          *cache
	injectedFaults injectedFaults
	// prefill is a semaphore: one prompt is processed at a time.
	prefill chan struct{}

	mu      sync.Mutex
	streams map[string]map[*stream]struct{}
	orders  engineapi.OrderState
	// latest and previous are the last two load samples; the older one is reported.
	latest, previous sample
}

type sample struct {
	at   time.Time
	load engineapi.Load
}

// New returns an engine that records what it processes in the journal.
func New(settings Settings, c clock.Clock, j *journal.Journal) *Engine {
	e := &Engine{
		settings:       settings,
		clock:          c,
		journal:        j,
		scheduler:      scheduler{slots: settings.Concurrency},
		cache:          newCache(c, settings.CacheTokens, settings.EventLag),
		injectedFaults: injectedFaults{current: noFaults()},
		prefill:        make(chan struct{}, 1),
		streams:        make(map[string]map[*stream]struct{}),
		orders:         engineapi.OrderState{Version: settings.Version},
	}
	e.latest = e.sample()
	e.previous = e.latest
	return e
}

// Run samples the load until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	ticker := time.NewTicker(e.settings.LoadLag)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		fresh := e.sample()
		e.mu.Lock()
		e.previous, e.latest = e.latest, fresh
		e.mu.Unlock()
	}
}

// Handler serves the engine's API.
func (e *Engine) Handler() http.Handler {
	server := echo.New()
	server.Use(e.markLeaving)
	server.POST(engineapi.PathChat, e.handleChat)
	server.POST(engineapi.PathCancel, e.handleCancel)
	server.GET(engineapi.PathLoad, e.handleLoad)
	server.GET(engineapi.PathCacheEvents, e.handleCacheEvents)
	server.POST(engineapi.PathOrders, e.handleOrder)
	server.GET(engineapi.PathOrders, e.handleOrderState)
	return server
}

// markLeaving sets the leaving header on every response of a leaving engine.
func (e *Engine) markLeaving(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if e.injectedFaults.load().leaving() {
			c.Response().Header().Set(header.Leaving, header.True)
		}
		return next(c)
	}
}

// currentDecodeRate returns the rate of one stream at the current batch size.
func (e *Engine) currentDecodeRate() float64 {
	running, _ := e.scheduler.load()
	others := float64(max(running-1, 0))
	return e.settings.DecodeRate / (1 + e.settings.BatchCost*others) / e.injectedFaults.load().slowFactor
}

func (e *Engine) sample() sample {
	running, queued := e.scheduler.load()
	e.mu.Lock()
	version := e.orders.Version
	e.mu.Unlock()
	active := e.injectedFaults.load()
	if active.misreport {
		running, queued = 0, 0
	}
	return sample{at: e.clock.Now(), load: engineapi.Load{
		Running:     running,
		Queued:      queued,
		Concurrency: e.settings.Concurrency,
		DecodeRate:  e.currentDecodeRate(),
		PrefillRate: e.settings.PrefillRate / active.slowFactor,
		Version:     version,
		Leaving:     active.leaving(),
		Prefixes:    e.cache.recentPrefixes(),
	}}
}
