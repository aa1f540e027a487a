package mirror

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// TestIgnoredListingChangesNothing guards against a listing older than the replica that still
// resets the expiry of retained or hidden entries.
func TestIgnoredListingChangesNothing(t *testing.T) {
	is := is.New(t)
	m := New(Options{Clock: clock.System{}, Log: zerolog.Nop()})
	m.replace(Position{Era: 1, Revision: 50}, map[string]platform.Entry{}, nil)
	until := time.Now().Add(time.Minute)
	m.hidden["a"] = hidden{entry: platform.Entry{Key: "a"}, until: until}
	m.expiring["b"] = until
	m.replace(Position{Era: 1, Revision: 40}, map[string]platform.Entry{"a": {Key: "a"}, "b": {Key: "b"}}, nil)
	is.Equal(len(m.hidden), 1)
	is.Equal(len(m.expiring), 1)
}
