package agent

import (
	"slices"

	"github.com/lilacweir/lilacweir/pkg/member"
)

// maxUnable is the number of unable instances, as a multiple of the owners, from which on no further
// one tries: the service answers nobody, and more calls would only load it.
const maxUnable = 2

// standsIn reports whether an instance does a job that the first owners of a ranking of workers do for
// the domain: it is one of them, or one of the first after unable ones. Owners that are unable go on
// trying.
func standsIn(key uint64, workers, unable []string, self string, owners int) bool {
	if member.Owns(key, workers, self, owners) {
		return true
	}
	others := slices.DeleteFunc(slices.Clone(unable), func(name string) bool { return name == self })
	if len(others) >= maxUnable*owners {
		return false
	}
	able := slices.DeleteFunc(slices.Clone(workers), func(name string) bool { return slices.Contains(others, name) })
	return member.Owns(key, able, self, owners)
}
