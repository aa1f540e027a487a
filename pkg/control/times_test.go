package control_test

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/clock/clocktest"
	"github.com/lilacweir/lilacweir/pkg/control"
)

// TestAgesReachTheGatewayWhileClocksStep guards against reports, digests and signs of life that seem older or newer
// to a gateway than they are, since the time of day was set before or after its agent sent them.
func TestAgesReachTheGatewayWhileClocksStep(t *testing.T) {
	for name, steps := range map[string][2]int{"before they are sent": {3600, 3600}, "after they are sent": {0, 3600}, "back": {-3600, -7200}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := clocktest.NewClock()
			known := clock.Now()
			args := control.ExchangeArgs{
				Members:   &board.Members{Instances: []board.Instance{{Name: "a-1", LastHeard: known}, {Name: "a-2"}}},
				Upstreams: &board.Upstreams{ByName: map[string]board.UpstreamLoad{"u": {ReportedAt: known}}},
				Domains:   &board.Domains{Remote: []board.DomainDigest{{Domain: "b", HeardAt: known}}},
				Platform:  &board.PlatformHealth{Since: known},
			}
			sections := args
			clock.Advance(2 * time.Second)
			clock.Seconds = steps[0]
			args.Depart(clock.Now())
			var wire bytes.Buffer
			is.NoErr(gob.NewEncoder(&wire).Encode(&args))
			clock.Seconds = steps[1]
			clock.Advance(time.Second)
			var arrived control.ExchangeArgs
			is.NoErr(gob.NewDecoder(&wire).Decode(&arrived))
			arrived.Arrive(clock.Now())
			clock.Advance(time.Second)
			for _, at := range []time.Time{
				arrived.Members.Instances[0].LastHeard, arrived.Upstreams.ByName["u"].ReportedAt, arrived.Domains.Remote[0].HeardAt, arrived.Platform.Since,
			} {
				is.Equal(clock.Now().Sub(at), 3*time.Second) // without the way
			}
			is.True(arrived.Members.Instances[1].LastHeard.IsZero())
			is.Equal(sections.Members.Instances[0].LastHeard, known)
		})
	}
}
