package plan

import (
	"fmt"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/standin"
)

// Ports of the processes.
const (
	portCallers   = 8080
	portPeers     = 8081
	portControl   = 8082
	portMesh      = 8090
	portOperators = 8091
	portUpstream  = 9000
	portKeyValue  = 2379
	portDirectory = 2380
	portList      = 2381
	portWeights   = 2382
	portAdmin     = 7000
)

// Third octets of addresses.
const (
	octetPlatform  = 0
	octetUpstreams = 100
	octetLinks     = 200
	// hostPlatform is the fourth octet of a domain's link to the platform.
	hostPlatform = 250
)

// platformName is the name of the platform's side of a link.
const platformName = "platform"

// Plan holds the content of every file of a deployment.
type Plan struct {
	Instances   []settings.Instance
	Standin     standin.Settings
	Declaration config.Declaration
	Operator    settings.Client
}

// numberedDomain is a failure domain with its number, starting at 1.
type numberedDomain struct {
	Domain
	number int
	region string
}

// builder assembles a plan.
type builder struct {
	topology Topology
	net      int
	domains  []numberedDomain
	plan     Plan
}

// NetError reports a second octet that is out of range.
type NetError struct {
	Net int
}

// Error implements error.
func (e *NetError) Error() string { return fmt.Sprintf("net %d: expected 1 to %d", e.Net, maxNet) }

// maxNet is the highest second octet.
const maxNet = 254

// Build returns the plan with net as the second octet of all addresses.
func Build(topology Topology, net int) (Plan, error) {
	if net < 1 || net > maxNet {
		return Plan{}, &NetError{Net: net}
	}
	b := &builder{topology: topology, net: net}
	for _, region := range topology.Regions {
		for _, domain := range region.Domains {
			b.domains = append(b.domains, numberedDomain{Domain: domain, number: len(b.domains) + 1, region: region.Name})
		}
	}
	b.platform()
	for _, s := range b.domains {
		b.instances(s)
	}
	b.declare()
	b.upstreams()
	return b.plan, nil
}

func (b *builder) address(third, fourth, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", b.net, third, fourth, port)
}

func (b *builder) platform() {
	p := b.topology.Platform
	at := func(port int) string { return b.address(octetPlatform, 1, port) }
	b.plan.Standin.Admin = standin.Admin{Platform: at(portAdmin), Upstreams: at(portAdmin + 1), Links: at(portAdmin + 2)}
	to := &b.plan.Standin.Platform
	to.KeyValue.Address = at(portKeyValue)
	to.KeyValue.WritesPerSecond, to.KeyValue.ReadsPerSecond = p.WritesPerSecond, p.ReadsPerSecond
	to.Directory.Address = at(portDirectory)
	to.List.Address, to.List.Lag = at(portList), p.ListLag
	to.Weights.Address, to.Weights.LoadsPerMinute = at(portWeights), p.LoadsPerMinute
}

func (b *builder) instances(s numberedDomain) {
	dialVia := b.links(s)
	for n := 1; n <= s.Instances; n++ {
		name := fmt.Sprintf("%s-%d", s.Prefix, n)
		at := func(port int) string { return b.address(s.number, n, port) }
		instance := settings.Instance{
			Instance: name, Domain: s.Name, Region: s.region,
			Gateway:  settings.Gateway{Callers: at(portCallers), Peers: at(portPeers), Control: at(portControl)},
			Agent:    settings.Agent{Mesh: at(portMesh), Operators: at(portOperators)},
			Platform: b.platformSettings(),
			Seeds:    b.seeds(),
			DialVia:  dialVia,
			Security: settings.Security{PlaintextLoopback: true},
		}
		b.plan.Instances = append(b.plan.Instances, instance)
		b.plan.Operator.Servers = append(b.plan.Operator.Servers, at(portOperators))
		b.plan.Operator.Gateways = append(b.plan.Operator.Gateways, at(portCallers))
		b.list(standin.Listed{Name: name, Domain: s.Name, Mesh: at(portMesh)})
	}
}

func (b *builder) platformSettings() settings.Platform {
	p := b.plan.Standin.Platform
	return settings.Platform{
		KeyValue: []string{p.KeyValue.Address}, Prefix: b.topology.Name + "/",
		Directory: p.Directory.Address, InstanceList: p.List.Address, WeightStore: p.Weights.Address,
	}
}

// seeds returns the first two agents of every failure domain.
func (b *builder) seeds() []settings.Seed {
	const seedsPerDomain = 2
	var seeds []settings.Seed
	for _, s := range b.domains {
		for n := 1; n <= min(s.Instances, seedsPerDomain); n++ {
			seeds = append(seeds, settings.Seed{Domain: s.Name, Mesh: b.address(s.number, n, portMesh)})
		}
	}
	return seeds
}

func (b *builder) list(listed standin.Listed) {
	to := &b.plan.Standin.Platform.List
	to.Instances = append(to.Instances, listed)
}
