package claim

import (
	"net/http"
	"time"

	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// RetryInProgress is the Retry-After for a repeat of a running request.
const RetryInProgress = 2 * time.Second

// RetryOwnerLost is the Retry-After for a key with an unreachable decider.
const RetryOwnerLost = 5 * time.Second

// RetryFull is the Retry-After if the record table is full.
const RetryFull = 30 * time.Second

func refuseInvalid(err error) *outcome.Refusal {
	refusal := outcome.Refuse(http.StatusBadRequest, outcome.ReasonKeyInvalid, 0, err.Error())
	refusal.Err = err
	return refusal
}

// refuseFuture may claim not-run: the decider's clock never steps back, so it
// cannot have granted the key before.
func refuseFuture() *outcome.Refusal {
	return outcome.Refuse(http.StatusBadRequest, outcome.ReasonKeyInvalid, 0,
		"The idempotency key's time is later than the clock of the instance that it names.")
}

func refuseFull() *outcome.Refusal {
	return outcome.Refuse(http.StatusServiceUnavailable, outcome.ReasonOverloaded, RetryFull,
		"The instance that decides this key can keep no more keys for now.")
}

func unknownExpired() *outcome.Refusal {
	return outcome.MayHaveRun(http.StatusGone, outcome.ReasonKeyExpired, 0,
		"The idempotency key is too old: whether its request ran is no longer kept.")
}

func unknownReused() *outcome.Refusal {
	return outcome.MayHaveRun(http.StatusUnprocessableEntity, outcome.ReasonKeyReused, 0,
		"The idempotency key was used before with another request, which may have run.")
}

func unknownInProgress() *outcome.Refusal {
	return outcome.MayHaveRun(http.StatusConflict, outcome.ReasonKeyInProgress, RetryInProgress,
		"A request with this idempotency key is running.")
}

func unknownUnresolved() *outcome.Refusal {
	return outcome.MayHaveRun(http.StatusConflict, outcome.ReasonKeyUnresolved, 0,
		"A request with this idempotency key started, and how it ended is not known.")
}

func unknownOwnerLost(retryAfter time.Duration) *outcome.Refusal {
	return outcome.MayHaveRun(http.StatusServiceUnavailable, outcome.ReasonKeyOwnerLost, retryAfter,
		"The instance that decides this idempotency key does not answer: the request may have run before.")
}

func unknownStoreDown() *outcome.Refusal {
	return outcome.MayHaveRun(http.StatusServiceUnavailable, outcome.ReasonKeyStoreDown, RetryOwnerLost,
		"Idempotency keys not given out by the system need the key-value service, which does not answer.")
}
