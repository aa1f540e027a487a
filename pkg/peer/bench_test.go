package peer

import (
	"encoding/gob"
	"fmt"
	"math"
	"testing"
)

// counter counts the bytes that are written to it.
type counter struct{ n int }

// Write implements io.Writer.
func (c *counter) Write(p []byte) (int, error) {
	c.n += len(p)
	return len(p), nil
}

// BenchmarkReply encodes what an instance is told in a round, as it travels once the
// types are known: by the instances of its domain, the other domains of its region and
// those of other regions.
func BenchmarkReply(b *testing.B) {
	for _, size := range []struct{ domain, near, far int }{{3, 0, 2}, {15, 1, 4}, {9, 2, 38}} {
		b.Run(fmt.Sprintf("domain=%d/near=%d/far=%d", size.domain, size.near, size.far), func(b *testing.B) {
			reply := sampleReply(size.domain, size.near, size.far)
			if size.domain >= smallDomain {
				reply.sum()
				// Each of the other instances places one long prompt a second.
				perRound := float64(size.domain*(1+size.near+size.far)) * slowest.Seconds()
				reply.Placed = samplePlaced(int(perRound))
				// Digests of other regions come every farPause, and are told once.
				far := float64(size.far) * slowest.Seconds() / farPause.Seconds()
				reply.Digests = reply.Digests[:size.near+int(math.Ceil(far))]
			}
			sink := &counter{}
			encoder := gob.NewEncoder(sink)
			if err := encoder.Encode(reply); err != nil {
				b.Fatal(err)
			}
			sink.n = 0
			for b.Loop() {
				if err := encoder.Encode(reply); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(sink.n)/float64(b.N), "bytes/round")
		})
	}
}

// sampleReply is a reply under load: each instance has work at six upstreams, a region
// has 24, and a long prompt is placed by each instance a second.
func sampleReply(domain, near, far int) *Reply {
	reply := &Reply{}
	for i := range domain {
		report := Report{Name: fmt.Sprintf("front-some-hall-%d", i), Incarnation: 1 << 60, Sequence: 1 << 20, Ready: true, Store: 1 << 20}
		report.Upstreams = sampleLoads(6, "i-7f3a91c%x")
		report.Placed = samplePlaced(2)
		reply.Reports = append(reply.Reports, AgedReport{Report: report, Age: 1 << 27})
	}
	for i := range near + far {
		digest := Digest{Domain: fmt.Sprintf("hall-%d", i), Region: "region", Age: 1 << 27, Store: 1 << 20, Services: sampleLoads(6, "service-%x"), Placed: samplePlaced(2 * domain)}
		for n := range domain {
			digest.Marks = append(digest.Marks, Mark{Name: fmt.Sprintf("front-other-hall-%d", n), Incarnation: 1 << 60, Ready: true})
		}
		if i < near {
			digest.Upstreams = sampleLoads(24, "i-7f3a91c%x")
		}
		reply.Digests = append(reply.Digests, digest)
	}
	return reply
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
