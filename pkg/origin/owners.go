package origin

import (
	"cmp"
	"slices"

	"github.com/lilacweir/lilacweir/pkg/fleet"
	"github.com/lilacweir/lilacweir/pkg/member"
)

const (
	// smallDeployment is the number of other instances up to which a record gets copiesInSmall
	// copies in the region and as many outside: most instances of a small deployment may end at
	// once. A larger one has copiesInLarge, since each copy costs a call.
	smallDeployment = 16
	copiesInSmall   = 2
	copiesInLarge   = 1
	// askedInRegion and askedAnywhere are the numbers of instances that are asked: more than have a
	// record, since lists of instances differ, and since the region in which a stream began is
	// not known.
	askedInRegion = 4
	askedAnywhere = 6
)

// scored is an instance with its score in rendezvous hashing.
type scored struct {
	instance *fleet.Instance
	score    uint64
}

// highest returns the accepted instances with the highest scores for a request's ID, in order of
// their scores. It is called for each record, with all instances of the deployment.
func highest(count int, id uint64, instances []fleet.Instance, accepts func(*fleet.Instance) bool) []*fleet.Instance {
	best := make([]scored, 0, count+1)
	for i := range instances {
		if !accepts(&instances[i]) {
			continue
		}
		candidate := scored{&instances[i], member.Score(id, instances[i].Name)}
		if len(best) == count && candidate.score <= best[count-1].score {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, candidate.score, func(s scored, score uint64) int { return cmp.Compare(score, s.score) })
		best = slices.Insert(best, at, candidate)
		best = best[:min(count, len(best))]
	}
	chosen := make([]*fleet.Instance, len(best))
	for i := range best {
		chosen[i] = best[i].instance
	}
	return chosen
}

// owners returns the instances that get a record, of the others known to an instance of a region.
// Those in the region can be reached while it is cut off, those outside survive it.
func owners(id uint64, region string, others []fleet.Instance) []*fleet.Instance {
	copies := copiesInSmall
	if len(others) > smallDeployment {
		copies = copiesInLarge
	}
	inside := func(i *fleet.Instance) bool { return i.Region == region }
	outside := func(i *fleet.Instance) bool { return i.Region != region }
	return append(highest(copies, id, others, inside), highest(copies, id, others, outside)...)
}

// candidates returns the instances that may have a record of a stream that began in any region.
func candidates(id uint64, region string, others []fleet.Instance) []*fleet.Instance {
	chosen := highest(askedInRegion, id, others, func(i *fleet.Instance) bool { return i.Region == region })
	for _, instance := range highest(askedAnywhere, id, others, func(*fleet.Instance) bool { return true }) {
		if !slices.Contains(chosen, instance) {
			chosen = append(chosen, instance)
		}
	}
	return chosen
}
