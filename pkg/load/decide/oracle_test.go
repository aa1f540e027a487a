package decide

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/timeline"
)

func TestRefusalIsWarrantedWhenNoEngineCouldFinishInTime(t *testing.T) {
	is := is.New(t)
	at := func(seconds float64) time.Time {
		return timeline.Epoch.Add(time.Duration(seconds * float64(time.Second)))
	}
	e := newEngine(&failureDomain{}, 0)
	kind := &mixKind{deadline: 10 * time.Second}
	j := &job{kind: kind, answer: 60, tokens: []int{8000, 8800}} // 1.1 s of prefill, 0.1 s if warm, and 1 s of decode alone
	e.loadHistory.steps = []step{{at(0), engineSlots}, {at(7.9), 0}}
	is.True(e.couldFinish(j, j.prompt())) // 7.9 + 1.1 + 1.0
	e.loadHistory.steps[1].at = at(8.5)
	is.True(!e.couldFinish(j, j.prompt()))
	is.True(e.couldFinish(j, j.ownTokens()))
	e.loadHistory.steps = append(e.loadHistory.steps, step{at(9), engineSlots})
	is.True(!e.couldFinish(j, j.ownTokens())) // the slot is taken again before the request completes
	e.loadHistory.steps = []step{{at(0), 0}}
	e.loadHistory.prefills = []span{{at(0), at(7.9)}, {at(8.1), at(9)}}
	is.True(!e.couldFinish(j, j.prompt())) // the gap in prefill is too short
	is.True(e.couldFinish(j, j.ownTokens()))
}
