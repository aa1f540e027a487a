// Command lilacweir-gateway runs the data path of an entry instance.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/gateway"
	"github.com/lilacweir/lilacweir/pkg/logging"
	"github.com/lilacweir/lilacweir/pkg/platform/access"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/version"
)

// commands is the program's command line.
type commands struct {
	Run     runCommand            `cmd:"" help:"Serve until SIGTERM, then leave gracefully."`
	Check   settings.CheckCommand `cmd:"" help:"Check the settings without starting."`
	Version kong.VersionFlag      `help:"Print the version."`
}

// runCommand runs the gateway.
type runCommand struct{ settings.File }

// Run implements the command.
func (c *runCommand) Run() error {
	instance, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := logging.New(os.Stderr, "lilacweir-gateway", instance.Instance, instance.Log.Level)
	if err != nil {
		return err
	}
	network, err := control.NewNetwork(instance.Security, instance.DialVia)
	if err != nil {
		return err
	}
	keyValue, err := access.KeyValue(network.Credentials(), instance.Platform, network.DialPlain)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return gateway.New(instance, network, keyValue, log).Run(ctx)
}

func main() {
	var cli commands
	program := kong.Parse(&cli,
		kong.Name("lilacweir-gateway"),
		kong.Description("The data path of an entry instance of lilacweir."),
		kong.Vars{"version": version.String()})
	program.FatalIfErrorf(program.Run())
}
