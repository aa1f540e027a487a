package timeline

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestEventsAtOneTimeRunInSchedulingOrder(t *testing.T) {
	is := is.New(t)
	timeline := New()
	var seen []string
	record := func(name string) func() { return func() { seen = append(seen, name) } }
	timeline.After(2*time.Second, record("later"))
	timeline.After(time.Second, func() {
		record("first")()
		timeline.After(time.Second, record("last"))
	})
	timeline.After(time.Second, record("second"))
	timeline.Run()
	is.Equal(seen, []string{"first", "second", "later", "last"})
	is.Equal(timeline.Now(), Epoch.Add(2*time.Second))
}

func TestEveryStopsAtItsEnd(t *testing.T) {
	is := is.New(t)
	timeline, count := New(), 0
	timeline.Every(time.Second, Epoch.Add(3500*time.Millisecond), func() { count++ })
	timeline.Run()
	is.Equal(count, 4)
	is.Equal(timeline.Now(), Epoch.Add(3*time.Second))
}
