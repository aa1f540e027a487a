// Command lilacweir-agent runs the control path of an entry instance.
package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rcrowley/go-metrics"

	"github.com/lilacweir/lilacweir/pkg/agent"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/logging"
	"github.com/lilacweir/lilacweir/pkg/order/orderhttp"
	"github.com/lilacweir/lilacweir/pkg/platform/access"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/version"
)

const program = "lilacweir-agent"

// memoryTarget is the soft memory limit of the runtime, in bytes. With the
// program's own pages the process is then near 32 MB. A much lower limit keeps the collector
// running all the time in an agent that is alone in its domain and sees 40 others.
// GOMEMLIMIT overrides it.
const memoryTarget = 25 << 20

// commands is the program's command line.
type commands struct {
	Run     runCommand            `cmd:"" help:"Serve until SIGTERM, then leave gracefully."`
	Check   settings.CheckCommand `cmd:"" help:"Check the settings without starting."`
	Version kong.VersionFlag      `help:"Print the version."`
}

// runCommand runs the agent.
type runCommand struct{ settings.File }

// Run implements the command.
func (c *runCommand) Run() error {
	instance, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	options, err := optionsOf(instance)
	if err != nil {
		return err
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryTarget)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return agent.New(options).Run(ctx)
}

// optionsOf connects the platform's adapters. Links to other instances and to the
// local gateway have separate networks, so that their bytes are counted separately.
func optionsOf(instance *settings.Instance) (agent.Options, error) {
	log, err := logging.New(os.Stderr, program, instance.Instance, instance.Log.Level)
	if err != nil {
		return agent.Options{}, err
	}
	mesh, err := control.NewNetwork(instance.Security, instance.DialVia)
	if err != nil {
		return agent.Options{}, err
	}
	local, err := control.NewNetworkWith(mesh.Credentials(), instance.Security, instance.DialVia)
	if err != nil {
		return agent.Options{}, err
	}
	services, err := access.Open(mesh.Credentials(), instance.Platform, mesh.DialPlain)
	if err != nil {
		return agent.Options{}, err
	}
	return agent.Options{
		Settings: instance, Mesh: mesh, Local: local,
		KeyValue:  services.KeyValue,
		Directory: services.Directory,
		List:      services.List,
		Weights:   services.Weights,
		Engines:   orderhttp.New(mesh.DialPlain),
		HeadKey:   config.HeadKey,
		Log:       log,
		Registry:  metrics.NewRegistry(),
		Epoch:     uint64(time.Now().UnixNano()),
	}, nil
}

func main() {
	var cli commands
	parsed := kong.Parse(&cli,
		kong.Name(program),
		kong.Description("The control path of an entry instance of lilacweir."),
		kong.Vars{"version": version.String()})
	parsed.FatalIfErrorf(parsed.Run())
}
