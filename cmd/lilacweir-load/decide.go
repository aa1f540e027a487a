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
	Day        bool          `help:"Compare them over a day whose peaks are offset between regions."`
	Hour       time.Duration `default:"1m" help:"With --day: virtual time of an hour."`
	Peak       float64       `default:"1.2" help:"With --day: highest load, a part of a region's capacity."`
	Trough     float64       `name:"peak-to-trough" default:"4" help:"With --day: highest load over the lowest."`
	Offset     float64       `default:"8" help:"With --day: hours between the peaks of two regions."`
	Lose       bool          `help:"With --day: the first region loses all engines at its peak, for two hours."`
}

// Run implements the command.
func (c *decideCommand) Run() error {
	options := decide.Options{
		Mix: c.Mix, Engines: c.Engines, Gateways: c.Gateways, Loads: c.Loads, Overload: c.Overload,
		Fault: c.Fault, Pairs: c.Pairs, Length: c.For, Seed: c.Seed, CostWeight: c.CostWeight,
		Day: decide.Day{Hour: c.Hour, Peak: c.Peak, PeakToTrough: c.Trough, Offset: c.Offset, Lose: c.Lose},
	}
	if c.Day {
		return decide.RunDay(os.Stdout, options)
	}
	if c.Spill {
		return decide.RunSpill(os.Stdout, options)
	}
	return decide.Run(os.Stdout, options)
}
