package engine

import (
	"context"
	"net/http"
	"strconv"
	"strings"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/prefix"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// defaultTokens is the answer's length if the request does not set max_tokens.
const defaultTokens = 32

// finishReason is the finish reason of every complete answer.
const finishReason = "stop"

// stream is one accepted request.
type stream struct {
	id     string
	chat   engineapi.ChatRequest
	offset int
	// seed determines the answer's text.
	seed         uint64
	priorityRank int
	ctx          context.Context
	cancel       context.CancelFunc
	number       int
	faults       faults
}

func (e *Engine) handleChat(c echo.Context) error {
	if e.injectedFaults.load().leave || e.injectedFaults.consume(&e.injectedFaults.current.refuse) {
		return rejectNotStarted(c)
	}
	if e.injectedFaults.consume(&e.injectedFaults.current.fail) {
		return respondError(c, http.StatusInternalServerError, "failed on purpose")
	}
	s, status, problem := e.read(c)
	if problem != "" {
		return respondError(c, status, problem)
	}
	if !e.canAccept() {
		return rejectNotStarted(c)
	}
	defer s.cancel()
	c.Response().Header().Set(header.RequestID, s.responseID())
	e.addStream(s)
	defer e.removeStream(s)
	return e.serve(c, s)
}

func rejectNotStarted(c echo.Context) error {
	c.Response().Header().Set(header.NotStarted, header.True)
	c.Response().Header().Set(header.RetryAfter, "1")
	return respondError(c, http.StatusServiceUnavailable, "not started")
}

// canAccept reports whether a version is loaded and the queue is not full.
func (e *Engine) canAccept() bool {
	e.mu.Lock()
	loaded := e.orders.Version != ""
	e.mu.Unlock()
	_, queued := e.scheduler.load()
	return loaded && queued <= e.settings.Queue
}

// read parses and validates a request. A problem comes with its HTTP status.
func (e *Engine) read(c echo.Context) (s *stream, status int, problem string) {
	s = &stream{id: c.Request().Header.Get(header.RequestID), faults: e.injectedFaults.load()}
	if err := c.Bind(&s.chat); err != nil {
		return nil, http.StatusBadRequest, "body is not a chat request"
	}
	if s.chat.Model != e.settings.Serves {
		return nil, http.StatusNotFound, "no such model here"
	}
	if len(s.chat.Messages) == 0 || s.chat.MaxTokens < 0 {
		return nil, http.StatusBadRequest, "expected messages and max_tokens of at least 0"
	}
	if s.chat.MaxTokens == 0 {
		s.chat.MaxTokens = defaultTokens
	}
	known := false
	if s.priorityRank, known = priorityRank(s.chat.Priority); !known {
		return nil, http.StatusBadRequest, "expected priority low, normal or high"
	}
	if text := c.Request().Header.Get(header.ResumeOffset); text != "" {
		offset, err := strconv.Atoi(text)
		if err != nil || offset < 0 {
			return nil, http.StatusBadRequest, "expected a resume offset of at least 0"
		}
		s.offset = offset
	}
	if s.offset > 0 && s.faults.noResume {
		return nil, http.StatusConflict, "cannot resume"
	}
	hashes := prefix.Hashes(s.chat.Messages)
	s.seed = hashes[len(hashes)-1]
	s.ctx, s.cancel = context.WithCancel(c.Request().Context())
	return s, 0, ""
}

func (e *Engine) addStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.streams[s.id] == nil {
		e.streams[s.id] = make(map[*stream]struct{})
	}
	e.streams[s.id][s] = struct{}{}
}

func (e *Engine) removeStream(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams[s.id], s)
	if len(e.streams[s.id]) == 0 {
		delete(e.streams, s.id)
	}
}

// serve waits for a slot and writes the answer.
func (e *Engine) serve(c echo.Context, s *stream) error {
	if !e.scheduler.acquire(s.ctx, s.priorityRank) {
		return rejectNotStarted(c)
	}
	defer e.scheduler.release()
	request := c.Request()
	s.number = e.journal.Add(journal.Entry{
		Upstream: e.settings.Name, Domain: e.settings.Domain, Kind: journal.KindChat,
		RequestID: s.id, Caller: request.Header.Get(header.Caller), Method: request.Method, Path: request.URL.Path,
		IdempotencyKey: request.Header.Get(header.IdempotencyKey),
		Offset:         s.offset, Started: e.clock.Now(), Result: journal.ResultRunning,
	})
	result := journal.ResultBroken
	defer func() { e.finishEntry(s, result) }()
	if s.chat.Stream {
		result = e.streamAnswer(c, s)
	} else {
		result = e.wholeAnswer(c, s)
	}
	unanswered := result != journal.ResultFinished && !c.Response().Committed
	if result == journal.ResultBroken || unanswered {
		panic(http.ErrAbortHandler)
	}
	return nil
}

func (e *Engine) finishEntry(s *stream, result string) {
	e.journal.Update(s.number, func(entry *journal.Entry) {
		entry.Finished = e.clock.Now()
		entry.Result = result
	})
}

func (e *Engine) wholeAnswer(c echo.Context, s *stream) string {
	var text strings.Builder
	result := e.generate(s, func(content string, _ bool) error {
		text.WriteString(content)
		return nil
	})
	if result != journal.ResultFinished {
		return result
	}
	answer := engineapi.ChatAnswer{
		ID: s.responseID(), Object: engineapi.ObjectAnswer, Model: s.chat.Model,
		Choices: []engineapi.AnswerChoice{{
			Message:      prefix.Message{Role: "assistant", Content: text.String()},
			FinishReason: finishReason,
		}},
		Usage: engineapi.Usage{PromptTokens: prefix.Tokens(s.chat.Messages), CompletionTokens: s.chat.MaxTokens},
	}
	if c.JSON(http.StatusOK, answer) != nil {
		return journal.ResultCancelled
	}
	return result
}
