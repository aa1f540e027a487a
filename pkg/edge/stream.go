package edge

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/lilacweir/lilacweir/pkg/exchange"
)

// Sizes of a stream's buffer in bytes.
const (
	streamBuffer = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 1 << 20
)

// Delimiters of server-sent events.
var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// errPartial reports that a stream ended inside an event.
var errPartial = errors.New("stream ended inside an event")

// relayStream passes complete events on as they arrive. If the stream breaks, data after the last
// complete event is discarded.
func (c *call) relayStream(ctx context.Context, answer *exchange.Answer) result {
	buffer := make([]byte, streamBuffer)
	fill := 0
	for {
		if fill == len(buffer) {
			if len(buffer) >= maxEvent {
				return c.rejectAnswer("event too long")
			}
			buffer = append(buffer, make([]byte, len(buffer))...)
		}
		n, err := c.read(answer, buffer[fill:])
		if n > 0 && fill == 0 {
			c.onPart()
		}
		if n > 0 && c.onData != nil {
			c.onData()
		}
		fill += n
		whole := bytes.LastIndex(buffer[:fill], eventEnd)
		if whole >= 0 {
			whole += len(eventEnd)
			if !c.overtake() {
				return overtaken
			}
			if passed := c.relayEvents(answer, buffer[:whole]); passed != nil {
				return callerGone
			}
			fill = copy(buffer, buffer[whole:fill])
		}
		if err != nil {
			return c.endStream(ctx, answer, fill, err)
		}
	}
}

// relayEvents passes complete events on, and the head before the first of them.
func (c *call) relayEvents(answer *exchange.Answer, events []byte) error {
	if !c.writer.started {
		c.recordOrigin()
		if err := c.writer.writeHead(answer.Status, c.streamHead(answer), -1); err != nil {
			return err
		}
	}
	if id := lastEventID(events); id != "" {
		c.writer.lastEvent = id
	}
	if c.onUnread != nil {
		c.onUnread(true)
		defer c.onUnread(false)
	}
	return c.writer.writePart(events)
}

// endStream ends the answer, or the attempt.
func (c *call) endStream(ctx context.Context, answer *exchange.Answer, left int, err error) result {
	if errors.Is(err, io.EOF) && left == 0 {
		if err := c.checkEnd(ctx, answer); err != nil {
			return c.classifyFailure(ctx, err)
		}
		if !c.overtake() {
			return overtaken
		}
		c.complete = true
		if c.writer.started {
			return done
		}
		return c.deliver(&bufferedAnswer{status: answer.Status, header: c.dialect.Answer(answer.Header)})
	}
	if errors.Is(err, io.EOF) {
		err = errPartial
	}
	return c.classifyFailure(ctx, &exchange.Error{Stage: exchange.Sent, Target: c.target, Err: err})
}

// lastEventID returns the last event ID among complete events, empty if there is none.
func lastEventID(events []byte) string {
	for end := len(events); end > 0; {
		start := bytes.LastIndexByte(events[:end-1], '\n') + 1
		line := events[start:end]
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
		end = start
	}
	return ""
}
