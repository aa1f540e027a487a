package decide

import (
	"time"

	"github.com/lilacweir/lilacweir/pkg/route"
)

// connectTimeout is how long it takes to notice that a link is cut.
const connectTimeout = time.Second

// forward sends a request to another failure domain, to one of its gateways at random.
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

// giveBack returns a refused request to the gateway that forwarded it.
func (g *gateway) giveBack(j *job) {
	g.sim.spills.refusedThere++
	origin := g.sim.failureDomains[j.failureDomain].gateways[j.gateway]
	g.sim.After(linkDelay, func() { origin.arrive(j) })
}

func (s *simulation) failureDomain(name string) *failureDomain {
	for _, h := range s.failureDomains {
		if h.name == name {
			return h
		}
	}
	return nil
}

// bytesPerToken is the length of a token in a prompt, by the rule of the gateways.
const bytesPerToken = 4

// answerBytes is the length of an answer as a stream of chunks.
func (j *job) answerBytes() int { return j.answer * len(sampleChunk) }

// sampleChunk is a chunk of a stream in the upstreams' format.
const sampleChunk = `data: {"id":"gw-1-0123456789abcdef","object":"chat.completion.chunk","model":"m",` +
	`"choices":[{"index":0,"delta":{"content":"tok "},"finish_reason":null}]}` + "\n\n"

// wayBack is how long an answer travels to the gateway that the caller asked.
func (e *engine) wayBack(j *job) time.Duration {
	if e.failureDomain.index == j.failureDomain {
		return 0
	}
	return linkDelay
}

// spills counts what was sent away.
type spills struct {
	total, refusedThere int
	// bytes of prompts and answers that went between failure domains; without headers.
	bytes int
	// bins counts what each failure domain sent, by intervals of binTime.
	bins map[int][]float64
}

// binTime is the resolution at which swings are looked for.
const binTime = 5 * time.Second

func (s *spills) sent(j *job, _ *failureDomain) {
	s.total++
	bin := int(j.at / binTime)
	for len(s.bins[j.failureDomain]) <= bin {
		s.bins[j.failureDomain] = append(s.bins[j.failureDomain], 0)
	}
	s.bins[j.failureDomain][bin]++
}

// swing is the change, in requests a bin, from which a turn counts.
const swing = 8

// turns counts how often what a failure domain sends turned from rising to falling or back.
func (s *spills) turns() int {
	count := 0
	for _, bins := range s.bins {
		low, high, rising := bins[0], bins[0], true
		for _, sent := range bins {
			if rising {
				high = max(high, sent)
				if sent <= high-swing {
					rising, low = false, sent
					count++
				}
				continue
			}
			low = min(low, sent)
			if sent >= low+swing {
				rising, high = true, sent
				count++
			}
		}
	}
	return count
}
