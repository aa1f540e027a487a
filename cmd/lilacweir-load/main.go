// Command lilacweir-load sends open-loop load to a deployment and reports the
// results of callers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lilacweir/lilacweir/pkg/cli"
	"github.com/lilacweir/lilacweir/pkg/load"
	"github.com/lilacweir/lilacweir/pkg/version"
)

type program struct {
	Version  kong.VersionFlag `help:"Print the version."`
	Run      runCommand       `cmd:"" help:"Send a mix and report times, outcomes, share sent away and cost."`
	Overhead overheadCommand  `cmd:"" help:"Compare calls through a gateway with direct calls, interleaved in one run."`
	Chunks   chunksCommand    `cmd:"" help:"Compare the processor time of streamed chunks through a gateway and direct."`
	Fit      fitCommand       `cmd:"" help:"Print the series of recorded benchmarks, with a line through each."`
	Capacity capacityCommand  `cmd:"" help:"Print what each role costs at the target size, from recorded benchmarks."`
	Decide   decideCommand    `cmd:"" help:"Compare decisions with simpler policies over modelled engines, in virtual time."`
	Check    checkCommand     `cmd:"" help:"Check a mix without sending anything."`
}

type runCommand struct {
	Deployment string        `short:"d" required:"" help:"Directory with the settings of the deployment's instances." type:"existingdir"`
	Mix        string        `short:"m" help:"Mix of requests; by default the deployment's mix.yaml."`
	Rate       float64       `short:"r" default:"20" help:"Requests a second."`
	For        time.Duration `default:"30s" help:"How long requests keep coming."`
	Timeout    time.Duration `default:"60s" help:"Longest wait for one answer."`
	Seed       uint64        `default:"1" help:"Fixes due times and requests."`
	Admin      string        `help:"Admin address of the stand-ins, to read the cost from their journals."`
	CSV        string        `help:"File to write the report to as comma-separated values."`
}

// Run implements the command.
func (c *runCommand) Run(ctx context.Context) error {
	mixFile := c.Mix
	if mixFile == "" {
		mixFile = c.Deployment + "/mix.yaml"
	}
	mix, err := load.ReadMix(mixFile)
	if err != nil {
		return err
	}
	instances, err := load.ReadInstances(c.Deployment)
	if err != nil {
		return err
	}
	run := &load.Run{
		Mix: mix, Seeds: load.SeedsByDomain(instances), Regions: load.RegionByDomain(instances),
		Seed: c.Seed, Rate: c.Rate, Length: c.For, Timeout: c.Timeout,
	}
	start := time.Now()
	report, err := run.Send(ctx)
	if err != nil {
		return err
	}
	if c.Admin != "" {
		if report.Cost, err = load.ReadCost(ctx, c.Admin, start); err != nil {
			return err
		}
	}
	fmt.Printf("seed %d, %.4g requests a second for %s, times in ms\n", c.Seed, c.Rate, c.For)
	if err := report.WriteText(os.Stdout); err != nil {
		return err
	}
	return c.writeCSV(report)
}

func (c *runCommand) writeCSV(report *load.Report) error {
	if c.CSV == "" {
		return nil
	}
	file, err := os.Create(c.CSV)
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := report.WriteCSV(file); err != nil {
		return err
	}
	return file.Close()
}

type overheadCommand struct {
	Gateway string        `short:"g" required:"" help:"Callers' address of the gateway."`
	Direct  string        `required:"" help:"Address of the plain service that the gateway would call."`
	Path    string        `required:"" help:"Path through the gateway, with the service's prefix, of a GET call."`
	Rate    float64       `short:"r" default:"200" help:"Requests a second, direct and through the gateway together."`
	For     time.Duration `default:"30s" help:"How long requests keep coming."`
	Seed    uint64        `default:"1" help:"Fixes due times."`
}

// Run implements the command.
func (c *overheadCommand) Run(ctx context.Context) error {
	comparison := &load.Comparison{
		Gateway: c.Gateway, Direct: c.Direct, Key: os.Getenv(cli.EnvCallerKey), Path: c.Path,
		Seed: c.Seed, Rate: c.Rate, Length: c.For,
	}
	return comparison.Send(ctx).WriteText(os.Stdout)
}

type chunksCommand struct {
	Gateway string `short:"g" required:"" help:"Callers' address of the gateway."`
	Direct  string `required:"" help:"Address of a model engine behind it."`
	Model   string `short:"m" required:"" help:"Model."`
	Streams int    `default:"8" help:"Streams at once."`
	Tokens  int    `default:"256" help:"Chunks of each stream."`
	Slices  int    `default:"5" help:"Slices each way."`
	PID     []int  `help:"Process IDs of the gateway and the engine."`
}

// Run implements the command.
func (c *chunksCommand) Run(ctx context.Context) error {
	rate := &load.ChunkRate{
		Gateway: c.Gateway, Direct: c.Direct, Key: os.Getenv(cli.EnvCallerKey), Model: c.Model,
		Streams: c.Streams, Tokens: c.Tokens, Slices: c.Slices, Processes: c.PID,
	}
	result, err := rate.Send(ctx)
	if err != nil {
		return err
	}
	return result.WriteText(os.Stdout)
}

type checkCommand struct {
	Mix string `arg:"" help:"Mix of requests."`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	if _, err := load.ReadMix(c.Mix); err != nil {
		return err
	}
	fmt.Println(c.Mix + ": ok")
	return nil
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var parsed program
	command := kong.Parse(&parsed,
		kong.Name("lilacweir-load"),
		kong.Description("Sends open-loop load and reports what callers saw."),
		kong.UsageOnError(),
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Vars{"version": version.String()})
	command.FatalIfErrorf(command.Run())
}
