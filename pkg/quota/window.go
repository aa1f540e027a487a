package quota

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// windowSlots is the number of slots in a window; one more is being filled.
const windowSlots = 4

// window tracks the extreme of a value over a span of time, of at least span and at most a slot
// more. The zero value has only zeros.
type window struct {
	numbers clock.Steps
	slots   [windowSlots + 1]float64
	slot    int64
	last    float64
}

// add records a value, which replaces the last one, and returns the extreme.
func (w *window) add(now time.Time, span time.Duration, value float64, extreme func(a, b float64) float64) float64 {
	slot := w.numbers.At(now, span/windowSlots)
	for passed := min(slot-w.slot, windowSlots+1); passed > 0; passed-- {
		w.slots[(slot-passed+1)%(windowSlots+1)] = w.last
	}
	w.slot = max(slot, w.slot)
	w.last = value
	at := &w.slots[w.slot%(windowSlots+1)]
	*at = extreme(*at, value)
	result := value
	for _, slotValue := range w.slots {
		result = extreme(result, slotValue)
	}
	return result
}

func minimum(a, b float64) float64 { return min(a, b) }

func maximum(a, b float64) float64 { return max(a, b) }
