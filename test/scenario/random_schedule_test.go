package scenario

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"strings"
	"time"
)

// scheduleStream separates the schedule's random stream from the callers'.
const scheduleStream = 0x6661756c74

// Durations in the schedule.
const (
	meanGap    = 900 * time.Millisecond
	shortest   = 300 * time.Millisecond
	longest    = 6 * time.Second
	isolation  = 8 * time.Second
	settleTime = 4 * time.Second
	// changeDuration is the least time until operators revert a change. It leaves time
	// for a drain to be in force everywhere and for leaveBound to pass.
	changeDuration = 9 * time.Second
)

// fault is one fault with the script lines that start and revert it. resources
// names what it uses exclusively, such as processes.
type fault struct {
	at, length    time.Duration
	kind          string
	begin, revert []string
	resources     []string
	// isolated is the failure domain that is partitioned without any other fault.
	isolated string
	// through is the instance that receives operators' lines; empty for any.
	through string
}

func (f *fault) String() string {
	return fmt.Sprintf("%6.1fs %-9s %s | %s", f.at.Seconds(), f.kind, strings.Join(f.begin, "; "), strings.Join(f.revert, "; "))
}

// topology lists the targets of faults.
type topology struct {
	// instances, engines and services are listed by failure domain.
	instances, engines, services map[string][]string
	domains                      []string
}

func (t *topology) all(of map[string][]string) []string {
	var names []string
	for _, domain := range t.domains {
		names = append(names, of[domain]...)
	}
	return names
}

// domainResources lists what faults of a failure domain can use exclusively.
func (t *topology) domainResources(domain string) []string {
	var names []string
	for _, instance := range t.instances[domain] {
		names = append(names, instance+"/gateway", instance+"/agent")
	}
	names = append(names, t.engines[domain]...)
	return append(names, t.services[domain]...)
}

// scheduler draws faults.
type scheduler struct {
	*rand.Rand
	topology *topology
	// free is the time from which each resource is available again.
	free map[string]time.Duration
	now  time.Duration
}

// newSchedule draws a schedule, which depends only on the seed, the count and the
// topology. The first fault partitions a failure domain that has no other fault.
func newSchedule(seed uint64, count int, t *topology) []*fault {
	s := &scheduler{Rand: rand.New(rand.NewPCG(seed, scheduleStream)), topology: t, free: make(map[string]time.Duration)}
	faults := []*fault{s.place(s.isolate())}
	for len(faults) < count {
		drawn := s.place(s.draw())
		faults = append(faults, drawn)
		switch s.IntN(6) {
		case 0: // concurrent with the next
		case 1: // repeated
			again := *drawn
			faults = append(faults, s.place(&again))
		default:
			s.now += time.Duration(s.ExpFloat64() * float64(meanGap))
		}
	}
	faults = faults[:count]
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].at < faults[j].at })
	return faults
}

// place sets the start of a fault to now, or to when its resources are available.
func (s *scheduler) place(f *fault) *fault {
	f.at = s.now
	for _, name := range f.resources {
		f.at = max(f.at, s.free[name])
	}
	for _, name := range f.resources {
		s.free[name] = f.at + f.length
	}
	return f
}

func pick[T any](s *scheduler, from []T) T { return from[s.IntN(len(from))] }

func (s *scheduler) length() time.Duration {
	return shortest + time.Duration(s.Int64N(int64(longest-shortest)))
}

// draw returns a fault of a random kind.
func (s *scheduler) draw() *fault {
	kinds := []struct {
		weight int
		make   func() *fault
	}{
		{6, s.process}, {5, s.cut}, {3, s.keyValue}, {2, s.list}, {6, s.engine}, {4, s.service}, {6, s.operators}, {1, s.isolate},
	}
	total := 0
	for _, kind := range kinds {
		total += kind.weight
	}
	roll := s.IntN(total)
	for _, kind := range kinds {
		if roll < kind.weight {
			return kind.make()
		}
		roll -= kind.weight
	}
	return nil
}

// process kills, stops or freezes a gateway, an agent or a whole instance.
func (s *scheduler) process() *fault {
	instance := pick(s, s.topology.all(s.topology.instances))
	target := instance + pick(s, []string{"", "/gateway", "/agent"})
	f := &fault{kind: "process", length: s.length(), resources: []string{target}}
	if target == instance {
		f.resources = []string{instance + "/gateway", instance + "/agent"}
	}
	verbs := pick(s, [][2]string{{"sigkill", "start"}, {"sigterm", "start"}, {"freeze", "thaw"}})
	f.begin, f.revert = []string{verbs[0] + " " + target}, []string{verbs[1] + " " + target}
	return f
}

