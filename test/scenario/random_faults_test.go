package scenario

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/lilacweir/lilacweir/pkg/clock"
)

// interval is a span of time.
type interval struct{ from, until time.Time }

// overlaps returns whether the interval overlaps another.
func (i interval) overlaps(from, until time.Time) bool {
	return i.from.Before(until) && from.Before(i.until)
}

// operatorCommand is an operator's command line and the reply.
type operatorCommand struct {
	line string
	interval
	text string
	err  error
}

// faultInjector carries out a schedule of faults and records its actions.
type faultInjector struct {
	d *deployment
	// resources has a mutex for each resource that faults use exclusively.
	resources map[string]*sync.Mutex
	// restart is called with processes that are about to end or have started.
	restart func(found []*process)

	mu sync.Mutex
	// killed and stopped hold the intervals around SIGKILL and SIGTERM, by process.
	killed, stopped map[string][]interval
	// isolated holds the intervals in which a failure domain was partitioned and had no
	// other fault.
	isolated map[string][]interval
	commands []operatorCommand
	problems []string
	actions  []string
}

func newFaultInjector(d *deployment, faults []*fault) *faultInjector {
	x := &faultInjector{
		d: d, resources: make(map[string]*sync.Mutex), killed: make(map[string][]interval),
		stopped: make(map[string][]interval), isolated: make(map[string][]interval),
	}
	for _, f := range faults {
		for _, name := range f.resources {
			x.resources[name] = &sync.Mutex{}
		}
	}
	return x
}

// run carries out the faults at their times and returns when all are reverted.
func (x *faultInjector) run(ctx context.Context, faults []*fault) {
	begin := time.Now()
	var running sync.WaitGroup
	for _, f := range faults {
		if !clock.Sleep(ctx, time.Until(begin.Add(f.at))) {
			break
		}
		running.Go(func() { x.carryOut(ctx, f) })
	}
	running.Wait()
}

func (x *faultInjector) carryOut(ctx context.Context, f *fault) {
	held := slices.Compact(slices.Sorted(slices.Values(f.resources)))
	for _, name := range held {
		x.resources[name].Lock()
		defer x.resources[name].Unlock()
	}
	begun := time.Now()
	x.begin(f)
	clock.Sleep(ctx, f.length)
	if f.isolated != "" {
		x.locked(func() {
			x.isolated[f.isolated] = append(x.isolated[f.isolated], interval{begun.Add(settleTime), time.Now()})
		})
	}
	for _, line := range f.revert {
		x.revert(line, f)
	}
}

// revert executes a line that reverts a fault. It repeats an operator's line until it
// is accepted, since the platform may be unreachable.
func (x *faultInjector) revert(line string, f *fault) {
	change, operators := strings.CutPrefix(line, "run ")
	if !operators {
		x.do(line, f)
		return
	}
	_ = poll(pollTimeout, func() error {
		text := x.runCommand(change, f.through)
		if readVerdict(text).revision > 0 || strings.Contains(text, "nothing to do") {
			return nil
		}
		return errNotReady
	})
}

// begin starts a fault. Operators' lines run concurrently.
func (x *faultInjector) begin(f *fault) {
	var racing sync.WaitGroup
	for _, line := range f.begin {
		if f.kind == "operators" {
			racing.Go(func() { x.do(line, f) })
		} else {
			x.do(line, f)
		}
	}
	racing.Wait()
}

// do executes one line.
func (x *faultInjector) do(line string, f *fault) {
	fields := strings.Fields(line)
	name, args := fields[0], fields[1:]
	if name == "run" {
		x.runCommand(strings.Join(args, " "), f.through)
		return
	}
	from := time.Now()
	switch name {
	case "sigkill":
		x.recordEnd(x.killed, args[0], from)
	case "sigterm":
		x.recordEnd(x.stopped, args[0], from)
	case "start":
		defer x.recordStart(args[0])
	}
	text, err := verbTable()[name](x.d, args)
	if err != nil {
		x.locked(func() { x.problems = append(x.problems, fmt.Sprintf("%s: %v: %s", line, err, text)) })
	}
	x.locked(func() {
		x.actions = append(x.actions, fmt.Sprintf("%s %s (%v)", from.Format(time.StampMilli), line, time.Since(from).Round(time.Millisecond)))
	})
}

