package client

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// minValidity is the least time between two fetches of the instance list.
const minValidity = 100 * time.Millisecond

// listTimeout bounds one fetch of the instance list.
const listTimeout = time.Second

// Follower sends requests according to the instance list. It uses the instances of its
// own failure domain round-robin, and retries with the next one if an instance is
// leaving, has no configuration or is unreachable, provided that the request was not run
// or has an idempotency key.
type Follower struct {
	client *Client
	seeds  []string

	mu      sync.Mutex
	list    Instances
	readAt  time.Time
	next    int
	started bool
}

// NewFollower returns a follower that fetches the first list from the seeds.
func NewFollower(client *Client, seeds []string) *Follower {
	return &Follower{client: client, seeds: seeds}
}

// Chat sends a chat request, trying the instances in order.
func (f *Follower) Chat(ctx context.Context, chat ChatRequest, options Options, onText func(string)) *Answer {
	return f.try(ctx, options, func(gateway string) *Answer {
		return f.client.Chat(ctx, gateway, chat, options, onText)
	})
}

// Call calls a plain service, trying the instances in order.
func (f *Follower) Call(ctx context.Context, method, path string, body []byte, options Options) *Answer {
	return f.try(ctx, options, func(gateway string) *Answer {
		return f.client.Call(ctx, gateway, method, path, body, options)
	})
}

// NewKey returns a new idempotency key.
func (f *Follower) NewKey(ctx context.Context) (string, error) {
	if _, err := f.gateways(ctx); err != nil {
		return "", err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.list.NewKey(), nil
}

func (f *Follower) try(ctx context.Context, options Options, send func(gateway string) *Answer) *Answer {
	gateways, err := f.gateways(ctx)
	if err != nil {
		return &Answer{Outcome: outcome.NotRun, Err: err}
	}
	var answer *Answer
	for _, gateway := range gateways {
		answer = mergeAnswers(answer, send(gateway))
		if !shouldTryNext(answer, options) || ctx.Err() != nil {
			return answer
		}
		f.expire()
	}
	return answer
}

// mergeAnswers returns the answer that holds after a retry: an unknown outcome of an
// earlier attempt remains if the latest one reached no instance.
func mergeAnswers(earlier, latest *Answer) *Answer {
	if earlier != nil && earlier.Outcome == outcome.Unknown && latest.Status == 0 && latest.Outcome == outcome.NotRun {
		return earlier
	}
	return latest
}

// shouldTryNext returns whether to send the request to another instance: it was not
// run or has an idempotency key, and the cause may be limited to this instance.
func shouldTryNext(answer *Answer, options Options) bool {
	repeatable := answer.Outcome == outcome.Unknown && options.IdempotencyKey != ""
	if answer.Outcome != outcome.NotRun && !repeatable {
		return false
	}
	switch answer.Refusal.Type {
	case outcome.ReasonDraining, outcome.ReasonNoConfiguration:
		return true
	}
	return answer.Status == 0
}

// expire makes the next request fetch the list.
func (f *Follower) expire() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.readAt = time.Time{}
}

// gateways returns the addresses to try, in order.
func (f *Follower) gateways(ctx context.Context) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	validity := max(time.Duration(f.list.ValidMS)*time.Millisecond, minValidity)
	if !f.started || time.Since(f.readAt) > validity {
		if err := f.refresh(ctx); err != nil {
			return nil, err
		}
	}
	f.next++
	return rotate(f.list.Instances, f.next), nil
}

// refresh fetches the list from the known instances, then from the seeds.
func (f *Follower) refresh(ctx context.Context) error {
	var failure error
	for _, gateway := range append(rotate(f.list.Instances, f.next), f.seeds...) {
		list, err := f.fetchInstances(ctx, gateway)
		if err == nil && len(list.Instances) > 0 {
			f.list, f.readAt, f.started = list, time.Now(), true
			return nil
		}
		failure = err
	}
	if f.started {
		return nil
	}
	return fmt.Errorf("no gateway gave the instance list: %w", failure)
}

func (f *Follower) fetchInstances(ctx context.Context, gateway string) (Instances, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	return f.client.Instances(ctx, gateway)
}

// rotate returns the addresses of the first instance's failure domain, rotated by turn,
// followed by those of other failure domains.
func rotate(list []Instance, turn int) []string {
	var local, remote []string
	for _, instance := range list {
		if instance.Domain == list[0].Domain {
			local = append(local, instance.Address)
		} else {
			remote = append(remote, instance.Address)
		}
	}
	if len(local) == 0 {
		return nil
	}
	first := turn % len(local)
	ordered := append([]string{}, local[first:]...)
	ordered = append(ordered, local[:first]...)
	return append(ordered, remote...)
}
