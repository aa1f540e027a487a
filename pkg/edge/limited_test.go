package edge

import (
	"fmt"
	"testing"
	"time"
)

// Bounds of what an upstream that names a limit may get, once it has named it for reachTime
// and from instances that it told half a second before or earlier.
const (
	limitWindow  = 4 * time.Second
	limitOverage = 1.5
	limitSlack   = 5
	toldFor      = 500 * time.Millisecond
)

// most returns the most requests that an engine got in a window from instances that it had
// told, in a time.
func (e *worldEngine) most(from, until time.Time) int {
	var times []time.Time
	for _, a := range e.sent("", from) {
		since, told := e.told[a.from]
		if a.engine == e.id && a.at.Before(until) && told && a.at.Sub(since) >= toldFor {
			times = append(times, a.at)
		}
	}
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) > limitWindow {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

func allowedOf(perSecond float64) int {
	return int(limitOverage*perSecond*limitWindow.Seconds() + limitSlack)
}

// questions asks so many a second, each of its own.
func (w *world) questions(perSecond int, length time.Duration) {
	n := 0
	w.every(time.Second/time.Duration(perSecond), length, func() {
		n++
		w.ask(fmt.Sprintf("question %d at %s", n, time.Now()))
	})
}

// TestAnUpstreamGetsNoMoreThanTheLimitThatItNames guards against an upstream in need that says
// how many requests a second it takes from all instances together, and gets a full load.
func TestAnUpstreamGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	inWorld(t, 1, question, threeRegions, func(w *world) {
		limits := map[int]float64{0: 2.5, 5: 4.1, 6: 0.5} // one of north, two of middle
		w.questions(100, 3*time.Second)
		for engine, perSecond := range limits {
			w.engines[engine].setLimit(fmt.Sprint(perSecond))
		}
		named := time.Now()
		w.questions(100, 20*time.Second)
		w.running.Wait()
		for engine, perSecond := range limits {
			if most := w.engines[engine].most(named.Add(reachTime), time.Now()); most > allowedOf(perSecond) {
				t.Errorf("%s, which takes %v a second, got %d in %v; allowed %d", w.engines[engine].id, perSecond, most, limitWindow, allowedOf(perSecond))
			}
		}
	})
}
