package plan

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/standin/link"
)

// links adds the relays from a failure domain to the instances of the others and
// to the platform, and returns the relay address to dial by target address.
func (b *builder) links(from numberedDomain) map[string]string {
	dialVia := make(map[string]string)
	host := 0
	for _, to := range b.domains {
		if to.number == from.number {
			continue
		}
		for n := 1; n <= to.Instances; n++ {
			host++
			b.instanceLinks(from, to, n, host, dialVia)
		}
	}
	for _, port := range []int{portKeyValue, portDirectory, portList, portWeights} {
		relay := link.Settings{
			From: from.Name, To: platformName, Delay: b.topology.Delays.Platform,
			Listen: b.address(octetLinks+from.number, hostPlatform, port),
			Target: b.address(octetPlatform, 1, port),
		}
		b.link(relay, dialVia)
	}
	return dialVia
}

func (b *builder) instanceLinks(from, to numberedDomain, instance, host int, dialVia map[string]string) {
	for _, port := range []int{portPeers, portControl, portMesh, portOperators} {
		relay := link.Settings{
			From: from.Name, To: to.Name, Delay: b.delay(from, to),
			Listen: b.address(octetLinks+from.number, host, port),
			Target: b.address(to.number, instance, port),
		}
		b.link(relay, dialVia)
	}
}

func (b *builder) link(relay link.Settings, dialVia map[string]string) {
	b.plan.Standin.Links = append(b.plan.Standin.Links, relay)
	dialVia[relay.Target] = relay.Listen
}

func (b *builder) delay(from, to numberedDomain) time.Duration {
	if from.region == to.region {
		return b.topology.Delays.Domains
	}
	return b.topology.Delays.Regions
}
