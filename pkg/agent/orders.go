package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/member"
	"github.com/lilacweir/lilacweir/pkg/order"
)

// orderCandidates is the number of instances of a failure domain that compete for
// the lease for orders: the second acquires it when the first is lost.
const orderCandidates = 2

// runOrders competes for the lease and sends orders to the domain's engines until
// ctx ends.
func (a *Agent) runOrders(ctx context.Context) {
	if a.Engines == nil {
		return
	}
	controller := order.New(order.Dependencies{
		Domain:   a.Settings.Domain,
		Holder:   fmt.Sprintf("%s-%x", a.Settings.Instance, a.Epoch),
		KeyValue: a.KeyValue,
		Weights:  a.Weights,
		Engines:  a.Engines,
		Source:   orderSource{a},
		Clock:    clock.System{},
		Log:      a.Log,
	})
	controller.Run(ctx)
}

// orderSource is the input of order decisions.
type orderSource struct{ agent *Agent }

// Declaration implements order.Source.
func (s orderSource) Declaration() *config.Declaration {
	head := s.agent.keeper.Head()
	if head == nil {
		return nil
	}
	return head.Declaration
}

// Reported implements order.Source.
func (s orderSource) Reported(upstream string) (string, bool) {
	loads := s.agent.board.Upstreams.Load()
	if loads == nil {
		return "", false
	}
	load, ok := loads.ByName[upstream]
	return load.Version, ok
}

// Candidate implements order.Source.
func (s orderSource) Candidate() bool {
	workers := s.agent.mesh.workers(time.Now())
	key := member.Key("orders", s.agent.Settings.Domain)
	return member.Owns(key, workers, s.agent.Settings.Instance, orderCandidates)
}
