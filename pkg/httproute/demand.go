package httproute

import "slices"

// demand is a class of a service's routes: those with the same homes and the same priority.
type demand struct {
	homes    []string
	priority int
}

// setDemands sets for each service the classes of the routes that lead to it.
func (c *Configuration) setDemands() {
	for i := range c.Routes {
		route := &c.Routes[i]
		for _, backend := range route.Backends {
			c.services[backend.Service].addDemand(demand{homes: route.Homes, priority: route.Priority})
		}
	}
}

func (s *Service) addDemand(added demand) {
	same := func(d demand) bool { return d.priority == added.priority && slices.Equal(d.homes, added.homes) }
	if !slices.ContainsFunc(s.demands, same) {
		s.demands = append(s.demands, added)
	}
}

// Yields reports whether a route should leave a region's capacity to others when it is scarce: another
// route of the service that is at least as urgent may be processed in the region, and this route may be
// processed where the other may not.
func (s *Service) Yields(route *Route, region string) bool {
	return route.PermittedIn(region) && slices.ContainsFunc(s.demands, func(d demand) bool {
		return d.priority <= route.Priority && slices.Contains(d.homes, region) && route.permittedBeyond(d.homes)
	})
}

// Contested reports whether a more urgent route of the service than this one may be processed in a region,
// or whether the routes are not known.
func (s *Service) Contested(route *Route, region string) bool {
	return len(s.demands) == 0 || slices.ContainsFunc(s.demands, func(d demand) bool {
		return d.priority < route.Priority && permits(d.homes, region)
	})
}

// permittedBeyond reports whether the route's requests may be processed in a region other than some.
func (r *Route) permittedBeyond(regions []string) bool {
	if !r.Bound() {
		return true
	}
	beyond := func(region string) bool { return r.PermittedIn(region) && !slices.Contains(regions, region) }
	return slices.ContainsFunc(r.Homes, beyond) || slices.ContainsFunc(r.organisationHomes, beyond)
}
