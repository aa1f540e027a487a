package decide

import (
	"cmp"
	"slices"
)

// fairness is Jain's index over what callers got of their fair part: the max-min
// fair division, among equals, of all the work that was done.
func fairness(demand, got map[string]float64) float64 {
	total := 0.0
	for _, work := range got {
		total += work
	}
	fair := maxMin(demand, total)
	sum, squares, n := 0.0, 0.0, 0.0
	for caller, part := range fair {
		if part == 0 {
			continue
		}
		ratio := got[caller] / part
		sum += ratio
		squares += ratio * ratio
		n++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (n * squares)
}

// maxMin divides total so that nobody gets more than the demand, and nobody could
// get more without somebody who has no more getting less.
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
		part := min(demand[caller], total/float64(len(callers)-i))
		fair[caller] = part
		total -= part
	}
	return fair
}
