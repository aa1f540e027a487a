package quota

import (
	"math"
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
)

// meterTimeConstant is the time constant of measured demand.
const meterTimeConstant = 2 * time.Second

// meter measures a caller's demand, admitted or refused, as decaying sums.
type meter struct {
	requests, tokens, blocked float64
	at                        time.Time
}

func (m *meter) decay(now time.Time) {
	passed := now.Sub(m.at)
	if passed <= 0 {
		return
	}
	remaining := math.Exp(-passed.Seconds() / meterTimeConstant.Seconds())
	m.requests *= remaining
	m.tokens *= remaining
	m.blocked *= remaining
	m.at = now
}

// ask records a request; blocked is true if it was refused because all concurrency slots were in
// use.
func (m *meter) ask(now time.Time, tokens float64, blocked bool) {
	m.decay(now)
	m.requests++
	m.tokens += tokens
	if blocked {
		m.blocked++
	}
}

// demand returns the demand in thousandths of the limit that it uses most.
func (m *meter) demand(now time.Time, limits config.Limits, inFlight int) int {
	m.decay(now)
	var fraction float64
	if limits.RequestsPerSecond > 0 {
		fraction = max(fraction, m.requests/meterTimeConstant.Seconds()/limits.RequestsPerSecond)
	}
	if limits.TokensPerMinute > 0 {
		fraction = max(fraction, m.tokens/meterTimeConstant.Seconds()/perSecond(limits.TokensPerMinute))
	}
	if limits.Concurrent > 0 {
		fraction = max(fraction, (float64(inFlight)+m.blocked)/float64(limits.Concurrent))
	}
	if fraction < minDemand {
		return 0
	}
	return int(math.Ceil(whole * min(1, fraction)))
}

// minDemand is the fraction of a limit below which demand counts as zero.
const minDemand = 1e-4

func perSecond(perMinute int) float64 { return float64(perMinute) / time.Minute.Seconds() }
