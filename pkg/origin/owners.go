package origin

import (
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

// ranked orders instances by rendezvous hashing of a request's ID.
func ranked(id uint64, instances []fleet.Instance) []fleet.Instance {
	byName := make(map[string]fleet.Instance, len(instances))
	names := make([]string, 0, len(instances))
	for _, instance := range instances {
		byName[instance.Name] = instance
		names = append(names, instance.Name)
	}
	order := make([]fleet.Instance, 0, len(names))
	for _, name := range member.Rank(id, names) {
		order = append(order, byName[name])
	}
	return order
}

// owners returns the instances that get a record, of the others known to an instance of a region.
// Those in the region can be reached while it is cut off, those outside survive it.
func owners(id uint64, region string, others []fleet.Instance) []fleet.Instance {
	copies := copiesInSmall
	if len(others) > smallDeployment {
		copies = copiesInLarge
	}
	inside, outside := 0, 0
	var chosen []fleet.Instance
	for _, instance := range ranked(id, others) {
		switch {
		case instance.Region == region && inside < copies:
			inside++
		case instance.Region != region && outside < copies:
			outside++
		default:
			continue
		}
		chosen = append(chosen, instance)
	}
	return chosen
}

// candidates returns the instances that may have a record of a stream that began in any region.
func candidates(id uint64, region string, others []fleet.Instance) []fleet.Instance {
	inside := 0
	var chosen []fleet.Instance
	for n, instance := range ranked(id, others) {
		near := instance.Region == region && inside < askedInRegion
		if near {
			inside++
		}
		if near || n < askedAnywhere {
			chosen = append(chosen, instance)
		}
	}
	return chosen
}
