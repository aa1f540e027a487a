package limit_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/limit"
)

func drawDemands(t *rapid.T) []limit.Demand {
	weights := rapid.SliceOfN(rapid.IntRange(-1, 200), 1, 12).Draw(t, "weights")
	demands := make([]limit.Demand, len(weights))
	for i, weight := range weights {
		demands[i] = limit.Demand{Name: fmt.Sprintf("gw-%d", i), Weight: weight}
	}
	return demands
}

// Gateways with the same view never exceed an upstream's limit together, whatever
// the order in which each of them lists the others.
func TestSharesOfOneViewAddUpToTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		total := rapid.IntRange(0, 64).Draw(t, "total")
		sum := 0
		for _, demand := range demands {
			own := rapid.Permutation(demands).Draw(t, "view")
			sum += limit.Share("u-1", total, demand.Name, own)
		}
		if sum != total {
			t.Fatalf("shares add up to %d of %d", sum, total)
		}
	})
}

// Share, which computes one gateway's share alone, agrees with Shares.
func TestShareMatchesShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		demands := drawDemands(t)
		total := rapid.IntRange(0, 64).Draw(t, "total")
		for i, share := range limit.Shares("u-1", total, demands) {
			if own := limit.Share("u-1", total, demands[i].Name, demands); own != share {
				t.Fatalf("%s has %d alone and %d in the whole", demands[i].Name, own, share)
			}
		}
	})
}

func TestSharesFollowDemand(t *testing.T) {
	is := is.New(t)
	shares := limit.Shares("u-1", 12, []limit.Demand{{Name: "a", Weight: 30}, {Name: "b"}, {Name: "c"}})
	is.Equal(shares[0], 8)           // half evenly (2), half by demand (6)
	is.Equal(shares[1]+shares[2], 4) // an idle gateway can still start at once
	is.Equal(limit.Share("u-1", 12, "unknown", []limit.Demand{{Name: "a"}}), 0)
}
