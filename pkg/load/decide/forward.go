package decide

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/route"
)

// connectTimeout is the time until a gateway detects that a link is cut.
const connectTimeout = time.Second

// forward sends a request to a random gateway of another failure domain.
func (g *gateway) forward(j *job, decision *route.Decision) {
	to := g.sim.failureDomain(decision.Domain.Domain)
	j.tried = append(j.tried, to.name)
	g.sim.spills.sent(j, to)
	if to.cutFrom[g.failureDomain.name] {
		g.sim.After(connectTimeout, func() { g.arrive(j) })
		return
	}
	g.sim.spills.bytes += j.prompt() * bytesPerToken
	receiver := to.gateways[g.rnd.IntN(len(to.gateways))]
	g.sim.After(linkDelay, func() { receiver.arrive(j) })
}

// returnToOrigin returns a refused request to the gateway that received it first.
func (g *gateway) returnToOrigin(j *job) {
	g.sim.spills.refusedByReceiver++
	origin := g.sim.failureDomains[j.failureDomain].gateways[j.gateway]
	g.sim.After(linkDelay, func() { origin.arrive(j) })
}

func (s *simulation) failureDomain(name string) *failureDomain {
	for _, fd := range s.failureDomains {
		if fd.name == name {
			return fd
		}
	}
	return nil
}

// bytesPerToken is the gateways' estimate of the length of a prompt token.
const bytesPerToken = 4

// answerBytes returns the length of an answer as a stream of chunks.
func (j *job) answerBytes() int { return j.answer * len(sampleChunk) }

// sampleChunk is a chunk in the upstreams' stream format.
const sampleChunk = `data: {"id":"gw-1-0123456789abcdef","object":"chat.completion.chunk","model":"m",` +
	`"choices":[{"index":0,"delta":{"content":"tok "},"finish_reason":null}]}` + "\n\n"

// returnDelay returns the network delay of an answer to the gateway of its caller.
func (e *engine) returnDelay(j *job) time.Duration {
	if e.failureDomain.index == j.failureDomain {
		return 0
	}
	return linkDelay
}

// spills counts the requests sent to other failure domains.
type spills struct {
	total, refusedByReceiver int
	// bytes counts prompts and answers between failure domains, without headers.
	bytes int
	// bins counts the requests that each failure domain sent, per binWidth.
	bins map[int][]float64
}

// binWidth is the resolution at which reversals are detected.
const binWidth = 5 * time.Second

func (s *spills) sent(j *job, _ *failureDomain) {
	s.total++
	bin := int(j.at / binWidth)
	for len(s.bins[j.failureDomain]) <= bin {
		s.bins[j.failureDomain] = append(s.bins[j.failureDomain], 0)
	}
	s.bins[j.failureDomain][bin]++
}

// reversalThreshold is the smallest change that counts as a reversal, in requests per
// bin.
const reversalThreshold = 8

// reversals counts how often the rate sent by a failure domain changed between rising
// and falling.
func (s *spills) reversals() int {
	count := 0
	for _, bins := range s.bins {
		low, high, rising := bins[0], bins[0], true
		for _, sent := range bins {
			if rising {
				high = max(high, sent)
				if sent <= high-reversalThreshold {
					rising, low = false, sent
					count++
				}
				continue
			}
			low = min(low, sent)
			if sent >= low+reversalThreshold {
				rising, high = true, sent
				count++
			}
		}
	}
	return count
}
