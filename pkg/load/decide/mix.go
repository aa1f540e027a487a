package decide

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/timeline"
)

// Names of the mixes.
const (
	MixWellness = "wellness"
	MixMinibar  = "minibar"
)

// mix defines the callers and their kinds of request. Lengths are in model tokens.
type mix struct {
	callers []mixCaller
	kinds   []mixKind
}

type mixCaller struct {
	caller *config.Caller
	weight float64
}

// mixKind is one kind of request.
type mixKind struct {
	name   string
	weight float64
	// system and history are the tokens of the two leading messages. histories is
	// the number of different histories.
	system, history, histories int
	question, answer           int
	deadline                   time.Duration
}

// job is one request.
type job struct {
	at            time.Duration
	kind          *mixKind
	caller        *config.Caller
	failureDomain int
	gateway       int
	prefixes      []uint64
	tokens        []int // cumulative, up to the end of each message
	answer        int
	// homeRegionOnly requests may be processed only in their own region.
	homeRegionOnly bool
	// tried names the failure domains to which it was sent.
	tried []string
	// Result of the request.
	refused, inTime bool
	first           time.Duration
	roll            uint64
}

func (j *job) deadline() time.Time { return timeline.Epoch.Add(j.at + j.kind.deadline) }

func (j *job) prompt() int { return j.tokens[len(j.tokens)-1] }

func mixOf(name string) (*mix, error) {
	switch name {
	case MixWellness:
		return wellness(), nil
	case MixMinibar:
		return minibar(), nil
	default:
		return nil, &OptionError{Name: "mix", Value: name}
	}
}

// wellness mixes long monthly reviews of whole histories with short questions.
func wellness() *mix {
	return &mix{
		callers: []mixCaller{
			{&config.Caller{Name: "clinic-review"}, 1},
			{&config.Caller{Name: "residents-app"}, 2},
			{&config.Caller{Name: "shift-workers"}, 1},
		},
		kinds: []mixKind{
			{name: "review", weight: 3, system: 200, history: 5000, histories: 40, question: 100, answer: 300, deadline: 30 * time.Second},
			{name: "question", weight: 7, system: 200, question: 80, answer: 100, deadline: 10 * time.Second},
		},
	}
}

// minibarCallers is the number of callers in the minibar mix. The first sends
// greedyWeight times as many requests as each of the others.
const (
	minibarCallers = 6
	greedyWeight   = 10
)

// minibar mixes restock lists with a hotel's history and short charge checks.
func minibar() *mix {
	m := &mix{kinds: []mixKind{
		{name: "restock", weight: 4, system: 150, history: 2500, histories: 60, question: 60, answer: 200, deadline: 15 * time.Second},
		{name: "check", weight: 6, system: 150, question: 50, answer: 40, deadline: 5 * time.Second},
	}}
	for i := range minibarCallers {
		weight := 1.0
		if i == 0 {
			weight = greedyWeight
		}
		m.callers = append(m.callers, mixCaller{&config.Caller{Name: fmt.Sprintf("partner-%d", i+1)}, weight})
	}
	return m
}

// arrivals draws the jobs of a Poisson process in one failure domain, by thinning.
// The rate may vary over time but never exceeds highest.
func (m *mix) arrivals(rnd *rand.Rand, highest float64, rate func(time.Duration) float64, length time.Duration, failureDomain, gateways int) []job {
	var jobs []job
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() / highest * float64(time.Second))
		if at >= length {
			return jobs
		}
		j := m.draw(rnd)
		if rnd.Float64()*highest > rate(at) {
			continue
		}
		j.at = at
		j.failureDomain = failureDomain
		j.gateway = rnd.IntN(gateways)
		j.homeRegionOnly = rnd.Float64() < homeRegionFraction
		jobs = append(jobs, j)
	}
}

// homeRegionFraction is the fraction of requests that may not leave their region.
const homeRegionFraction = 0.36

func (m *mix) draw(rnd *rand.Rand) job {
	kind := &m.kinds[weighted(rnd, len(m.kinds), func(i int) float64 { return m.kinds[i].weight })]
	from := weighted(rnd, len(m.callers), func(i int) float64 { return m.callers[i].weight })
	j := job{kind: kind, caller: m.callers[from].caller, roll: rnd.Uint64()}
	j.answer = max(1, int(float64(kind.answer)*(0.5+rnd.Float64())))
	j.add(hashOf(kind.name), kind.system)
	if kind.histories > 0 {
		j.add(hashOf(kind.name, rnd.IntN(kind.histories)), kind.history)
	}
	j.add(rnd.Uint64(), kind.question)
	return j
}

// add appends a message.
func (j *job) add(hash uint64, tokens int) {
	if len(j.tokens) > 0 {
		tokens += j.prompt()
	}
	j.prefixes = append(j.prefixes, hash)
	j.tokens = append(j.tokens, tokens)
}

func weighted(rnd *rand.Rand, n int, weight func(int) float64) int {
	sum := 0.0
	for i := range n {
		sum += weight(i)
	}
	point := rnd.Float64() * sum
	for i := range n {
		point -= weight(i)
		if point < 0 {
			return i
		}
	}
	return n - 1
}
