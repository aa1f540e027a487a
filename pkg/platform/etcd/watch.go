package etcd

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/etcd/wire"
)

// Watch implements platform.KeyValue. A removed key is sent as an entry with
// neither value nor CreateRevision. The channel also closes after
// Options.WatchIdle without a message: read the key, and watch again.
func (c *Client) Watch(ctx context.Context, key string, after int64) (<-chan platform.Entry, error) {
	ask := wire.WatchRequest{Create: wire.WatchCreate{Key: c.full(key), StartRevision: after + 1}}
	body, err := json.Marshal(ask)
	if err != nil {
		return nil, &platform.Error{Service: service, Call: "watch", Err: err}
	}
	ctx, cancel := context.WithCancel(ctx)
	opening := time.AfterFunc(c.options.CallTimeout, cancel)
	stream, err := c.open(ctx, body)
	if err != nil {
		cancel()
		return nil, &platform.Error{Service: service, Call: "watch", Err: classify(err)}
	}
	if !opening.Stop() {
		cancel()
		_ = stream.response.Body.Close()
		return nil, &platform.Error{Service: service, Call: "watch", Err: platform.ErrUnavailable}
	}
	entries := make(chan platform.Entry)
	go c.follow(ctx, cancel, stream, entries)
	return entries, nil
}

// stream is an open watch.
type stream struct {
	response *http.Response
	decoder  *json.Decoder
}

// open starts a watch and waits until the service says that it stands.
func (c *Client) open(ctx context.Context, body []byte) (*stream, error) {
	index := int(c.preferred.Load())
	response, err := c.post(ctx, index, wire.PathWatch, body)
	if err != nil {
		c.preferred.CompareAndSwap(int64(index), int64((index+1)%len(c.options.Endpoints)))
		return nil, err
	}
	opened := &stream{response: response, decoder: json.NewDecoder(response.Body)}
	var first wire.WatchMessage
	if err := opened.decoder.Decode(&first); err != nil {
		_ = response.Body.Close()
		return nil, err
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
		if message.Result.CompactRevision > 0 {
			code = wire.CodeOutOfRange
		}
		return &StatusError{Status: http.StatusOK, Code: code, Message: "watch cancelled"}
	}
	return nil
}

// follow passes the events on until the stream or ctx ends.
func (c *Client) follow(ctx context.Context, cancel context.CancelFunc, s *stream, entries chan<- platform.Entry) {
	defer close(entries)
	defer s.response.Body.Close()
	defer cancel()
	idle := time.AfterFunc(c.options.WatchIdle, cancel)
	defer idle.Stop()
	for {
		var message wire.WatchMessage
		if err := s.decoder.Decode(&message); err != nil {
			return
		}
		idle.Reset(c.options.WatchIdle)
		if messageError(message) != nil || message.Result == nil {
			return
		}
		if !c.send(ctx, message.Result.Events, entries) {
			return
		}
	}
}

func (c *Client) send(ctx context.Context, events []wire.Event, entries chan<- platform.Entry) bool {
	for _, event := range events {
		entry := c.entry(event.KV)
		if event.Type == wire.EventDelete {
			entry.Value, entry.CreateRevision = nil, 0
		}
		select {
		case entries <- entry:
		case <-ctx.Done():
			return false
		}
	}
	return true
}
