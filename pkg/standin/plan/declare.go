package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/standin"
	"github.com/lilacweir/lilacweir/pkg/standin/engine"
	"github.com/lilacweir/lilacweir/pkg/standin/service"
)

// keyPrefix precedes the name in every caller's and operator's key.
const keyPrefix = "key-"

// engineQueue is the queue length of an engine per slot.
const engineQueue = 2

func keyHash(name string) string {
	sum := sha256.Sum256([]byte(keyPrefix + name))
	return "sha256:" + hex.EncodeToString(sum[:])
}

func (b *builder) declare() {
	declaration := &b.plan.Declaration
	var regions []string
	for _, region := range b.topology.Regions {
		declared := config.Region{Name: region.Name}
		for _, domain := range region.Domains {
			declared.Domains = append(declared.Domains, domain.Name)
		}
		slices.Sort(declared.Domains)
		declaration.Regions = append(declaration.Regions, declared)
		regions = append(regions, region.Name)
	}
	slices.Sort(regions)
	for _, model := range b.topology.Models {
		declaration.Models = append(declaration.Models, config.Model{Name: model.Name, Versions: model.Versions, Regions: regions, MaxTokens: model.MaxTokens})
	}
	for _, svc := range b.topology.Services {
		declaration.Services = append(declaration.Services, config.Service{Name: svc.Name, Prefix: svc.Path, Regions: regions, Routes: svc.Routes})
	}
	for _, caller := range b.topology.Callers {
		declaration.Callers = append(declaration.Callers, config.Caller{
			Name: caller.Name, KeyHash: keyHash(caller.Name), Home: caller.Home, Regions: caller.Regions, Share: caller.Share,
		})
	}
	for _, operator := range b.topology.Operators {
		declaration.Operators = append(declaration.Operators, config.Operator{Name: operator, KeyHash: keyHash(operator)})
	}
	b.plan.Operator.Operator = b.topology.Operators[0]
	declaration.Spill, declaration.Policy = b.topology.Spill, b.topology.Policy
	b.sort()
}

// sort sorts the declaration's lists by name, as they are stored.
func (b *builder) sort() {
	declaration := &b.plan.Declaration
	slices.SortFunc(declaration.Regions, func(x, y config.Region) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(declaration.Models, func(x, y config.Model) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(declaration.Services, func(x, y config.Service) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(declaration.Callers, func(x, y config.Caller) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(declaration.Operators, func(x, y config.Operator) int { return strings.Compare(x.Name, y.Name) })
}

func (b *builder) upstreams() {
	for _, s := range b.domains {
		next := 0
		for _, model := range b.topology.Models {
			for n := 1; n <= model.Engine.PerDomain; n++ {
				next++
				name := fmt.Sprintf("%s-%s-%d", model.Engine.Prefix, s.Prefix, n)
				b.engine(s, model, name, b.address(octetUpstreams+s.number, next, portUpstream), n)
			}
		}
		for _, svc := range b.topology.Services {
			for n := 1; n <= svc.PerDomain; n++ {
				next++
				name := fmt.Sprintf("%s-%s-%d", svc.Prefix, s.Prefix, n)
				b.service(s, svc, name, b.address(octetUpstreams+s.number, next, portUpstream))
			}
		}
	}
	declared := b.plan.Declaration.Upstreams
	slices.SortFunc(declared, func(x, y config.Upstream) int { return strings.Compare(x.Name, y.Name) })
}

// engine adds engine n of a model.
func (b *builder) engine(s numberedDomain, model Model, name, address string, n int) {
	e := model.Engine
	version := engineVersion(model, n)
	b.plan.Standin.Engines = append(b.plan.Standin.Engines, engine.Settings{
		Name: name, Domain: s.Name, Address: address, Serves: model.Name, Version: version,
		Concurrency: e.Concurrency, Queue: engineQueue * e.Concurrency,
		DecodeRate: e.DecodeRate, BatchCost: e.BatchCost, PrefillRate: e.PrefillRate, CacheTokens: e.CacheTokens,
		LoadLag: e.LoadLag, EventLag: e.EventLag, LoadTime: e.LoadTime, ChecksFencing: e.ChecksFencing,
	})
	b.plan.Declaration.Upstreams = append(b.plan.Declaration.Upstreams, config.Upstream{
		Name: name, Kind: config.KindEngine, Serves: model.Name, Version: version, Domain: s.Name, Address: address,
		Concurrency: e.Concurrency, ChecksFencing: e.ChecksFencing,
	})
	b.list(standin.Listed{Name: name, Domain: s.Name})
}

// engineVersion assigns a domain's engines to the versions by percent.
func engineVersion(model Model, n int) string {
	const allPercent = 100
	cumulative := 0
	for _, version := range model.Versions {
		cumulative += version.Percent
		if n*allPercent <= cumulative*model.Engine.PerDomain {
			return version.Name
		}
	}
	return model.Versions[len(model.Versions)-1].Name
}

func (b *builder) service(s numberedDomain, svc Service, name, address string) {
	b.plan.Standin.Services = append(b.plan.Standin.Services, service.Settings{
		Name: name, Domain: s.Name, Address: address, Serves: svc.Name, Concurrency: svc.Concurrency, Latency: svc.Latency,
	})
	b.plan.Declaration.Upstreams = append(b.plan.Declaration.Upstreams, config.Upstream{
		Name: name, Kind: config.KindService, Serves: svc.Name, Domain: s.Name, Address: address, Concurrency: svc.Concurrency,
	})
	b.list(standin.Listed{Name: name, Domain: s.Name})
}
