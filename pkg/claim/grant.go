package claim

import (
	"context"
	"sync"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// Grant is the right to run one request once. Its holder must end it by Finish or
// Abandon; later calls do nothing.
type Grant struct {
	once  sync.Once
	end   func(context.Context, Result)
	local bool
}

// NewGrant returns a grant that passes its result to end, once. It is local if end
// does not wait for another process.
func NewGrant(local bool, end func(context.Context, Result)) *Grant {
	return &Grant{end: end, local: local}
}

// Local reports whether Finish and Abandon return without waiting for another
// process.
func (g *Grant) Local() bool { return g.local }

// Finish records the request's result for its repeats. It reports to the decider,
// or to instances that answer in its place if the decider is lost, and stops when
// ctx ends. If no report arrives, repeats get unknown. Use a context that does not
// end with the caller's connection.
func (g *Grant) Finish(ctx context.Context, result Result) {
	g.once.Do(func() { g.end(ctx, result) })
}

// Abandon returns the grant. It may be called only if no byte of the request was
// sent to an upstream.
func (g *Grant) Abandon(ctx context.Context) {
	g.Finish(ctx, Result{Outcome: outcome.NotRun})
}
