package config

import (
	"fmt"
	"slices"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// InvalidError reports a declaration that violates validation rules.
type InvalidError struct {
	Problems []yamlfile.Problem
}

// Error implements error, one problem a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		line := problem.Key + ": " + problem.Found
		if problem.Expected != "" {
			line += ", expected " + problem.Expected
		}
		lines = append(lines, line)
	}
	return strings.Join(lines, "\n")
}

// Validate checks values and references. The error is an *InvalidError with
// every problem.
func Validate(decl *Declaration) error {
	problems := append(yamlfile.Check(decl), references(decl)...)
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}

// checker collects the invalid references of a declaration.
type checker struct {
	problems []yamlfile.Problem
	regions  map[string]bool
	domains  map[string]bool
	models   map[string]*Model
	services map[string]bool
}

// references checks what tags cannot express: that names are unique, and that each
// referenced name exists.
func references(decl *Declaration) []yamlfile.Problem {
	c := &checker{
		regions:  map[string]bool{},
		domains:  map[string]bool{},
		models:   map[string]*Model{},
		services: map[string]bool{},
	}
	c.checkRegions(decl.Regions)
	c.checkModels(decl.Models)
	c.checkServices(decl.Services)
	c.checkUpstreams(decl.Upstreams)
	c.checkCallers(decl.Callers)
	c.checkOperators(decl.Operators)
	c.checkSpill(decl.Spill)
	return c.problems
}

func (c *checker) add(key, found, expected string) {
	c.problems = append(c.problems, yamlfile.Problem{Key: key, Found: found, Expected: expected})
}

// unique records a name, and adds a problem when it is a duplicate.
func (c *checker) unique(seen map[string]bool, key, name string) {
	if name != "" && seen[name] {
		c.add(key, quote(name)+" stands twice", "each name once")
	}
	seen[name] = true
}

// known adds a problem when a name does not exist.
func (c *checker) known(names map[string]bool, key, name, kind string) {
	if name == "" || names[name] {
		return
	}
	c.add(key, "got "+quote(name), "the name of a declared "+kind)
}

func (c *checker) knownAll(names map[string]bool, key string, list []string, kind string) {
	seen := map[string]bool{}
	for i, name := range list {
		place := fmt.Sprintf("%s[%d]", key, i)
		c.known(names, place, name, kind)
		c.unique(seen, place, name)
	}
}

func (c *checker) checkRegions(regions []Region) {
	for i, region := range regions {
		key := fmt.Sprintf("regions[%d]", i)
		c.unique(c.regions, key+".name", region.Name)
		for j, domain := range region.Domains {
			c.unique(c.domains, fmt.Sprintf("%s.domains[%d]", key, j), domain)
		}
	}
}

// wholePercent is the sum of the shares of a model's versions.
const wholePercent = 100

func (c *checker) checkModels(models []Model) {
	names := map[string]bool{}
	for i := range models {
		model := &models[i]
		key := fmt.Sprintf("models[%d]", i)
		c.unique(names, key+".name", model.Name)
		c.models[model.Name] = model
		c.knownAll(c.regions, key+".regions", model.Regions, "region")
		versions := map[string]bool{}
		total := 0
		for j, version := range model.Versions {
			c.unique(versions, fmt.Sprintf("%s.versions[%d].name", key, j), version.Name)
			total += version.Percent
		}
		if len(model.Versions) > 0 && total != wholePercent {
			c.add(key+".versions", fmt.Sprintf("percents add up to %d", total), "100")
		}
	}
}

func (c *checker) checkServices(services []Service) {
	prefixes := map[string]bool{}
	for i, service := range services {
		key := fmt.Sprintf("services[%d]", i)
		c.unique(c.services, key+".name", service.Name)
		c.unique(prefixes, key+".prefix", service.Prefix)
		if service.Name != "" && c.models[service.Name] != nil {
			c.add(key+".name", quote(service.Name)+" is a model's name", "another name")
		}
		if reserved(service.Prefix) {
			c.add(key+".prefix", "got "+quote(service.Prefix), "a prefix that the gateway does not use itself")
		}
		c.knownAll(c.regions, key+".regions", service.Regions, "region")
		c.checkRoutes(key, service.Routes)
	}
}

