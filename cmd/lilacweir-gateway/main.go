// Command lilacweir-gateway is the data path of an entry instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/lilacweir/lilacweir/pkg/control"
	"github.com/lilacweir/lilacweir/pkg/gateway"
	"github.com/lilacweir/lilacweir/pkg/logging"
	"github.com/lilacweir/lilacweir/pkg/platform/access"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/version"
)

// commands are the program's command line.
type commands struct {
	Run     runCommand       `cmd:"" help:"Serve until SIGTERM, then leave gracefully."`
	Check   checkCommand     `cmd:"" help:"Check the settings without starting."`
	Version kong.VersionFlag `help:"Print the version."`
}

// checkCommand reads the settings and reports all their faults.
type checkCommand struct {
	Settings string `arg:"" help:"Settings file of the instance (YAML)."`
}

// Run implements the command.
func (c *checkCommand) Run() error {
	if _, err := settings.Check(c.Settings, time.Now()); err != nil {
		return err
	}
	fmt.Printf("%s: ok\n", c.Settings)
	return nil
}

// runCommand serves.
type runCommand struct {
	Settings string `arg:"" help:"Settings file of the instance (YAML)."`
}

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
