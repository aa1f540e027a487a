package timeline

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWhatIsDueAtOneTimeHappensInTheOrderInWhichItWasAsked(t *testing.T) {
	is := is.New(t)
	line := New()
	var seen []string
	note := func(what string) func() { return func() { seen = append(seen, what) } }
	line.After(2*time.Second, note("later"))
	line.After(time.Second, func() {
		note("first")()
		line.After(time.Second, note("last"))
	})
	line.After(time.Second, note("second"))
	line.Run()
	is.Equal(seen, []string{"first", "second", "later", "last"})
	is.Equal(line.Now(), Epoch.Add(2*time.Second))
}

func TestEveryEndsAtItsEnd(t *testing.T) {
	is := is.New(t)
	line, times := New(), 0
	line.Every(time.Second, Epoch.Add(3500*time.Millisecond), func() { times++ })
	line.Run()
	is.Equal(times, 4)
	is.Equal(line.Now(), Epoch.Add(3*time.Second))
}
