package gateway

import (
	"slices"
	"time"

	"github.com/lilacweir/lilacweir/pkg/api"
	"github.com/lilacweir/lilacweir/pkg/board"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform"
)

// Lifetimes of published lists.
const (
	// instancesValid is the time for which a caller may use the list of instances. A
	// leaving gateway continues to serve for as long.
	instancesValid = 2 * time.Second
)

// Instances implements api.Source: it lists the own failure domain first, then the
// domains of permitted regions, the caller's home region before others.
func (g *Gateway) Instances(caller *config.Caller) api.Instances {
	list := g.ownInstances()
	for _, digest := range g.permittedDomains(caller) {
		for _, entry := range digest.Entries {
			list = append(list, platform.DirectoryEntry{
				Instance: entry.Name, Domain: digest.Domain, Region: digest.Region, Address: entry.Addresses.Callers,
			})
		}
	}
	prefix, _ := g.claims.Prefix()
	return api.Instances{Instances: list, ValidMS: instancesValid.Milliseconds(), KeyPrefix: prefix}
}

func (g *Gateway) ownInstances() []platform.DirectoryEntry {
	list := []platform.DirectoryEntry{}
	self := platform.DirectoryEntry{
		Instance: g.settings.Instance, Domain: g.settings.Domain, Region: g.settings.Region, Address: g.settings.Gateway.Callers,
	}
	if g.phase.Load() == phaseServing {
		list = append(list, self)
	}
	members := g.board.Members.Load()
	if members == nil {
		return list
	}
	for _, instance := range members.Instances {
		if instance.Name == self.Instance || !instance.Serves() {
			continue
		}
		list = append(list, platform.DirectoryEntry{
			Instance: instance.Name, Domain: self.Domain, Region: self.Region, Address: instance.Addresses.Callers,
		})
	}
	return list
}

// permittedDomains returns the digests of domains in the caller's regions.
func (g *Gateway) permittedDomains(caller *config.Caller) []board.DomainDigest {
	domains := g.board.Domains.Load()
	if domains == nil {
		return nil
	}
	var permitted []board.DomainDigest
	for _, digest := range domains.Remote {
		if slices.Contains(caller.Regions, digest.Region) {
			permitted = append(permitted, digest)
		}
	}
	slices.SortStableFunc(permitted, func(a, b board.DomainDigest) int {
		return homeOrder(caller, a.Region) - homeOrder(caller, b.Region)
	})
	return permitted
}

func homeOrder(caller *config.Caller, region string) int {
	if region == caller.Home {
		return 0
	}
	return 1
}

// Ready implements api.Source.
func (g *Gateway) Ready() api.Readiness {
	readiness := api.Readiness{State: api.StateServing, Silent: []string{}}
	if health := g.board.Platform.Load(); health != nil {
		readiness.Platform = health.KeyValue
	}
	configuration := g.config.Load()
	if configuration != nil {
		readiness.Revision = configuration.Revision
		readiness.Silent = g.silentDomains()
	}
	switch {
	case g.phase.Load() != phaseServing:
		readiness.State = api.StateLeaving
	case configuration == nil:
		readiness.State = api.StateNoConfiguration
	case !readiness.Platform || len(readiness.Silent) > 0:
		readiness.State = api.StateIsolated
	}
	return readiness
}

// silentDomains returns the declared domains without a recent digest.
func (g *Gateway) silentDomains() []string {
	receivedAt := make(map[string]time.Time)
	if domains := g.board.Domains.Load(); domains != nil {
		for _, digest := range domains.Remote {
			receivedAt[digest.Domain] = digest.HeardAt
		}
	}
	silent := []string{}
	for _, region := range g.board.Config.Load().Declaration.Regions {
		for _, domain := range region.Domains {
			if domain != g.settings.Domain && g.clock.Now().Sub(receivedAt[domain]) > board.DomainSilentAfter {
				silent = append(silent, domain)
			}
		}
	}
	return silent
}
