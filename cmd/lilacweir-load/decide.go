package main

import (
	"os"
	"time"

	"github.com/lilacweir/lilacweir/pkg/load/decide"
)

type decideCommand struct {
	Mix        string        `short:"m" default:"wellness" enum:"wellness,minibar" help:"Which mix: wellness or minibar."`
	Engines    int           `default:"4" help:"Engines of a failure domain."`
	Gateways   int           `default:"3" help:"Gateways of a failure domain."`
	Loads      []int         `default:"50,80,95,130" help:"Offered loads, percent of the best simpler policy's capacity."`
	Pairs      int           `default:"7" help:"How often each policy runs, each time with another seed."`
	For        time.Duration `default:"10m" help:"Virtual time that is measured."`
	Seed       uint64        `default:"1" help:"First seed."`
	CostWeight float64       `default:"0.2" help:"Declared weight of cost against latency, 0 to 1."`
	Overload   bool          `default:"true" negatable:"" help:"Add the goodput at and beyond capacity."`
	Fault      string        `default:"" enum:",slow,lie,reject" help:"Make the first engine slow, or slow and lie about it, or start nothing."`
	Spill      bool          `help:"Compare ways to send work to other regions instead."`
}

// Run implements the command.
func (c *decideCommand) Run() error {
	options := decide.Options{
		Mix: c.Mix, Engines: c.Engines, Gateways: c.Gateways, Loads: c.Loads, Overload: c.Overload,
		Fault: c.Fault, Pairs: c.Pairs, Length: c.For, Seed: c.Seed, CostWeight: c.CostWeight,
	}
	if c.Spill {
		return decide.RunSpill(os.Stdout, options)
	}
	return decide.Run(os.Stdout, options)
}
