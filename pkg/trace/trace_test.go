package trace_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/trace"
)

func TestLogKeepsTheLastRequests(t *testing.T) {
	is := is.New(t)
	log := trace.NewLog(4)
	for i := range 6 {
		log.Begin(fmt.Sprint("r", i), time.Now())
	}
	is.True(log.Find("r1") == nil) // overwritten
	is.True(log.Find("r2") != nil)
	is.True(log.Find("r5") != nil)
}

func TestFindByCallerIDOrScopedID(t *testing.T) {
	is := is.New(t)
	log := trace.NewLog(4)
	log.Begin(trace.ScopedID("clinic", "42", 7), time.Now())
	newest := log.Begin(trace.ScopedID("clinic", "42", 8), time.Now())
	is.Equal(log.Find("42"), newest)
	is.Equal(log.Find(newest.ID), newest)
	is.True(log.Find("4") == nil)
	is.True(log.Find("clinic") == nil)
}

func TestManyEventsKeepTheFirstAndTheLast(t *testing.T) {
	is := is.New(t)
	record := trace.NewLog(1).Begin("r", time.Now())
	record.Add(trace.Event{Kind: trace.Arrived, Subject: "clinic"})
	for range 100 {
		record.Add(trace.Event{Kind: trace.Sent, Subject: "a-very-long-name-of-an-upstream-indeed-too-long"})
	}
	record.Add(trace.Event{Kind: trace.Ended, After: time.Second, Outcome: "complete"})
	lines := record.Lines()
	is.Equal(lines[0], "0ms arrived clinic")
	is.Equal(lines[len(lines)-1], "1000ms ended complete")
	for _, line := range lines {
		is.True(len(line) <= 40)
	}
}
