package edge

import (
	"sync"

	"github.com/lilacweir/lilacweir/pkg/limit"
)

// regionTrial records how another region treats one forwarded request. Requests that may be processed
// elsewhere make the region back off if it refuses them; those that are bound to some regions only reduce
// the share that it gets.
type regionTrial struct {
	// begun must be called for each part of the answer, ended once the attempt has ended.
	begun func()
	ended func(limit.Result)
}

// startRegionTrial begins an attempt at an instance in the region of a steer.RegionKey; false if the region is
// backing off.
func (j *job) startRegionTrial(key, instance string) (regionTrial, bool) {
	if !j.route.Bound() {
		flight, ok := j.tracker.Start(key, 0, 0)
		if !ok {
			return regionTrial{}, false
		}
		return regionTrial{begun: flight.FirstByte, ended: flight.Done}, true
	}
	var once sync.Once
	record := func(accepted bool) { once.Do(func() { j.acceptance.Record(key, accepted, j.now()) }) }
	return regionTrial{
		begun: func() { record(true) },
		ended: func(result limit.Result) {
			// Unresponsive upstreams are no lack of capacity.
			if result == limit.Rejected && !j.unresponsiveHops[instance] {
				record(false)
			}
		},
	}, true
}
