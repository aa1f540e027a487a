package fleet

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"golang.org/x/time/rate"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/platform/rest"
)

// Weights is a stand-in for the weight store: it limits the rate of loads and returns
// the time to wait.
type Weights struct {
	clock   clock.Clock
	limiter *rate.Limiter
}

// NewWeights returns a store that permits loadsPerMinute loads, with a burst of one.
func NewWeights(c clock.Clock, loadsPerMinute float64) *Weights {
	return &Weights{clock: c, limiter: rate.NewLimiter(rate.Limit(loadsPerMinute/time.Minute.Seconds()), 1)}
}

// Handler serves the store.
func (w *Weights) Handler() http.Handler {
	e := echo.New()
	e.POST(rest.PathReservations, w.reserve)
	return e
}

func (w *Weights) reserve(c echo.Context) error {
	var request rest.ReservationRequest
	if err := c.Bind(&request); err != nil || request.Model == "" || request.Version == "" {
		return c.JSON(http.StatusBadRequest, rest.ErrorAnswer{Error: "expected model and version"})
	}
	now := w.clock.Now()
	reservation := w.limiter.ReserveN(now, 1)
	wait := reservation.DelayFrom(now)
	if wait > 0 {
		reservation.CancelAt(now)
	}
	// Rounded up, so that a wait of less than a millisecond is not returned as zero.
	millis := (wait + time.Millisecond - 1).Milliseconds()
	return c.JSON(http.StatusOK, rest.ReservationAnswer{WaitMillis: millis})
}
