package peer

import (
	"slices"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// publish makes the view, and forgets who is long silent.
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

// newsAge returns how many other instances of the own region are heard, and how old their
// news is on the average. What a digest adds up was itself told up to a round before. The
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

// known joins an instance's entry with what was heard of it; false when nothing was.
// The caller holds g.mu.
func (g *Gossip) known(instance *fleet.Instance) (Known, bool) {
	if instance.Domain == g.options.Self.Domain {
		report := g.reports[instance.Name]
		if report == nil || report.value.Incarnation < instance.Incarnation {
			return Known{}, false
		}
		return Known{Instance: *instance, Leaving: report.value.Leaving, Ready: report.value.Ready, Heard: report.at}, true
	}
	digest := g.digests[instance.Domain]
	if digest == nil {
		return Known{}, false
	}
	for _, mark := range digest.value.Marks {
		if mark.Name == instance.Name && mark.Incarnation >= instance.Incarnation {
			return Known{Instance: *instance, Leaving: mark.Leaving, Ready: mark.Ready, Heard: digest.at}, true
		}
	}
	// Its domain's hub does not hear it; one that was just registered may be unknown
	// there still.
	return Known{Instance: *instance}, true
}
