package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/board"
)

const (
	caller      = "farm-shop"
	testDomains = 3
	testSize    = 2
	// tick is the interval at which gateways update their shares.
	tick = 500 * time.Millisecond
)

var start = time.Unix(1_800_000_000, 0)

// simulation is a deployment in which reports arrive late, by a fixed time per link.
type simulation struct {
	now time.Time
	// reported is the history of each gateway's demand, a value per tick.
	reported  [testDomains * testSize][]int
	histories [testDomains * testSize]history
	// delay is in ticks, from each domain to each gateway.
	delay       func(domain, gateway int) int
	partitioned func(domain, gateway int) bool
	received    [testDomains][testDomains * testSize]time.Time
}

func domainName(d int) string { return fmt.Sprintf("domain-%d", d) }

func gatewayName(g int) string { return fmt.Sprintf("gw-%d", g) }

func (w *simulation) instances(domain, delay int) []board.Instance {
	var list []board.Instance
	for g := domain * testSize; g < (domain+1)*testSize; g++ {
		reported := 0
		if at := len(w.reported[g]) - 1 - delay; at >= 0 {
			reported = w.reported[g][at]
		}
		list = append(list, board.Instance{
			Name: gatewayName(g), State: board.InstanceLive, Incarnation: 1,
			Load: board.GatewayLoad{Demand: []board.CallerDemand{{Caller: caller, Demand: reported}}},
		})
	}
	return list
}

func (w *simulation) view(g int) *View {
	own := g / testSize
	view := &View{Self: gatewayName(g), Domain: domainName(own), Remote: &board.Domains{}}
	view.Members = &board.Members{Instances: w.instances(own, w.delay(own, g))}
	for d := range testDomains {
		view.Domains = append(view.Domains, domainName(d))
		if d == own {
			continue
		}
		if w.partitioned == nil || !w.partitioned(d, g) {
			w.received[d][g] = w.now
		}
		if w.received[d][g].IsZero() {
			continue
		}
		late := w.delay(d, g) + int(w.now.Sub(w.received[d][g])/tick)
		view.Remote.Remote = append(view.Remote.Remote, board.DomainDigest{
			Domain: domainName(d), HeardAt: w.received[d][g],
			Demand: DomainDemand(w.instances(d, late), w.now),
		})
	}
	return view
}

// step reports demands and returns the gateways' shares.
func (w *simulation) step(demands [testDomains * testSize]int) (shares [testDomains * testSize]float64, sum float64) {
	w.now = w.now.Add(tick)
	for g := range demands {
		w.reported[g] = append(w.reported[g], demands[g])
	}
	for g := range demands {
		shares[g] = w.histories[g].share(newDemandView(w.view(g), w.now), caller, demands[g])
		sum += shares[g]
	}
	return shares, sum
}

func newSimulation(delay func(domain, gateway int) int) *simulation {
	return &simulation{now: start, delay: delay}
}

const rounding = 1e-9

// TestSharesNeverExceedTheLimit: whatever the demand, and however late each link is within the
// windows, the shares add up to at most the limit, and an idle gateway keeps its floor.
func TestSharesNeverExceedTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		late := rapid.SliceOfN(rapid.IntRange(0, int(DomainWindow/tick)), testDomains, testDomains).Draw(t, "late")
		near := rapid.SliceOfN(rapid.IntRange(0, int(GatewayWindow/tick)), testDomains, testDomains).Draw(t, "near")
		w := newSimulation(func(domain, gateway int) int {
			if gateway/testSize == domain {
				return near[domain]
			}
			return late[domain]
		})
		level := rapid.SampledFrom([]int{0, 0, 1, 40, 500, whole})
		var demands [testDomains * testSize]int
		for range 80 {
			if rapid.IntRange(0, 3).Draw(t, "shift") == 0 {
				for g := range demands {
					demands[g] = level.Draw(t, "demand")
				}
			}
			shares, sum := w.step(demands)
			if sum > 1+rounding {
				t.Fatalf("the shares %v add up to %v", shares, sum)
			}
			for g, share := range shares {
				if share < floorShare*floorShare/(testDomains*testSize)-rounding {
					t.Fatalf("%s has %v, below the floor", gatewayName(g), share)
				}
			}
		}
	})
}

// TestShareFollowsDemand: a caller that sends everything to one gateway gets almost the whole
// limit there, and elsewhere soon after it moved.
func TestShareFollowsDemand(t *testing.T) {
	is := is.New(t)
	w := newSimulation(func(domain, gateway int) int {
		if gateway/testSize == domain {
			return int(2 * time.Second / tick)
		}
		return int(4 * time.Second / tick)
	})
	settle := int(10 * time.Second / tick)
	for g := range testDomains * testSize {
		var demands [testDomains * testSize]int
		var shares [testDomains * testSize]float64
		demands[g] = whole
		for range settle {
			shares, _ = w.step(demands)
		}
		is.True(shares[g] > 0.9) // within ten seconds
	}
}

// TestPartitionedDomainKeepsItsShare also checks that the others do not take it over, that
// after PartitionHold each side has the even share of its domains, and that demand decides
// again after the partition heals.
func TestPartitionedDomainKeepsItsShare(t *testing.T) {
	is := is.New(t)
	w := newSimulation(func(int, int) int { return 1 })
	demands := [testDomains * testSize]int{whole, 0, whole / 2, whole / 2, 0, 0}
	run := func(length time.Duration) (shares [testDomains * testSize]float64) {
		for range int(length / tick) {
			var sum float64
			shares, sum = w.step(demands)
			is.True(sum <= 1+rounding) // at each moment, on both sides together
		}
		return shares
	}
	before := run(20 * time.Second)
	w.partitioned = func(domain, gateway int) bool { return (domain == 0) != (gateway/testSize == 0) }
	is.Equal(run(10*time.Second), before) // each side keeps its shares
	demands[0], demands[2] = whole, whole
	demands[4] = whole
	grown := run(PartitionHold - 15*time.Second)
	is.True(grown[2]+grown[3]+grown[4]+grown[5] <= 1-before[0]-before[1]+rounding)
	even := run(30 * time.Second)
	is.True(even[0] > 0.3 && even[0]+even[1] <= 1.0/testDomains+rounding)
	is.True(even[2]+even[3]+even[4]+even[5] > 0.6)
	w.partitioned = nil
	demands = [testDomains * testSize]int{whole}
	is.True(run(20 * time.Second)[0] > 0.9)
}
