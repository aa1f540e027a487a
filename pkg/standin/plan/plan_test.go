package plan_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/standin/plan"
)

// deployments maps the deployments in the repository to their second octets.
var deployments = map[string]int{"wellness": 10, "minibar": 11}

func TestCommittedDeploymentsAreUpToDate(t *testing.T) {
	for name, net := range deployments {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			committed := filepath.Join("..", "..", "..", "deploy", name)
			topology, err := plan.Load(filepath.Join(committed, "topology.yaml"))
			is.NoErr(err)
			fresh := t.TempDir()
			built, err := plan.Build(topology, net)
			is.NoErr(err)
			is.NoErr(plan.Write(built, fresh))
			files, err := os.ReadDir(fresh)
			is.NoErr(err)
			for _, file := range files {
				want, err := os.ReadFile(filepath.Join(fresh, file.Name()))
				is.NoErr(err)
				got, err := os.ReadFile(filepath.Join(committed, file.Name()))
				is.NoErr(err)
				is.Equal(string(got), string(want)) // run `lilacweir-standin plan` again
			}
		})
	}
}

func TestEveryPathBetweenDomainsUsesALink(t *testing.T) {
	is := is.New(t)
	topology, err := plan.Load(filepath.Join("..", "..", "..", "deploy", "wellness", "topology.yaml"))
	is.NoErr(err)
	built, err := plan.Build(topology, 77)
	is.NoErr(err)
	targets := make(map[string]string)
	listens := make(map[string]bool)
	for _, relay := range built.Standin.Links {
		is.True(!listens[relay.Listen])
		listens[relay.Listen] = true
		targets[relay.From+" "+relay.Target] = relay.Listen
	}
	for _, instance := range built.Instances {
		for _, other := range built.Instances {
			for _, address := range []string{other.Gateway.Peers, other.Gateway.Control, other.Agent.Mesh, other.Agent.Operators} {
				via, linked := instance.DialVia[address]
				is.Equal(linked, instance.Domain != other.Domain)
				is.Equal(via, targets[instance.Domain+" "+address])
			}
		}
		for _, address := range append(instance.Platform.KeyValue, instance.Platform.Directory, instance.Platform.InstanceList, instance.Platform.WeightStore) {
			is.True(listens[instance.DialVia[address]])
		}
	}
}
