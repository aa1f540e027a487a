package route

import (
	"slices"

	"github.com/lilacweir/lilacweir/pkg/limit"
)

// NotEjected rules out upstreams that have of late failed too often.
type NotEjected struct{}

// Keep implements Filter.
func (NotEjected) Keep(_ *Request, _ string, own limit.Load) bool { return !own.Ejected }

// NotBackingOff rules out upstreams that have just said that they are too busy.
type NotBackingOff struct{}

// Keep implements Filter.
func (NotBackingOff) Keep(_ *Request, _ string, own limit.Load) bool { return own.Backoff <= 0 }

// NotTried rules out upstreams that have failed this very request.
type NotTried struct{}

// Keep implements Filter.
func (NotTried) Keep(req *Request, upstream string, _ limit.Load) bool {
	return !slices.Contains(req.Tried, upstream)
}

// BelowLimit rules out upstreams at which this gateway's limit is reached, for
// requests that are to start at once.
type BelowLimit struct{}

// Keep implements Filter.
func (BelowLimit) Keep(req *Request, _ string, own limit.Load) bool {
	return !req.Admitted || own.InFlight < own.Limit
}
