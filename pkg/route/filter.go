package route

import (
	"slices"

	"github.com/lilacweir/lilacweir/pkg/limit"
)

// NotEjected excludes upstreams that are ejected for failures or late answers.
type NotEjected struct{}

// Keep implements Filter.
func (NotEjected) Keep(_ *Request, _ string, own limit.Load) bool { return !own.Ejected }

// NotBackingOff excludes upstreams that have just reported that they are overloaded.
type NotBackingOff struct{}

// Keep implements Filter.
func (NotBackingOff) Keep(_ *Request, _ string, own limit.Load) bool { return own.Backoff <= 0 }

// NotTried excludes upstreams that have already failed this request.
type NotTried struct{}

// Keep implements Filter.
func (NotTried) Keep(req *Request, upstream string, _ limit.Load) bool {
	return !slices.Contains(req.Tried, upstream)
}

// BelowLimit excludes upstreams at which this gateway's limit is reached, for requests that
// are to start at once.
type BelowLimit struct{}

// Keep implements Filter.
func (BelowLimit) Keep(req *Request, _ string, own limit.Load) bool {
	return !req.Admitted || own.InFlight < own.Limit
}
