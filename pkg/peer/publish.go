package peer

import (
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// publish builds the view and drops instances that have been unreachable for long.
func (g *Gossip) publish() {
	now := g.options.Clock.Now()
	others := g.registered()
	hub := g.hub() == g.options.Self.Name
	view := &View{upstreams: make(map[string]Load), services: make(map[regionService]Load)}
	g.mu.Lock()
	summed := !hub && g.sums != nil && now.Sub(g.sums.at) <= SilentAfter
	if summed {
		addLoads(view.upstreams, g.sums.value)
	}
	for name, report := range g.reports {
		if now.Sub(report.at) > forgetAfter {
			delete(g.reports, name)
		} else if !summed && now.Sub(report.at) <= SilentAfter {
			addLoads(view.upstreams, report.value.Upstreams)
		}
	}
	for name, at := range g.lastAskedAt {
		if now.Sub(at) > forgetAfter {
			delete(g.lastAskedAt, name)
		}
	}
	for domain, digest := range g.digests {
		if now.Sub(digest.at) > forgetAfter {
			delete(g.digests, domain)
		} else if now.Sub(digest.at) <= SilentAfter {
			view.addDigest(&digest.value, g.options.Self.Region)
		}
		if digest.value.Region != g.options.Self.Region && digest.at.After(g.otherRegionAt) {
			g.otherRegionAt = digest.at
		}
	}
	view.otherRegionAt = g.otherRegionAt
	g.forgetEvidence(others)
	view.regionPeers, view.reportAge = g.averageReportAge(now)
	view.at = now
	for i := range others {
		if known, ok := g.known(&others[i]); ok {
			view.Others = append(view.Others, known)
		}
	}
	g.mu.Unlock()
	slices.SortFunc(view.Others, func(a, b Known) int { return strings.Compare(a.Instance.Name, b.Instance.Name) })
	g.view.Store(view)
}

// averageReportAge returns the number of live other instances of the own region and the average
// age of their reports. The reports behind a digest were themselves up to a round old. The
// caller holds g.mu.
func (g *Gossip) averageReportAge(now time.Time) (instances int, average time.Duration) {
	total := time.Duration(0)
	for _, report := range g.reports {
		if reportAge := now.Sub(report.at); reportAge <= SilentAfter {
			instances++
			total += reportAge
		}
	}
	for _, digest := range g.digests {
		reportAge := now.Sub(digest.at)
		if digest.value.Region != g.options.Self.Region || reportAge > SilentAfter {
			continue
		}
		instances += len(digest.value.Marks)
		total += time.Duration(len(digest.value.Marks)) * (reportAge + roundInterval/2)
	}
	if instances == 0 {
		return 0, 0
	}
	return instances, total / time.Duration(instances)
}

func (v *View) addDigest(digest *Digest, region string) {
	if digest.Region == region {
		addLoads(v.upstreams, digest.Upstreams)
		return
	}
	for _, load := range digest.Services {
		v.AddService(digest.Region, load)
	}
}

// known combines an instance's entry with its last report; false if there is no report. The
// caller holds g.mu.
func (g *Gossip) known(instance *fleet.Instance) (Known, bool) {
	if instance.Domain == g.options.Self.Domain {
		report := g.reports[instance.Name]
		if report == nil || report.value.Incarnation < instance.Incarnation {
			return Known{}, false
		}
		return Known{Instance: *instance, Leaving: report.value.Leaving, Ready: report.value.Ready, Unreachable: report.value.Unreachable, ReportedAt: report.at}, true
	}
	digest := g.digests[instance.Domain]
	if digest == nil {
		return Known{}, false
	}
	for _, mark := range digest.value.Marks {
		if mark.Name == instance.Name && mark.Incarnation >= instance.Incarnation {
			return Known{Instance: *instance, Leaving: mark.Leaving, Ready: mark.Ready, Unreachable: mark.Unreachable, ReportedAt: digest.at}, true
		}
	}
	// Its domain's hub has no report of it. A newly registered instance may not have reached the
	// hub yet.
	return Known{Instance: *instance}, true
}