// endMargin is the time from a signal until the process has exited, in which a broken
// connection may be due to the signal.
const endMargin = 2 * time.Second

func (x *faultInjector) recordEnd(into map[string][]interval, target string, from time.Time) {
	found, err := x.d.find(target)
	if err != nil {
		return
	}
	x.restart(found)
	x.locked(func() {
		for _, one := range found {
			into[one.name] = append(into[one.name], interval{from, from.Add(endMargin)})
		}
	})
}

func (x *faultInjector) recordStart(target string) {
	if found, err := x.d.find(target); err == nil {
		x.restart(found)
	}
}

func (x *faultInjector) locked(change func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	change()
}

// runCommand sends an operator's line and records the reply.
func (x *faultInjector) runCommand(line, through string) string {
	one := operatorCommand{line: line}
	one.from = time.Now()
	if through != "" {
		one.text, one.err = operate(x.d, []string{through + ":", line})
	} else {
		one.text, one.err = operate(x.d, []string{line})
	}
	one.until = time.Now()
	x.locked(func() {
		x.commands = append(x.commands, one)
		x.actions = append(x.actions, fmt.Sprintf("%s %s: %q", one.from.Format(time.StampMilli), line, one.text))
	})
	return one.text
}

// Patterns of the replies to operators.
var (
	acceptedText = regexp.MustCompile(`(?m)^(?:accepted as )?(\d+) in force (\d+)/(\d+)`)
	foundText    = regexp.MustCompile(`(?m)^accepted as (\d+)`)
	refusedText  = regexp.MustCompile(`(?m)^(refused, nothing changed|not accepted, and never will be|no configuration here)`)
	identityText = regexp.MustCompile(`why (c[0-9]+-[0-9a-z]+)`)
	unsentText   = regexp.MustCompile(`nothing was sent`)
)

// verdict is the result of a change as reported to its operator.
type verdict struct {
	// revision is zero unless the change was accepted.
	revision int
	// everywhere is true if the reply reported it in force on all instances.
	everywhere bool
	// refused is true if the reply reported a refusal, undecided if it
	// reported no result.
	refused, undecided bool
}

// readVerdict parses a reply.
func readVerdict(text string) verdict {
	if match := acceptedText.FindStringSubmatch(text); match != nil {
		revision, _ := strconv.Atoi(match[1])
		return verdict{revision: revision, everywhere: match[2] == match[3]}
	}
	if match := foundText.FindStringSubmatch(text); match != nil {
		revision, _ := strconv.Atoi(match[1])
		return verdict{revision: revision}
	}
	if refusedText.MatchString(text) || unsentText.MatchString(text) {
		return verdict{refused: true}
	}
	return verdict{undecided: true}
}

// heal reverts every fault and waits until each instance serves and has the newest
// revision.
func (x *faultInjector) heal(t *topology) error {
	for _, domain := range t.domains {
		for _, other := range append([]string{"platform"}, t.domains...) {
			if other != domain {
				x.do("ctl heal "+domain+" "+other+" both", nil)
			}
		}
	}
	for _, line := range []string{"ctl kv up", "ctl kv slow 0", "ctl kv lose-answers 0", "ctl list lag 3000"} {
		x.do(line, nil)
	}
	for _, name := range t.all(t.engines) {
		x.do("ctl engine "+name+" ok", nil)
		x.do("ctl list staying "+name, nil)
	}
	for _, name := range t.all(t.services) {
		x.do("ctl service "+name+" ok", nil)
	}
	if err := poll(pollTimeout, x.d.allServing); err != nil {
		return err
	}
	return poll(pollTimeout, func() error {
		text, err := operate(x.d, []string{"st"})
		if match := acceptedText.FindStringSubmatch(text); match == nil || match[2] != match[3] {
			return fmt.Errorf("%w: st reports %s (%w)", errNotReady, text, err)
		}
		return nil
	})
}