func (c *checker) checkRoutes(key string, routes []Route) {
	seen := map[string]bool{}
	for j, route := range routes {
		place := fmt.Sprintf("%s.routes[%d]", key, j)
		c.unique(seen, place, route.Method+" "+route.Path)
		if star := strings.IndexByte(route.Path, '*'); star >= 0 && star != len(route.Path)-1 {
			c.add(place+".path", "got "+quote(route.Path), "a * at the end alone")
		}
		if strings.HasPrefix(route.Path, "/") {
			c.add(place+".path", "got "+quote(route.Path), "a path below the prefix, without a leading /")
		}
	}
}

// reserved reports whether the gateway itself serves paths below the prefix.
func reserved(prefix string) bool {
	if prefix == "/" {
		return true
	}
	for _, own := range []string{"/v1/", "/healthz/", "/readyz/", "/metrics/"} {
		if strings.HasPrefix(prefix, own) {
			return true
		}
	}
	return false
}

func (c *checker) checkUpstreams(upstreams []Upstream) {
	names := map[string]bool{}
	addresses := map[string]bool{}
	for i, upstream := range upstreams {
		key := fmt.Sprintf("upstreams[%d]", i)
		c.unique(names, key+".name", upstream.Name)
		c.unique(addresses, key+".address", upstream.Address)
		c.known(c.domains, key+".domain", upstream.Domain, "failure domain")
		c.checkServes(key, upstream)
	}
}

func (c *checker) checkServes(key string, upstream Upstream) {
	if upstream.Kind == KindService {
		c.known(c.services, key+".serves", upstream.Serves, "service")
		if upstream.Version != "" {
			c.add(key+".version", "got "+quote(upstream.Version), "no version for a service")
		}
		return
	}
	model := c.models[upstream.Serves]
	if model == nil {
		c.known(nil, key+".serves", upstream.Serves, "model")
		return
	}
	for _, version := range model.Versions {
		if version.Name == upstream.Version {
			return
		}
	}
	c.add(key+".version", "got "+quote(upstream.Version), "a version of "+model.Name)
}

func (c *checker) checkCallers(callers []Caller) {
	names := map[string]bool{}
	hashes := map[string]bool{}
	models := map[string]bool{}
	for name := range c.models {
		models[name] = true
	}
	for i, caller := range callers {
		key := fmt.Sprintf("callers[%d]", i)
		c.unique(names, key+".name", caller.Name)
		c.unique(hashes, key+".key_hash", caller.KeyHash)
		c.known(c.regions, key+".home", caller.Home, "region")
		c.knownAll(c.regions, key+".regions", caller.Regions, "region")
		c.knownAll(models, key+".models", caller.Models, "model")
		if len(caller.Regions) > 0 && caller.Home != "" && !slices.Contains(caller.Regions, caller.Home) {
			c.add(key+".home", "got "+quote(caller.Home), "one of the caller's regions")
		}
	}
}

func (c *checker) checkOperators(operators []Operator) {
	names := map[string]bool{}
	for i, operator := range operators {
		c.unique(names, fmt.Sprintf("operators[%d].name", i), operator.Name)
	}
	if len(operators) == 0 {
		c.add("operators", "missing", "at least one operator")
	}
}

func (c *checker) checkSpill(rules []Spill) {
	names := map[string]bool{}
	for i, rule := range rules {
		key := fmt.Sprintf("spill[%d]", i)
		c.unique(names, key, rule.Name())
		c.known(c.regions, key+".from", rule.From, "region")
		c.known(c.regions, key+".to", rule.To, "region")
	}
}

func quote(text string) string { return `"` + text + `"` }
