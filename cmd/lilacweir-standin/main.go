// Command lilacweir-standin runs small stand-ins for the platform, the upstreams
// and the links between failure domains, for tests and experiments on one machine.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/lilacweir/lilacweir/pkg/logging"
	"github.com/lilacweir/lilacweir/pkg/standin"
	"github.com/lilacweir/lilacweir/pkg/standin/admin"
	"github.com/lilacweir/lilacweir/pkg/standin/certificate"
	"github.com/lilacweir/lilacweir/pkg/standin/plan"
	"github.com/lilacweir/lilacweir/pkg/version"
)

// program names the program in logs.
const program = "lilacweir-standin"

type cli struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
	Run     runCommand       `cmd:"" help:"Run stand-ins until a signal."`
	Check   checkCommand     `cmd:"" help:"Check settings without starting anything."`
	Ctl     ctlCommand       `cmd:"" help:"Throw a fault switch or read a journal."`
	Plan    planCommand      `cmd:"" help:"Write all settings of a deployment from its topology."`

	Certificates certificatesCommand `cmd:"" help:"Write certificates for the links between instances."`
}

type runCommand struct {
	Settings string          `arg:"" help:"Settings file." type:"existingfile"`
	Only     []standin.Group `help:"Run these groups alone: platform, upstreams, links."`
	Upstream []string        `help:"Run these upstreams alone."`
	Admin    string          `help:"Serve the fault switches at this host:port."`
	LogLevel string          `help:"debug, info, warn or error." default:"info"`
}

// Run runs the stand-ins.
func (c *runCommand) Run() error {
	settings, err := standin.Load(c.Settings)
	if err != nil {
		return err
	}
	log, err := logging.New(os.Stderr, program, "standin", c.LogLevel)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	selection := standin.Selection{Groups: c.Only, Upstreams: c.Upstream, Admin: c.Admin}
	return standin.Run(ctx, settings, selection, log)
}

type checkCommand struct {
	Settings string `arg:"" help:"Settings file."`
}

// Run checks the settings.
func (c *checkCommand) Run() error {
	if _, err := standin.Load(c.Settings); err != nil {
		return err
	}
	fmt.Println("ok")
	return nil
}

type ctlCommand struct {
	Address string   `arg:"" help:"The stand-in's admin host:port."`
	Verb    string   `arg:"" help:"What to do; any other word lists the commands."`
	Args    []string `arg:"" optional:"" help:"The verb's arguments."`
}

// Run sends the command.
func (c *ctlCommand) Run() error {
	answer, err := admin.Send(context.Background(), c.Address, admin.Command{Verb: c.Verb, Args: c.Args})
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(answer)
	return err
}

type planCommand struct {
	Topology string `arg:"" help:"Topology file."`
	Net      int    `help:"Second octet of all addresses, 1 to 254." required:""`
	Out      string `help:"Directory for the files." required:""`
}

// Run writes the plan.
func (c *planCommand) Run() error {
	topology, err := plan.Load(c.Topology)
	if err != nil {
		return err
	}
	built, err := plan.Build(topology, c.Net)
	if err != nil {
		return err
	}
	return plan.Write(built, c.Out)
}

type certificatesCommand struct {
	Directory string            `arg:"" help:"Directory for the files; the authority that it holds is used again."`
	Instances map[string]net.IP `arg:"" help:"Names and addresses of instances: NAME=IP."`
}

// Run writes a certificate for each instance.
func (c *certificatesCommand) Run() error {
	authority, err := certificate.Open(c.Directory)
	if err != nil {
		return err
	}
	for name, address := range c.Instances {
		if _, err := authority.Issue(name, address); err != nil {
			return err
		}
	}
	return nil
}

func main() {
	var parsed cli
	ctx := kong.Parse(&parsed,
		kong.Name(program),
		kong.Description("Small stand-ins for the platform, the upstreams and the links."),
		kong.UsageOnError(),
		kong.Vars{"version": version.String()},
	)
	ctx.FatalIfErrorf(ctx.Run())
}
