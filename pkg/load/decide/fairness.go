package decide

import (
	"cmp"
	"slices"
)

// fairness returns Jain's index of the ratios between each caller's completed work
// and its fair share, the unweighted max-min fair share of all completed work.
func fairness(demand, got map[string]float64) float64 {
	total := 0.0
	for _, work := range got {
		total += work
	}
	fair := maxMin(demand, total)
	sum, squares, n := 0.0, 0.0, 0.0
	for caller, share := range fair {
		if share == 0 {
			continue
		}
		ratio := got[caller] / share
		sum += ratio
		squares += ratio * ratio
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// maxMin divides total max-min fairly. No caller receives more than its demand, and
// none could receive more without reducing a caller that receives no more than it.
func maxMin(demand map[string]float64, total float64) map[string]float64 {
	callers := make([]string, 0, len(demand))
	for caller := range demand {
		callers = append(callers, caller)
	}
	slices.SortFunc(callers, func(a, b string) int {
		return cmp.Or(cmp.Compare(demand[a], demand[b]), cmp.Compare(a, b))
	})
	fair := make(map[string]float64, len(callers))
	for i, caller := range callers {
		share := min(demand[caller], total/float64(len(callers)-i))
		fair[caller] = share
		total -= share
	}
	return fair
}
