package load

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Run is one run of load.
type Run struct {
	Mix *Mix
	// Seeds lists by failure domain the gateway addresses that serve the instance list.
	Seeds map[string][]string
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// Seed fixes the arrivals and the requests.
	Seed uint64
	// Rate is in requests per second. Length is the duration of the arrivals.
	Rate   float64
	Length time.Duration
	// Timeout bounds one request.
	Timeout time.Duration
	// Dial connects to gateways; nil uses the default dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	// Answered counts the requests that have finished so far.
	Answered atomic.Int64

	followers map[string]*client.Follower
	homes     map[string]string
}

// Send sends the load and waits for every answer. When ctx is cancelled, it sends
// no further requests but still waits for those in flight.
func (r *Run) Send(ctx context.Context) (*Report, error) {
	if err := r.Mix.check(); err != nil {
		return nil, fmt.Errorf("mix: %w", err)
	}
	r.prepare()
	report := newReport(r.Mix)
	source := newRand(r.Seed + 1)
	begin := time.Now()
	var running sync.WaitGroup
	for _, due := range Arrivals(r.Seed, r.Rate, r.Length) {
		drawn := r.Mix.draw(source)
		at := begin.Add(due)
		if !sleepUntil(ctx, at) {
			break
		}
		running.Go(func() {
			report.add(r.sendOne(drawn, at))
			r.Answered.Add(1)
		})
	}
	running.Wait()
	report.Elapsed = time.Since(begin)
	return report, nil
}

func (r *Run) prepare() {
	r.followers = make(map[string]*client.Follower)
	r.homes = make(map[string]string)
	for _, caller := range r.Mix.Callers {
		r.followers[caller.Name] = client.NewFollower(client.New(caller.Key, r.Dial), r.Seeds[caller.Domain])
		r.homes[caller.Name] = caller.Region
	}
}

// sendOne sends one request and measures it from its due time.
func (r *Run) sendOne(drawn request, due time.Time) *sample {
	ctx, cancel := context.WithTimeout(context.Background(), r.Timeout)
	defer cancel()
	s := &sample{request: drawn}
	follower := r.followers[drawn.caller]
	if drawn.item.Chat != nil {
		s.chat(ctx, follower, due)
	} else {
		s.call(ctx, follower)
	}
	s.whole = time.Since(due)
	region := r.Regions[s.answer.Domain]
	s.remote = region != "" && region != r.homes[drawn.caller]
	return s
}

func (s *sample) chat(ctx context.Context, follower *client.Follower, due time.Time) {
	last := due
	s.answer = follower.Chat(ctx, s.request.chat, client.Options{}, func(string) {
		now := time.Now()
		if s.first == 0 {
			s.first = now.Sub(due)
		} else {
			s.gaps = append(s.gaps, now.Sub(last))
		}
		last = now
	})
}

func (s *sample) call(ctx context.Context, follower *client.Follower) {
	call := s.request.item.Call
	var options client.Options
	if call.Key {
		key, err := follower.NewKey(ctx)
		if err != nil {
			s.answer = &client.Answer{Outcome: outcome.NotRun, Err: err}
			return
		}
		options.IdempotencyKey = key
	}
	s.answer = follower.Call(ctx, call.Method, call.Path, s.request.body, options)
}

// sleepUntil waits until a time and returns false if ctx was cancelled first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