// cut cuts a link in one or both directions, by dropping traffic or with resets.
func (s *scheduler) cut() *fault {
	from := pick(s, s.topology.domains)
	to := pick(s, append([]string{"platform"}, s.topology.domains...))
	if from == to {
		to = "platform"
	}
	direction := pick(s, []string{"", " both"})
	if direction == "" && s.IntN(2) == 0 {
		from, to = to, from
	}
	reset := pick(s, []string{"", "", " reset"})
	return &fault{
		kind: "link", length: s.length(), resources: []string{link(from, to)},
		begin: []string{"ctl cut " + from + " " + to + direction + reset}, revert: []string{"ctl heal " + from + " " + to + direction},
	}
}

// link returns the resource name of the link between two places, in both directions.
func link(a, b string) string { return min(a, b) + "-" + max(a, b) }

// isolate partitions a failure domain from the platform and the others. It reserves
// all its resources, from settleTime before the checked interval, so that no other
// fault affects the domain.
func (s *scheduler) isolate() *fault {
	domain := pick(s, s.topology.domains)
	f := &fault{kind: "isolate", length: settleTime + isolation, resources: s.topology.domainResources(domain), isolated: domain}
	for _, other := range append([]string{"platform"}, s.topology.domains...) {
		if other == domain {
			continue
		}
		f.resources = append(f.resources, link(domain, other))
		f.begin = append(f.begin, "ctl cut "+domain+" "+other+" both")
		f.revert = append(f.revert, "ctl heal "+domain+" "+other+" both")
	}
	return f
}

func (s *scheduler) keyValue() *fault {
	f := &fault{kind: "kv", length: s.length(), resources: []string{"kv"}, revert: []string{"ctl kv up", "ctl kv slow 0", "ctl kv lose-answers 0"}}
	f.begin = []string{"ctl kv " + pick(s, []string{"down", "slow 400", "slow 1500", "lose-answers 1", "lose-answers 3", "compact"})}
	return f
}

func (s *scheduler) list() *fault {
	f := &fault{kind: "list", length: s.length(), resources: []string{"list"}}
	if s.IntN(2) == 0 {
		f.begin, f.revert = []string{"ctl list lag 9000"}, []string{"ctl list lag 3000"}
		return f
	}
	target := pick(s, s.topology.all(s.topology.engines))
	f.resources = append(f.resources, target)
	f.begin, f.revert = []string{"ctl list leaving " + target}, []string{"ctl list staying " + target}
	return f
}

func (s *scheduler) engine() *fault {
	target := pick(s, s.topology.all(s.topology.engines))
	switches := []string{"slow 8", "fail 5", "refuse 5", "die-after 0", "die-after 3", "stall 2", "cross", "truncate", "leave", "lie", "no-resume", "forget"}
	return &fault{
		kind: "engine", length: s.length(), resources: []string{target},
		begin: []string{"ctl engine " + target + " " + pick(s, switches)}, revert: []string{"ctl engine " + target + " ok"},
	}
}

func (s *scheduler) service() *fault {
	target := pick(s, s.topology.all(s.topology.services))
	switches := []string{"slow 900", "fail 3", "refuse 5", "die 3", "stall 1", "leave"}
	return &fault{
		kind: "service", length: s.length(), resources: []string{target},
		begin: []string{"ctl service " + target + " " + pick(s, switches)}, revert: []string{"ctl service " + target + " ok"},
	}
}

// operators makes one change, or two concurrent ones, through one or any instance.
func (s *scheduler) operators() *fault {
	f := &fault{kind: "operators", length: changeDuration + s.length()}
	for range 1 + s.IntN(2) {
		s.change(f)
	}
	if s.IntN(2) == 0 {
		f.through = pick(s, s.topology.all(s.topology.instances))
	}
	return f
}

// change adds an operator's line and, for most kinds, the line that reverts it.
func (s *scheduler) change(f *fault) {
	switch s.IntN(5) {
	case 0:
		f.begin = append(f.begin, "run forbid clinic-review "+pick(s, []string{"attiki", "makedonia"}))
		f.revert = append(f.revert, strings.Replace(f.begin[len(f.begin)-1], "forbid", "permit", 1))
	case 1:
		f.begin = append(f.begin, "run permit shift-workers attiki")
		f.revert = append(f.revert, "run forbid shift-workers attiki")
	case 2:
		regions := pick(s, []string{"thessalia>attiki", "makedonia>thessalia", "attiki>makedonia"})
		f.begin = append(f.begin, fmt.Sprintf("run spill %s %d%%", regions, s.IntN(100)))
	case 3:
		f.begin = append(f.begin, fmt.Sprintf("run ver lilac-nurse v1 %d%%", 100)) // refused, since it changes nothing
	default:
		target := pick(s, append(s.topology.all(s.topology.engines), s.topology.all(s.topology.services)...))
		f.resources = append(f.resources, target)
		f.begin, f.revert = append(f.begin, "run drain "+target+" !"), append(f.revert, "run undrain "+target)
	}
}
