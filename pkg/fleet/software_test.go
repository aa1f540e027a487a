package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// TestInstanceThatStartsInAReleaseAvoidsItsNewVersion guards against an instance that starts while a version is being
// introduced, and begins streams at it before all other instances know it.
func TestInstanceThatStartsInAReleaseAvoidsItsNewVersion(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	view := &fleet.View{}
	for i, version := range []string{"v1", "v1", "v2", "v1"} {
		view.Upstreams = append(view.Upstreams, fleet.Upstream{ID: fmt.Sprint(i), Service: "llm", Software: version})
	}
	view.Index()
	view.InheritHistory(nil, now)
	for i := range view.Upstreams {
		upstream := &view.Upstreams[i]
		is.Equal(view.Settled(upstream, now), upstream.Software == "v1")
		is.True(view.Settled(upstream, now.Add(fleet.SettleTime)))
	}
}
