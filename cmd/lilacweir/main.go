// Command lilacweir is the operators' command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/lilacweir/lilacweir/pkg/cli"
	"github.com/lilacweir/lilacweir/pkg/version"
)

func main() { os.Exit(run()) }

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var program struct {
		cli.Program
		Version kong.VersionFlag `help:"Print the version."`
	}
	command := kong.Parse(&program,
		kong.Name("lilacweir"),
		kong.Description("Asks and changes a lilacweir deployment."),
		kong.UsageOnError(),
		kong.Vars{"version": version.String()})
	session := &cli.Session{Context: ctx, Out: os.Stdout, Err: os.Stderr, In: os.Stdin, Env: os.Getenv}
	if err := command.Run(session); err != nil {
		fmt.Fprintln(os.Stderr, "lilacweir:", err)
		return max(session.Code, cli.ExitRefused)
	}
	return session.Code
}
