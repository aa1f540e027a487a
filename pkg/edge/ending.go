package edge

import (
	"context"
	"errors"
)

// ending says who ended an attempt without a complete answer, in logs and metrics.
type ending string

// Who ends an attempt.
const (
	// endedByTarget: the upstream or instance closed the connection, or its answer cannot be passed on.
	endedByTarget ending = "target"
	// endedByDeadline: the request's time was over.
	endedByDeadline ending = "deadline"
	// endedByCaller: the caller disconnected.
	endedByCaller ending = "caller"
	// endedByInstance: this instance ends.
	endedByInstance ending = "instance"
)

// endingOf returns who ended an attempt with the given context.
func endingOf(ctx context.Context) ending {
	switch cause := context.Cause(ctx); {
	case cause == nil:
		return endedByTarget
	case errors.Is(cause, context.DeadlineExceeded):
		return endedByDeadline
	case errors.Is(cause, errGraceOver):
		return endedByInstance
	default:
		return endedByCaller
	}
}
