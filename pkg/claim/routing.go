package claim

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/board"
)

// maxRelays bounds the entry instances of another domain that are queried about a
// key.
const maxRelays = 2

// localDeciders returns the gateways of the own domain to query about a key. The
// likely ones are, in this order, the successor that the owner named and the owner
// itself; any of the others may have adopted the key's origin.
func (c *Coordinator) localDeciders(key Key) (first, others []Decider) {
	instances := c.knownInstances(c.options.Self.Domain)
	successor := successorOf(instances, key.Origin)
	for i := range instances {
		instance := &instances[i]
		if !c.canQuery(instance) {
			continue
		}
		decider := deciderOf(instance)
		switch {
		case instance.Name == successor:
			first = append([]Decider{decider}, first...)
		case decider.Origin == key.Origin:
			first = append(first, decider)
		default:
			others = append(others, decider)
		}
	}
	return first, others
}

// canQuery excludes this instance, instances without a gateway, and those that have
// left. An unreachable one is still queried, since the state is only a suspicion.
func (c *Coordinator) canQuery(instance *board.Instance) bool {
	if instance.Name == c.options.Self.Instance || instance.Addresses.Control == "" {
		return false
	}
	return instance.State != board.InstanceLeft && instance.Incarnation != 0
}

// listSettles is the time after its start in which a gateway may know no neighbour though there
// are some: a heartbeat and its retry.
const listSettles = 5 * time.Second

// mayMissNeighbours reports whether the present incarnation of another instance of the own domain
// may not be known yet, and so neither whether it decides.
func (c *Coordinator) mayMissNeighbours() bool {
	alone := true
	for _, instance := range c.knownInstances(c.options.Self.Domain) {
		if instance.Name == c.options.Self.Instance {
			continue
		}
		if !c.canQuery(&instance) {
			return true
		}
		alone = false
	}
	return alone && c.options.Clock.Now().Sub(c.started) < listSettles
}

// replaced reports whether a gateway's instance is known to run a later incarnation,
// so that this one cannot return. Incarnations increase.
func (c *Coordinator) replaced(gateway Origin) bool {
	return slices.ContainsFunc(c.knownInstances(gateway.Domain), func(instance board.Instance) bool {
		return instance.Name == gateway.Instance && instance.Incarnation > gateway.Incarnation
	})
}

// isLeaving reports whether a gateway of the own domain is listed as leaving.
func (c *Coordinator) isLeaving(gateway Origin) bool {
	return slices.ContainsFunc(c.knownInstances(gateway.Domain), func(instance board.Instance) bool {
		return instance.State == board.InstanceLeaving && deciderOf(&instance).Origin == gateway
	})
}

// knownInstances returns the instances of a domain that this gateway knows.
func (c *Coordinator) knownInstances(domain string) []board.Instance {
	if domain == c.options.Self.Domain {
		if members := c.options.Members(); members != nil {
			return members.Instances
		}
		return nil
	}
	domains := c.options.Domains()
	if domains == nil {
		return nil
	}
	for i := range domains.Remote {
		if domains.Remote[i].Domain == domain {
			return domains.Remote[i].Entries
		}
	}
	return nil
}

// successorOf returns the instance to which an origin's gateway handed its keys
// according to the membership, or an empty string.
func successorOf(instances []board.Instance, origin Origin) string {
	for i := range instances {
		instance := &instances[i]
		if instance.Name == origin.Instance && instance.Incarnation == origin.Incarnation {
			return instance.Load.Successor
		}
	}
	return ""
}

// relays returns the gateways of another domain that can query it about a key, the
// owner first.
func (c *Coordinator) relays(key Key) []Decider {
	return relaysAmong(c.knownInstances(key.Domain), key)
}

func relaysAmong(entries []board.Instance, key Key) []Decider {
	var relays []Decider
	for i := range entries {
		if entries[i].Addresses.Control == "" {
			continue
		}
		decider := deciderOf(&entries[i])
		if decider.Instance == key.Instance && len(relays) > 0 {
			relays = append([]Decider{decider}, relays...)
			continue
		}
		relays = append(relays, decider)
	}
	return relays[:min(len(relays), maxRelays)]
}

func deciderOf(instance *board.Instance) Decider {
	return Decider{
		Origin:  Origin{Domain: instance.Domain, Instance: instance.Name, Incarnation: instance.Incarnation},
		Control: instance.Addresses.Control,
	}
}
