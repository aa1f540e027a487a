package credential

import (
	"time"

	"github.com/rs/zerolog"
)

const day = 24 * time.Hour

// warning is a remaining validity at which an event is logged once.
type warning struct {
	left  time.Duration
	event string
}

// warnings are ordered from the longest remaining validity to the shortest.
var warnings = []*warning{
	{left: 30 * day, event: "certificate-expires-soon"},
	{left: 7 * day, event: "certificate-expires-soon"},
	{left: 0, event: "certificate-expired"},
}

// warn logs each warning once, and only the last when several are due.
func (i *item) warn(now time.Time, log zerolog.Logger) {
	if i.expires.IsZero() {
		return
	}
	var due *warning
	for _, one := range warnings {
		if i.expires.Sub(now) <= one.left {
			due = one
		}
	}
	if due == nil || due == i.warning {
		return
	}
	i.warning = due
	log.Warn().Strs("files", i.files).Time("expires", i.expires.UTC()).
		Int("days_left", int(i.expires.Sub(now)/day)).Msg(due.event)
}
