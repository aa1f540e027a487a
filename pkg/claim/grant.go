package claim

import (
	"context"
	"sync"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Grant is the right to run one request once. Its holder must end it, once, by
// Finish or Abandon; further calls do nothing.
type Grant struct {
	once  sync.Once
	end   func(context.Context, Result)
	local bool
}

// NewGrant returns a grant whose end is reported to a function, once. It is local
// when the function does not wait for another process.
func NewGrant(local bool, end func(context.Context, Result)) *Grant {
	return &Grant{end: end, local: local}
}

// Local says that Finish and Abandon do not wait for another process.
func (g *Grant) Local() bool { return g.local }

// Finish records what became of the request, for its repeats. It tells the
// decider, or, when that is gone, instances that answer in its place; it gives
// up when ctx ends. Nothing is lost but the answer to a repeat, which is then
// unknown. Use a context that does not end with the caller's connection.
func (g *Grant) Finish(ctx context.Context, result Result) {
	g.once.Do(func() { g.end(ctx, result) })
}

// Abandon gives the right back. It may be called only when no byte of the
// request was sent to an upstream.
func (g *Grant) Abandon(ctx context.Context) {
	g.Finish(ctx, Result{Outcome: outcome.NotRun})
}
