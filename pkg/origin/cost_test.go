package origin

import (
	"fmt"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

const (
	// streamsPerSecond is the rate at which an instance begins streams at the target: 10,000
	// requests a second at 380 instances.
	streamsPerSecond = 26
	// controlBudget is the target for all control traffic of an instance, in bytes a second.
	controlBudget = 6_000
)

// TestRecordsFitTheControlBudget guards against records of streams that use up what an instance may
// spend on control: while several versions serve, since none is sent otherwise.
func TestRecordsFitTheControlBudget(t *testing.T) {
	const seconds = 10
	for _, instances := range []int{30, 300} {
		for _, versions := range [][]string{{"v1"}, {"v1", "v2"}} {
			regions := make([]string, instances)
			for i := range regions {
				regions[i] = fmt.Sprintf("region-%d", i%3)
			}
			nodes := newNodes(t, regions...)
			n := nodes[0]
			n.list(versions...)
			n.pass(8 * time.Second)
			begun, carry := 0, 0.0
			run := func() {
				for range seconds * int(time.Second/sendInterval) {
					for due := streamsPerSecond * sendInterval.Seconds(); carry+due >= 1; carry-- {
						begun++
						n.Begin(fmt.Sprintf("r-%d", begun), Origin{service, versions[begun%len(versions)]}, patience)
					}
					carry += streamsPerSecond * sendInterval.Seconds()
					n.pass(sendInterval)
				}
			}
			// The first calls on a connection carry descriptions of types.
			for range 4 {
				run()
			}
			sent, received := n.network.Meter().Sent(), n.network.Meter().Received()
			run()
			// An instance receives as many records as it sends.
			perSecond := 2 * (n.network.Meter().Sent() - sent + n.network.Meter().Received() - received) / seconds
			t.Logf("%d instances, %d versions: %d bytes a second", instances, len(versions), perSecond)
			if perSecond > controlBudget {
				t.Errorf("%d instances, %d versions: %d bytes a second, allowed %d", instances, len(versions), perSecond, controlBudget)
			}
			if len(versions) == 1 && perSecond > 0 {
				t.Errorf("%d instances: %d bytes a second though nobody needs the records", instances, perSecond)
			}
		}
	}
}

// BenchmarkOwners is the time to choose the owners of one record.
func BenchmarkOwners(b *testing.B) {
	for _, count := range []int{30, 300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			instances := make([]fleet.Instance, count)
			for i := range instances {
				instances[i] = fleet.Instance{Name: fmt.Sprintf("instance-%d", i), Region: fmt.Sprintf("region-%d", i%3)}
			}
			for n := 0; b.Loop(); n++ {
				owners(uint64(n), "region-0", instances)
			}
		})
	}
}
