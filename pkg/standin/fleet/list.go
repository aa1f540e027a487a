package fleet

import (
	"maps"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform"
	"github.com/lilacweir/lilacweir/pkg/platform/rest"
)

// List is a stand-in for the instance list, which returns its state as of the lag
// ago.
type List struct {
	clock clock.Clock
	mu    sync.Mutex
	lag   time.Duration
	// states holds every state, oldest first.
	states []listState
}

type listState struct {
	since     time.Time
	instances map[string]platform.ListedInstance
}

// NewList returns a list with the given initial instances.
func NewList(c clock.Clock, lag time.Duration, instances []platform.ListedInstance) *List {
	first := listState{instances: make(map[string]platform.ListedInstance, len(instances))}
	for _, instance := range instances {
		first.instances[instance.Name] = instance
	}
	return &List{clock: c, lag: lag, states: []listState{first}}
}

// SetLag sets the age of the answers.
func (l *List) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// Put adds or replaces an instance; the answers show it after the lag.
func (l *List) Put(instance platform.ListedInstance) {
	l.change(func(instances map[string]platform.ListedInstance) { instances[instance.Name] = instance })
}

// Remove removes an instance; the answers omit it after the lag.
func (l *List) Remove(name string) {
	l.change(func(instances map[string]platform.ListedInstance) { delete(instances, name) })
}

// MarkLeaving sets whether an instance is marked as leaving. It reports whether the
// instance is in the list.
func (l *List) MarkLeaving(name string, leaving bool) bool {
	found := false
	l.change(func(instances map[string]platform.ListedInstance) {
		instance, ok := instances[name]
		if !ok {
			return
		}
		found = true
		instance.Leaving = leaving
		instances[name] = instance
	})
	return found
}

func (l *List) change(apply func(map[string]platform.ListedInstance)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	last := l.states[len(l.states)-1]
	next := listState{since: l.clock.Now(), instances: maps.Clone(last.instances)}
	apply(next.instances)
	l.states = append(l.states, next)
}

// visible returns the newest state that is at least the lag old.
func (l *List) visible() map[string]platform.ListedInstance {
	cutoff := l.clock.Now().Add(-l.lag)
	newest := l.states[0].instances
	for _, state := range l.states[1:] {
		if !state.since.After(cutoff) {
			newest = state.instances
		}
	}
	return newest
}

// Handler serves the list.
func (l *List) Handler() http.Handler {
	e := echo.New()
	e.GET(rest.PathInstances, l.list)
	return e
}

func (l *List) list(c echo.Context) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	domain := c.QueryParam("domain")
	answer := rest.Instances{Instances: []platform.ListedInstance{}}
	for _, instance := range l.visible() {
		if domain == "" || instance.Domain == domain {
			answer.Instances = append(answer.Instances, instance)
		}
	}
	sort.Slice(answer.Instances, func(i, j int) bool { return answer.Instances[i].Name < answer.Instances[j].Name })
	return c.JSON(http.StatusOK, answer)
}
