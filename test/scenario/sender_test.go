package scenario

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/load"
)

// Parameters of background load.
const (
	loadLength  = 2 * time.Minute
	loadTimeout = 30 * time.Second
	loadSeed    = 1
)

// backgroundLoad is open-loop load that runs concurrently with a script.
type backgroundLoad struct {
	run    *load.Run
	cancel context.CancelFunc
	done   chan struct{}
	report *load.Report
	err    error
}

// send starts load in the background: send NAME RATE MIXFILE.
func send(d *deployment, args []string) (string, error) {
	const count = 3
	if len(args) != count {
		return "", errUsage
	}
	var rate float64
	if _, err := fmt.Sscan(args[1], &rate); err != nil {
		return "", fmt.Errorf("%w: %w", errUsage, err)
	}
	mix, err := load.ReadMix(d.file(args[2]))
	if err != nil {
		return "", err
	}
	d.sendMix(args[0], rate, mix)
	return "", nil
}

func (d *deployment) sendMix(name string, rate float64, mix *load.Mix) {
	run := &load.Run{
		Mix: mix, Seeds: load.SeedsByDomain(d.instances), Regions: load.RegionByDomain(d.instances),
		Seed: loadSeed, Rate: rate, Length: loadLength, Timeout: loadTimeout,
	}
	ctx, cancel := context.WithCancel(context.Background())
	background := &backgroundLoad{run: run, cancel: cancel, done: make(chan struct{})}
	d.loads[name] = background
	go func() {
		defer close(background.done)
		background.report, background.err = run.Send(ctx)
	}()
}

// sending prints the number of finished requests of a load: sending NAME.
func sending(d *deployment, args []string) (string, error) {
	if len(args) != 1 || d.loads[args[0]] == nil {
		return "", errUsage
	}
	return fmt.Sprintf("answered=%d", d.loads[args[0]].run.Answered.Load()), nil
}

// sent stops a load, waits for its last answer and prints the results: sent NAME.
func sent(d *deployment, args []string) (string, error) {
	if len(args) != 1 || d.loads[args[0]] == nil {
		return "", errUsage
	}
	background := d.loads[args[0]]
	background.cancel()
	<-background.done
	if background.err != nil {
		return "", background.err
	}
	total := background.report.Total()
	var text strings.Builder
	fmt.Fprintf(&text, "sent=%d complete=%d not-run=%d unknown=%d away=%d\n", total.Sent, total.Complete, total.NotRun, total.Unknown, total.Remote)
	for _, failure := range background.report.Failures {
		fmt.Fprintf(&text, "%s %s %s %s %s %v\n", failure.Item, failure.Caller, failure.Outcome, failure.Reason, failure.RequestID, failure.Err)
	}
	return text.String(), nil
}
