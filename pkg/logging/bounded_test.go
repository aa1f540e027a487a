package logging_test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/logging"
)

// stalledWriter is a writer that blocks until it is released.
type stalledWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    strings.Builder
}

func (s *stalledWriter) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(line)
}

// Writes more lines than the buffer holds while the reader is stalled. No call blocks, and the
// excess is dropped.
func TestStalledReaderDoesNotBlockWriters(t *testing.T) {
	is := is.New(t)
	reader := &stalledWriter{release: make(chan struct{})}
	bounded := logging.NewBounded(reader)
	log, err := logging.New(bounded, "test", "n-1", "info")
	is.NoErr(err)
	for range 10_000 {
		log.Info().Msg("line")
	}
	close(reader.release)
	is.NoErr(bounded.Close())
	lines := strings.Count(reader.text.String(), "event=line")
	is.True(lines > 0)
	is.True(lines < 10_000)
}

// Budgets are separate and renewed every second, and dropped lines are counted.
func TestSuccessLinesDoNotUseTheBudgetOfFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var text strings.Builder
		log, err := logging.New(&text, "test", "n-1", "info")
		is.NoErr(err)
		bounded := logging.NewBounded(&strings.Builder{})
		good, failed := log.Sample(bounded.Good()), log.Sample(bounded.Failed())
		for range 1000 {
			good.Info().Msg("went-well")
		}
		failed.Warn().Msg("failed")
		is.Equal(strings.Count(text.String(), "event=went-well"), 50)
		is.Equal(strings.Count(text.String(), "event=failed"), 1)
		ctx, cancel := context.WithCancel(t.Context())
		go bounded.Run(ctx, log)
		time.Sleep(6 * time.Second)
		good.Info().Msg("went-well")
		is.Equal(strings.Count(text.String(), "event=went-well"), 51)
		is.True(strings.Contains(text.String(), "good=950"))
		cancel()
		is.NoErr(bounded.Close())
	})
}
