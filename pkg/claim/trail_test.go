package claim

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// A claim without a decider is logged with the instances that were asked, what each said, and
// the instances that were known.
func TestClaimWithoutADeciderIsLogged(t *testing.T) {
	is := is.New(t)
	w := newSimulation(1)
	var lines bytes.Buffer
	w.processes["a2"].coordinator.options.Log = zerolog.New(&lines)
	key := w.issued("a1")
	w.processes["a1"].dead = true
	w.processes["a1"].leaving = true
	w.refreshAll()
	_, got := w.begin("a2", key)
	is.Equal(got, "unknown idempotency-key-owner-lost")
	line := lines.String()
	for _, want := range []string{`"message":"key-owner-lost"`, `"origin":"a.a1.1"`, `a1.1@0s+0s:no answer`, `a3.3@0s+0s:not-mine`, `a1.1:leaving`, `a2.2:live`} {
		if !strings.Contains(line, want) {
			t.Errorf("no %s in %s", want, line)
		}
	}
	is.Equal(strings.Count(line, "\n"), 1)
}
