package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/prefix"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// vocabulary holds the words of the answers.
var vocabulary = [...]string{"sleep", "night", "rest", "room", "towel", "water", "linen", "early", "late", "steady", "short", "long", "calm", "full", "empty", "refill"}

// hashMultiplier is 2^64 divided by the golden ratio, for Fibonacci hashing of seed
// and index.
const hashMultiplier = 0x9e3779b97f4a7c15

// Content returns the text of one chunk of the answer to a prompt whose last
// prefix hash is seed.
func Content(seed uint64, index int) string {
	hashed := (seed ^ uint64(index)) * hashMultiplier
	return fmt.Sprintf("%s%d ", vocabulary[hashed>>60], index)
}

// generate emits the chunks of an answer at the engine's rate and returns the
// journal result.
func (e *Engine) generate(s *stream, emit func(content string, last bool) error) string {
	if !e.runPrefill(s) {
		return journal.ResultCancelled
	}
	due := time.Now()
	sent := 0
	for index := s.offset; index < s.chat.MaxTokens; index++ {
		due = due.Add(time.Duration(float64(time.Second) / e.currentDecodeRate()))
		if !clock.Sleep(s.ctx, time.Until(due)) {
			return journal.ResultCancelled
		}
		if result, end := e.injectFault(s, sent); end {
			return result
		}
		if emit(Content(s.responseSeed(), index), index == s.chat.MaxTokens-1) != nil {
			return journal.ResultCancelled
		}
		sent++
		e.journal.Update(s.number, func(entry *journal.Entry) { entry.Chunks = sent })
	}
	return journal.ResultFinished
}

// injectFault applies the faults that end an answer early.
func (e *Engine) injectFault(s *stream, sent int) (result string, end bool) {
	switch {
	case sent == s.faults.disconnectAfter:
		return journal.ResultBroken, true
	case sent == s.faults.stallAfter:
		<-s.ctx.Done()
		return journal.ResultCancelled, true
	case s.faults.truncate && s.offset+sent >= s.chat.MaxTokens/2:
		return journal.ResultTruncated, true
	}
	return "", false
}

// runPrefill simulates the prefill of uncached prompt tokens and of the skipped part
// of a resumed answer. It returns false if the request is cancelled.
func (e *Engine) runPrefill(s *stream) bool {
	select {
	case e.prefill <- struct{}{}:
	case <-s.ctx.Done():
		return false
	}
	defer func() { <-e.prefill }()
	uncached := e.cache.admit(s.chat.Messages) + s.offset
	seconds := float64(uncached) / e.settings.PrefillRate * e.injectedFaults.load().slowFactor
	return clock.Sleep(s.ctx, time.Duration(seconds*float64(time.Second)))
}

func (e *Engine) streamAnswer(c echo.Context, s *stream) string {
	response := c.Response()
	response.Header().Set(header.ContentType, "text/event-stream")
	response.Header().Set("Cache-Control", "no-cache")
	response.WriteHeader(http.StatusOK)
	response.Flush()
	result := e.generate(s, func(content string, last bool) error {
		return writeEvent(response, chunk(s, content, last))
	})
	if result != journal.ResultFinished {
		return result
	}
	if _, err := fmt.Fprintf(response, "data: %s\n\n", engineapi.StreamDone); err != nil {
		return journal.ResultCancelled
	}
	response.Flush()
	return result
}

func chunk(s *stream, content string, last bool) engineapi.ChatChunk {
	choice := engineapi.ChunkChoice{Delta: engineapi.Delta{Content: content}}
	if last {
		reason := finishReason
		choice.FinishReason = &reason
	}
	return engineapi.ChatChunk{
		ID: s.responseID(), Object: engineapi.ObjectChunk, Model: s.chat.Model,
		Choices: []engineapi.ChunkChoice{choice},
	}
}

func writeEvent(response *echo.Response, message engineapi.ChatChunk) error {
	data, err := json.Marshal(message)
	if err != nil {
		return fmt.Errorf("chunk: %w", err)
	}
	if _, err := fmt.Fprintf(response, "data: %s\n\n", data); err != nil {
		return fmt.Errorf("chunk: %w", err)
	}
	response.Flush()
	return nil
}

// responseID returns the request ID in the response, a wrong one under verbCross.
func (s *stream) responseID() string {
	if s.faults.cross {
		return "crossed-" + s.id
	}
	return s.id
}

func (s *stream) responseSeed() uint64 {
	if s.faults.cross {
		return prefix.Hashes([]prefix.Message{{Role: "user", Content: "another request"}})[0]
	}
	return s.seed
}
