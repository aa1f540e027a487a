package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// SettleTime is the time for which new streams avoid the upstreams of a version that is new to
// their service, so that all instances know the version before it begins any stream. It exceeds the
// time that an entry takes to reach an instance that follows the store or its neighbours.
const SettleTime = 1500 * time.Millisecond

// software is what is known of the software versions of one service's upstreams.
type software struct {
	versions map[string]bool
	// only is the version of all of them since since, which is zero while they have several.
	only  string
	since time.Time
	// introduced holds the versions that appeared beside others within SettleTime.
	introduced map[string]time.Time
}

// OnlySoftware returns the software version of all upstreams of a service and the time since which
// no other one was known, by this process's clock; zero if there are several versions or none.
func (v *View) OnlySoftware(service string) (version string, since time.Time) {
	known := v.software[service]
	return known.only, known.since
}

// Settled reports whether an upstream's software version is not new to its service.
func (v *View) Settled(upstream *Upstream, now time.Time) bool {
	if !v.introduces {
		return true
	}
	at, introduced := v.software[upstream.Service].introduced[upstream.Software]
	return !introduced || now.Sub(at) >= SettleTime
}

// inheritSoftware derives what is known of software versions from the previous view, nil if there
// is none. A service without upstreams keeps its history.
func (v *View) inheritSoftware(last *View, now time.Time) {
	v.software = make(map[string]software)
	if last != nil {
		maps.Copy(v.software, last.software)
	}
	for service, upstreams := range v.byService {
		known := v.software[service].next(upstreams, now)
		v.introduces = v.introduces || len(known.introduced) > 0
		v.software[service] = known
	}
}

// next returns what is known once a service has the given upstreams.
func (s software) next(upstreams []*Upstream, now time.Time) software {
	known, count := software{versions: make(map[string]bool)}, make(map[string]int)
	for _, upstream := range upstreams {
		known.versions[upstream.Software] = true
		known.only = upstream.Software
		count[upstream.Software]++
	}
	switch {
	case len(known.versions) > 1:
		known.only = ""
	case known.only == s.only && !s.since.IsZero():
		known.since = s.since
	default:
		known.since = now
	}
	for version := range known.versions {
		at, introduced := s.introduced[version]
		switch {
		case len(s.versions) > 0:
			if !s.versions[version] {
				at, introduced = now, true
			}
		case len(known.versions) > 1 && version != mostCommon(count):
			// A process that has just started does not know which version is new.
			at, introduced = now, true
		}
		if introduced && now.Sub(at) < SettleTime {
			if known.introduced == nil {
				known.introduced = make(map[string]time.Time)
			}
			known.introduced[version] = at
		}
	}
	return known
}

// mostCommon returns the version of most upstreams, of several the first by name.
func mostCommon(count map[string]int) string {
	versions := slices.Sorted(maps.Keys(count))
	return slices.MaxFunc(versions, func(a, b string) int { return cmp.Compare(count[a], count[b]) })
}
