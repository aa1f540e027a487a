package scenario

import (
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// markBound is the time after a leaving mark in which new work may still start.
const markBound = 3 * time.Second

// moment records the current time under a name: moment NAME.
func moment(d *deployment, args []string) (string, error) {
	if len(args) != 1 {
		return "", errUsage
	}
	d.moments[args[0]] = time.Now()
	return "", nil
}

// work counts an upstream's requests around a moment, from its journal: work UPSTREAM
// MOMENT. They started before the moment (across: and finished after it), within
// markBound after it, or later. running counts those in progress, unfinished those
// without a complete answer, and elsewhere the later starts at other upstreams.
func work(d *deployment, args []string) (string, error) {
	const count = 2
	if len(args) != count || d.moments[args[1]].IsZero() {
		return "", errUsage
	}
	entries, err := adminEntries[journal.Entry](d, "journal")
	if err != nil {
		return "", err
	}
	var seen timeline
	for _, entry := range entries {
		if entry.Kind != journal.KindOrder {
			seen.add(&entry, args[0], d.moments[args[1]])
		}
	}
	return seen.String(), nil
}

// timeline counts requests around a moment.
type timeline struct{ before, across, within, later, running, elsewhere, unfinished int }

func (t *timeline) add(entry *journal.Entry, upstream string, moment time.Time) {
	late := entry.Started.After(moment.Add(markBound))
	if entry.Upstream != upstream {
		if late {
			t.elsewhere++
		}
		return
	}
	switch entry.Result {
	case journal.ResultFinished:
	case journal.ResultRunning:
		t.running++
	default:
		t.unfinished++
	}
	switch {
	case late:
		t.later++
	case entry.Started.After(moment):
		t.within++
	default:
		t.before++
		if entry.Finished.After(moment) {
			t.across++
		}
	}
}

func (t *timeline) String() string {
	return fmt.Sprintf("before=%d across=%d within=%d later=%d running=%d elsewhere=%d unfinished=%d",
		t.before, t.across, t.within, t.later, t.running, t.elsewhere, t.unfinished)
}
