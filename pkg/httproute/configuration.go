package httproute

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"
)

// Configuration is one version of the declared routes, ready for lookups.
type Configuration struct {
	// Version orders configurations; it grows in uneven steps.
	Version uint64
	// InForce is since when the configuration has been in force here; zero if it is not.
	InForce  time.Time
	Limits   Limits
	Routes   []Route
	services map[string]*Service
	byPrefix map[routeKey]*Route
	byHost   map[string][]*Route

	organisations map[string]*Organisation
	byKey         map[KeyDigest]*Organisation
}

type routeKey struct{ host, prefix string }

// Fault is the error of a declaration that cannot be put in force.
type Fault struct {
	// Version is the version of the configuration; Place names the faulty element.
	Version uint64
	Place   string
	Problem string
}

// Error implements error.
func (f *Fault) Error() string {
	return fmt.Sprintf("configuration %d: %s: %s", f.Version, f.Place, f.Problem)
}

// Compile checks a declaration and prepares it for lookups. The error is a *Fault.
func Compile(version uint64, limits Limits, routes []Route, services []Service, organisations ...Organisation) (*Configuration, error) {
	c := &Configuration{
		Version:  version,
		Limits:   limits,
		Routes:   routes,
		services: make(map[string]*Service, len(services)),
		byPrefix: make(map[routeKey]*Route, len(routes)),
		byHost:   make(map[string][]*Route),
	}
	for i := range services {
		c.services[services[i].Name] = &services[i]
	}
	for i := range routes {
		if fault := c.add(&routes[i]); fault != nil {
			return nil, fault
		}
	}
	if fault := c.setOrganisations(organisations); fault != nil {
		return nil, fault
	}
	c.setUrgentTargets()
	c.setDemands()
	return c, nil
}

// setUrgentTargets sets for each route the target of more urgent routes that it must reserve
// capacity for.
func (c *Configuration) setUrgentTargets() {
	byService := make(map[string][]*Route)
	for i := range c.Routes {
		for _, backend := range c.Routes[i].Backends {
			byService[backend.Service] = append(byService[backend.Service], &c.Routes[i])
		}
	}
	for _, sharing := range byService {
		for _, route := range sharing {
			for _, other := range sharing {
				route.applyTargetOf(other)
			}
		}
	}
}

// applyTargetOf applies the target of another route of the same service.
func (r *Route) applyTargetOf(other *Route) {
	if other.Priority >= r.Priority || other.TargetLatency == 0 {
		return
	}
	if r.UrgentTarget == 0 || other.TargetLatency < r.UrgentTarget {
		r.UrgentTarget = other.TargetLatency
	}
}

func (c *Configuration) add(route *Route) *Fault {
	place := "route " + route.Name
	if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
		return &Fault{Version: c.Version, Place: place, Problem: fmt.Sprintf("prefix %q does not begin and end with a slash", route.Prefix)}
	}
	switch route.Kind {
	case Safe, Unsafe, Streaming:
	default:
		return &Fault{Version: c.Version, Place: place, Problem: fmt.Sprintf("unknown kind %q", route.Kind)}
	}
	for _, backend := range route.Backends {
		if c.services[backend.Service] == nil {
			return &Fault{Version: c.Version, Place: place, Problem: fmt.Sprintf("service %q is not declared", backend.Service)}
		}
	}
	host := strings.ToLower(route.Host)
	c.byPrefix[routeKey{host, route.Prefix}] = route
	c.byHost[host] = append(c.byHost[host], route)
	return nil
}

// PermittedRoutes returns the number of a host's routes with requests that may be processed
// in a region.
func (c *Configuration) PermittedRoutes(host, region string) int {
	permitted := 0
	for _, route := range c.byHost[bareHost(host)] {
		if route.PermittedIn(region) {
			permitted++
		}
	}
	return permitted
}

// bareHost returns a host in lower case, without its port.
func bareHost(hostPort string) string {
	host := strings.ToLower(hostPort)
	if bare, _, err := net.SplitHostPort(host); err == nil {
		return bare
	}
	return host
}

// Newer reports whether c may replace the present configuration.
func (c *Configuration) Newer(present *Configuration) bool {
	return present == nil || c.Version > present.Version
}

// Service returns a declared service, or nil.
func (c *Configuration) Service(name string) *Service { return c.services[name] }

// ServiceNames lists the declared services, in no order.
func (c *Configuration) ServiceNames() []string { return slices.Collect(maps.Keys(c.services)) }

// Match returns the route of a request, or nil: among those of the host, the one with the
// longest matching path prefix.
func (c *Configuration) Match(hostPort, path string) *Route {
	host := bareHost(hostPort)
	for end := len(path); end > 0; {
		slash := strings.LastIndexByte(path[:end], '/')
		if slash < 0 {
			return nil
		}
		if route := c.byPrefix[routeKey{host, path[:slash+1]}]; route != nil {
			return route
		}
		end = slash
	}
	return nil
}
