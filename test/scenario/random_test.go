package scenario

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// Seed and number of faults of the random run. The same seed gives the same schedule
// and the same requests.
var (
	seedFlag   = flag.Uint64("seed", 2406, "seed of TestRandom")
	faultsFlag = flag.Int("faults", 24, "number of faults of TestRandom")
)

// TestRandom injects mixed faults into one deployment under open-loop load, reverts
// them, and checks the replies to callers and operators against the journals, for each
// guarantee.
func TestRandom(t *testing.T) {
	is := is.New(t)
	d, err := plan("wellness", t.TempDir())
	is.NoErr(err)
	defer d.close()
	is.NoErr(bringUp(d))
	targets := d.topology()
	faults := newSchedule(*seedFlag, *faultsFlag, targets)
	t.Logf("seed %d, %d faults over %v", *seedFlag, len(faults), faults[len(faults)-1].at.Round(time.Second))

	run := runWithFaults(d, targets, faults)
	e := &evidence{d: d, attempts: run.callerLoad.attempts, watcher: run.watcher, faults: run.faultInjector, gateways: d.gatewaysByDomain()}
	is.NoErr(run.healed)
	is.NoErr(e.collect())
	e.check()
	t.Logf("seed %d:\n%s", *seedFlag, e.report())
	if len(e.violations) > 0 || len(run.faultInjector.problems) > 0 {
		t.Logf("problems:\n%s\nwhat was done:\n%s", strings.Join(run.faultInjector.problems, "\n"), strings.Join(run.faultInjector.actions, "\n"))
		keepLogs(t, d)
	}
	is.Equal(len(run.faultInjector.problems), 0) // every fault could be injected and reverted
	is.Equal(len(e.violations), 0)               // every guarantee held
}

// TestScheduleDependsOnTheSeedAlone checks that schedules are equal for equal seeds
// and differ for others.
func TestScheduleDependsOnTheSeedAlone(t *testing.T) {
	is := is.New(t)
	targets := &topology{
		domains:   []string{"north", "south"},
		instances: map[string][]string{"north": {"n1", "n2"}, "south": {"s1"}},
		engines:   map[string][]string{"north": {"e1"}, "south": {"e2"}},
		services:  map[string][]string{"north": {"p1"}, "south": {"p2"}},
	}
	text := func(seed uint64) string { return fmt.Sprint(newSchedule(seed, 60, targets)) }
	is.Equal(text(7), text(7))
	is.True(text(7) != text(8))
}

// faultRun is the result of a run with faults.
type faultRun struct {
	callerLoad    *callerLoad
	watcher       *watcher
	faultInjector *faultInjector
	healed        error
}

// runWithFaults runs the faults under load, reverts them and waits for the last
// answers.
func runWithFaults(d *deployment, targets *topology, faults []*fault) *faultRun {
	run := &faultRun{callerLoad: newCallerLoad(d, *seedFlag), watcher: newWatcher(d), faultInjector: newFaultInjector(d, faults)}
	run.faultInjector.restart = run.watcher.restart
	watching, stopWatching := context.WithCancel(context.Background())
	sending, stopSending := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { run.watcher.run(watching) })
	running.Go(func() { run.callerLoad.run(sending, time.Hour) })
	run.faultInjector.run(context.Background(), faults)
	run.healed = run.faultInjector.heal(targets)
	stopSending()
	run.callerLoad.sent.Wait()
	stopWatching()
	running.Wait()
	return run
}

// bringUp starts a deployment and applies its declaration.
func bringUp(d *deployment) error {
	if err := d.start("standin"); err != nil {
		return err
	}
	if err := d.startSeparate(); err != nil {
		return err
	}
	if err := d.start("all"); err != nil {
		return err
	}
	err := poll(pollTimeout, func() error {
		_, err := applyFile(d, []string{d.file("declaration.yaml")})
		return err
	})
	if err != nil {
		return err
	}
	return poll(pollTimeout, d.allServing)
}

// names returns the instances' names in order.
func (d *deployment) names() []string {
	var names []string
	for name := range d.instances {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func (d *deployment) gatewaysByDomain() map[string][]string {
	gateways := make(map[string][]string)
	for _, name := range d.names() {
		domain := d.instances[name].Domain
		gateways[domain] = append(gateways[domain], name+"/gateway")
	}
	return gateways
}

// topology returns the possible targets of faults.
func (d *deployment) topology() *topology {
	t := &topology{instances: make(map[string][]string), engines: make(map[string][]string), services: make(map[string][]string)}
	for _, name := range d.names() {
		domain := d.instances[name].Domain
		t.instances[domain] = append(t.instances[domain], name)
	}
	declaration, err := d.declaration()
	if err != nil {
		return t
	}
	for _, upstream := range declaration.Upstreams {
		if upstream.Kind == config.KindEngine {
			t.engines[upstream.Domain] = append(t.engines[upstream.Domain], upstream.Name)
		} else {
			t.services[upstream.Domain] = append(t.services[upstream.Domain], upstream.Name)
		}
	}
	for domain := range t.instances {
		t.domains = append(t.domains, domain)
	}
	sort.Strings(t.domains)
	return t
}

// collect reads the journals, the logs and the audit trail.
func (e *evidence) collect() error {
	var err error
	if e.entries, err = adminEntries[journal.Entry](e.d, "journal"); err != nil {
		return err
	}
	if e.hops, err = readHops(e.d); err != nil {
		return err
	}
	last, err := e.lastRevision()
	if err != nil {
		return err
	}
	e.past, err = readHistory(e.d, last)
	return err
}

// lastRevision returns the revision that every instance reports in force everywhere.
func (e *evidence) lastRevision() (int, error) {
	last := 0
	for _, name := range e.d.names() {
		text, err := operate(e.d, []string{name + ":", "st"})
		read := readVerdict(text)
		if err != nil || !read.everywhere || (last != 0 && read.revision != last) {
			return 0, fmt.Errorf("%w: st at %s: %s, at others revision %d (%w)", errNotReady, name, text, last, err)
		}
		last = read.revision
	}
	return last, nil
}

// keepLogs copies the processes' logs to the directory in LILACWEIR_KEEP_LOGS, if set.
func keepLogs(t *testing.T, d *deployment) {
	directory := os.Getenv("LILACWEIR_KEEP_LOGS")
	if directory == "" {
		return
	}
	if err := os.CopyFS(directory, os.DirFS(d.directory)); err != nil {
		t.Log(err)
	}
}
