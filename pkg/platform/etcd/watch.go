package etcd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
)

// Watch implements platform.KeyValue. A deleted key is sent as an entry with neither
// value nor CreateRevision.
//
// After Options.WatchIdle without a message the watch is reopened at the next revision,
// which delivers changes that were lost on a dead connection. The channel is closed if
// that fails, so an unreachable service is detected within WatchIdle plus CallTimeout. A
// key that did not change since the revision can be watched even if the service has
// compacted its history since then.
func (c *Client) Watch(ctx context.Context, key string, after int64) (<-chan platform.Entry, error) {
	w := &watch{client: c, key: c.fullKey(key), next: after + 1, entries: make(chan platform.Entry)}
	first, err := w.open(ctx)
	if err != nil {
		return nil, &platform.Error{Service: service, Call: "watch", Err: classify(err)}
	}
	go w.follow(ctx, first)
	return w.entries, nil
}

// watch is the watch of one key over successive streams.
type watch struct {
	client  *Client
	key     []byte
	entries chan platform.Entry
	// next is the first revision that has not been passed on.
	next int64
}

// stream is one open request of a watch.
type stream struct {
	response *http.Response
	decoder  *json.Decoder
	cancel   context.CancelFunc
}

func (s *stream) close() {
	s.cancel()
	_ = s.response.Body.Close()
}

// open opens a stream from the next revision on. If the service has compacted that
// revision, it checks whether the key has changed since.
func (w *watch) open(ctx context.Context) (*stream, error) {
	opened, err := w.openAt(ctx)
	var status *StatusError
	if !errors.As(err, &status) || status.Code != wire.CodeOutOfRange {
		return opened, err
	}
	revision, unchanged, probeErr := w.probe(ctx)
	if probeErr != nil {
		return nil, probeErr
	}
	if !unchanged {
		return nil, err
	}
	w.next = revision + 1
	return w.openAt(ctx)
}

// probe returns the service's revision and whether the key is unchanged.
func (w *watch) probe(ctx context.Context) (revision int64, unchanged bool, err error) {
	request := wire.RangeRequest{Key: w.key, KeysOnly: true}
	var response wire.RangeResponse
	if err := w.client.call(ctx, "watch", wire.PathRange, false, request, &response); err != nil {
		return 0, false, err
	}
	if len(response.KVs) == 0 {
		return response.Header.Revision, w.next == 1, nil
	}
	return response.Header.Revision, response.KVs[0].ModRevision < w.next, nil
}

// openAt opens a stream and waits until the service confirms the watch.
func (w *watch) openAt(ctx context.Context) (*stream, error) {
	request := wire.WatchRequest{Create: wire.WatchCreate{Key: w.key, StartRevision: w.next}}
	body, err := json.Marshal(request)
	if err != nil {
		return nil, fmt.Errorf("request: %w", err)
	}
	ctx, cancel := context.WithCancel(ctx)
	opening := time.AfterFunc(w.client.options.CallTimeout, cancel)
	opened, err := w.client.openStream(ctx, body)
	if err != nil {
		cancel()
		return nil, err
	}
	opened.cancel = cancel
	if !opening.Stop() {
		opened.close()
		return nil, context.DeadlineExceeded
	}
	return opened, nil
}

// openStream posts a watch and reads its first message. If the request fails, the next endpoint
// becomes the preferred one.
func (c *Client) openStream(ctx context.Context, body []byte) (*stream, error) {
	index := int(c.preferred.Load())
	var opened *stream
	err := c.authorized(ctx, index, func(token string) error {
		response, err := c.post(ctx, index, wire.PathWatch, token, body)
		if err != nil {
			c.preferred.CompareAndSwap(int64(index), int64((index+1)%len(c.options.Endpoints)))
			return err
		}
		opened, err = readFirstMessage(response)
		return err
	})
	return opened, err
}

// readFirstMessage reads the first message of a stream.
func readFirstMessage(response *http.Response) (*stream, error) {
	opened := &stream{response: response, decoder: json.NewDecoder(response.Body)}
	var first wire.WatchMessage
	if err := opened.decoder.Decode(&first); err != nil {
		_ = response.Body.Close()
		return nil, fmt.Errorf("answer: %w", err)
	}
	if err := messageError(first); err != nil {
		_ = response.Body.Close()
		return nil, err
	}
	return opened, nil
}

func messageError(message wire.WatchMessage) error {
	if message.Error != nil {
		return &StatusError{Status: http.StatusOK, Code: message.Error.GRPCCode, Message: message.Error.Message}
	}
	if message.Result != nil && message.Result.Canceled {
		code := wire.CodeUnavailable
		switch {
		case message.Result.CompactRevision > 0:
			code = wire.CodeOutOfRange
		case message.Result.CancelReason == wire.MessageInvalidToken:
			code = wire.CodeUnauthenticated
		}
		return &StatusError{Status: http.StatusOK, Code: code, Message: "watch cancelled " + message.Result.CancelReason}
	}
	return nil
}

// follow passes on the events of successive streams.
func (w *watch) follow(ctx context.Context, current *stream) {
	defer close(w.entries)
	for w.forward(ctx, current) {
		var err error
		if current, err = w.open(ctx); err != nil {
			return
		}
	}
}

// forward passes on a stream's events until it ends. silent reports whether it was closed
// because it was idle.
func (w *watch) forward(ctx context.Context, current *stream) (silent bool) {
	defer current.close()
	var idle atomic.Bool
	timer := time.AfterFunc(w.client.options.WatchIdle, func() {
		idle.Store(true)
		current.cancel()
	})
	defer timer.Stop()
	for {
		var message wire.WatchMessage
		if err := current.decoder.Decode(&message); err != nil {
			return idle.Load() && ctx.Err() == nil
		}
		timer.Stop()
		if messageError(message) != nil || message.Result == nil {
			return false
		}
		if !w.send(ctx, message.Result.Events) {
			return false
		}
		timer.Reset(w.client.options.WatchIdle)
	}
}

func (w *watch) send(ctx context.Context, events []wire.Event) bool {
	for _, event := range events {
		entry := w.client.entry(event.KV)
		if event.Type == wire.EventDelete {
			entry.Value, entry.CreateRevision = nil, 0
		}
		select {
		case w.entries <- entry:
		case <-ctx.Done():
			return false
		}
		w.next = event.KV.ModRevision + 1
	}
	return true
}
