// Package trace retains the paths of recent requests in bounded memory, so that operators can
// query a gateway for the reason of a request's outcome.
package trace

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Kind is the kind of an event.
type Kind uint8

// Kinds of events in the life of a request.
const (
	Arrived Kind = iota
	Queued
	Sent
	Forwarded
	Failed
	Crossed
	Resumed
	Ended
)

var kindNames = [...]string{"arrived", "queued", "sent", "forwarded", "failed", "crossed", "resumed", "ended"}

// Event is one step of a request.
type Event struct {
	Kind Kind
	// After is the time since the request arrived.
	After time.Duration
	// Subject is the upstream or failure domain concerned, or the caller.
	Subject string
	// Reason and Outcome are set for Failed and Ended.
	Reason  outcome.Reason
	Outcome outcome.Outcome
}

// maxEvents bounds the events of one request. Each later event replaces the last one.
const maxEvents = 16

// Record is the path of one request. One goroutine adds events; any number may read.
type Record struct {
	ID    string
	Start time.Time

	events [maxEvents]atomic.Pointer[Event]
	count  int
}

// Add appends an event.
func (r *Record) Add(event Event) {
	index := min(r.count, maxEvents-1)
	r.events[index].Store(&event)
	r.count++
}

// Lines describes the request, one event a line of at most lineWidth characters.
func (r *Record) Lines() []string {
	var lines []string
	for i := range r.events {
		event := r.events[i].Load()
		if event == nil {
			break
		}
		lines = append(lines, line(event))
	}
	return lines
}

// lineWidth is the width of an operator's phone, in characters.
const lineWidth = 40

func line(event *Event) string {
	parts := []string{fmt.Sprintf("%dms", event.After.Milliseconds()), kindNames[event.Kind]}
	for _, part := range []string{event.Subject, string(event.Outcome), string(event.Reason)} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	text := strings.Join(parts, " ")
	if len(text) > lineWidth {
		text = text[:lineWidth]
	}
	return text
}

// Log is a ring buffer of the last requests. It is lock-free and safe for concurrent use.
type Log struct {
	records []atomic.Pointer[Record]
	next    atomic.Uint64
}

// NewLog returns a log of the given size.
func NewLog(size int) *Log { return &Log{records: make([]atomic.Pointer[Record], size)} }

// Begin adds a request.
func (l *Log) Begin(id string, start time.Time) *Record {
	record := &Record{ID: id, Start: start}
	index := (l.next.Add(1) - 1) % uint64(len(l.records))
	l.records[index].Store(record)
	return record
}

// Find returns the newest record of a request, or nil. The ID may be the caller's or its scoped
// form.
func (l *Log) Find(id string) *Record {
	newest := l.next.Load()
	size := uint64(len(l.records))
	for back := uint64(1); back <= size; back++ {
		record := l.records[(newest+size-back)%size].Load()
		if record != nil && (record.ID == id || strings.Contains(record.ID, ScopeSeparator+id+ScopeSeparator)) {
			return record
		}
	}
	return nil
}

// ScopedID makes a request ID that a caller chose unique, so that it differs from the same ID of
// another caller and from a retry by the same caller.
func ScopedID(caller, id string, random uint64) string {
	return caller + ScopeSeparator + id + ScopeSeparator + strconv.FormatUint(random%scopeRange, scopeBase)
}

// ScopeSeparator separates the parts of a scoped ID. Callers' IDs do not contain it.
const ScopeSeparator = "~"

// The random part of a scoped ID has six characters in base 36.
const (
	scopeBase  = 36
	scopeRange = 36 * 36 * 36 * 36 * 36 * 36
)
