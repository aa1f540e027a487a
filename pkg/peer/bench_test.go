package peer

import (
	"encoding/gob"
	"fmt"
	"math"
	"testing"

	"github.com/lilacweir/lilacweir/pkg/fleet"
)

// counter counts the bytes that are written to it.
type counter struct{ n int }

// Write implements io.Writer.
func (c *counter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// BenchmarkReply has a hub make what an instance of its domain is told in a round, and
// encode it as it travels once the types are known: by the instances of its domain, the
// other domains of its region and those of other regions.
func BenchmarkReply(b *testing.B) {
	for _, size := range []struct{ domain, near, far int }{{3, 0, 2}, {15, 1, 4}, {50, 1, 4}, {9, 2, 38}} {
		b.Run(fmt.Sprintf("domain=%d/near=%d/far=%d", size.domain, size.near, size.far), func(b *testing.B) {
			hub := newSampleHub(size.domain, size.near, size.far)
			sink := &counter{}
			encoder := gob.NewEncoder(sink)
			tell := func() {
				if err := encoder.Encode(hub.tell()); err != nil {
					b.Fatal(err)
				}
			}
			tell()
			sink.n = 0
			for b.Loop() {
				tell()
			}
			b.ReportMetric(float64(sink.n)/float64(b.N), "bytes/round")
		})
	}
}

// sampleHub is a hub without network, under load: its region has 24 engines, each
// instance has work at six of them and places a long prompt a second.
type sampleHub struct {
	gossip *Gossip
	ask    Ask
	sample sample
}

// sample is how many instances a domain has, and how many other domains the region and
// the other regions have.
type sample struct{ domain, near, far int }

func newSampleHub(domain, near, far int) *sampleHub {
	g := newHub("some-hall", "region")
	h := &sampleHub{gossip: g, sample: sample{domain, near, far}}
	now := g.options.Clock.Now()
	for i := range domain - 1 {
		g.takeReport(sampleReport(i), now)
	}
	for i := range near + far {
		g.takeDigest(sampleDigest(i, domain, i < near), now)
	}
	h.ask = Ask{Domain: "some-hall", Region: "region", Report: sampleReport(0), Sums: domain > smallDomain}
	for _, told := range h.tell().Digests {
		h.ask.Rosters = append(h.ask.Rosters, Roster{Domain: told.Domain, Fingerprint: told.Roster})
	}
	return h
}

// tell is the reply of one round, with the digests and placements that are new in it.
func (h *sampleHub) tell() *Reply {
	reply := &Reply{}
	h.ask.Report.Sequence++
	if err := (&Service{gossip: h.gossip}).Exchange(h.ask, reply); err != nil {
		panic(err)
	}
	if !reply.Summed {
		return reply
	}
	// Digests of other regions come every farPause, and are told once.
	far := math.Ceil(float64(h.sample.far) * round.Seconds() / farPause.Seconds())
	for i := range h.sample.near + int(far) {
		digest := sampleDigest(i, h.sample.domain, false)
		digest.leaveOut(h.ask.Rosters)
		reply.Digests = append(reply.Digests[:1+i], digest)
	}
	// Each of the other instances places one long prompt a second.
	reply.Placed = samplePlaced(int(float64(h.sample.domain*(1+h.sample.near+h.sample.far)) * round.Seconds()))
	return reply
}

func sampleReport(i int) Report {
	return Report{
		Name: fmt.Sprintf("front-some-hall-%d", i), Incarnation: 1 << 60, Sequence: 1 << 20, Ready: true, Store: 1 << 20,
		Upstreams: sampleLoads(6, "i-7f3a91c%x"), Placed: samplePlaced(2),
	}
}

func sampleDigest(i, instances int, near bool) Digest {
	digest := Digest{Domain: fmt.Sprintf("hall-%d", i), Region: "other", Age: 1 << 27, Store: 1 << 20, Services: sampleLoads(6, "service-%x")}
	for n := range instances {
		digest.Marks = append(digest.Marks, Mark{Name: fmt.Sprintf("front-other-hall-%d", n), Incarnation: 1 << 60, Ready: true})
	}
	digest.Roster = fingerprint(digest.Marks)
	if near {
		digest.Region = "region"
		digest.Upstreams = sampleLoads(24, "i-7f3a91c%x")
	}
	return digest
}

func sampleLoads(n int, form string) []Load {
	loads := make([]Load, n)
	for i := range loads {
		loads[i] = Load{Name: fmt.Sprintf(form, i), InFlight: 7, Prefill: 12_000}
	}
	return loads
}

func samplePlaced(n int) []Placement {
	placed := make([]Placement, n)
	for i := range placed {
		placed[i] = Placement{Part: fmt.Sprintf("5c1e07a2%04x", i), Upstream: "i-7f3a91c2"}
	}
	return placed
}

// BenchmarkRegistered lists the other instances of a deployment of 295, as several steps of
// a round do.
func BenchmarkRegistered(b *testing.B) {
	g := newHub("hall-0", "region")
	view := &fleet.View{}
	for i := range 295 {
		domain := fmt.Sprintf("hall-%d", i%6)
		view.Instances = append(view.Instances, fleet.Instance{Name: fmt.Sprintf("front-%s-%d", domain, i), Domain: domain, Region: "region"})
	}
	view.Index()
	g.options.Fleet.Store(view)
	b.ReportAllocs()
	for b.Loop() {
		g.registered()
	}
}
