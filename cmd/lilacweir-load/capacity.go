package main

import (
	"fmt"
	"os"

	"github.com/lilacweir/lilacweir/pkg/capacity"
)

// capacityCommand prints the cost of each role at the target size.
type capacityCommand struct {
	Measured string `arg:"" default:"docs/capacity/measured.txt" help:"Recorded output of the benchmarks."`
}

// Run implements the command.
func (c *capacityCommand) Run() error {
	series, err := readSeries(c.Measured)
	if err != nil {
		return err
	}
	return capacity.WriteModel(os.Stdout, capacity.UsersTarget, capacity.NewMeasured(series))
}

// fitCommand prints the series of benchmark output with a line fitted to each.
type fitCommand struct {
	Measured string `arg:"" default:"docs/capacity/measured.txt" help:"Recorded output of the benchmarks."`
}

// Run implements the command.
func (c *fitCommand) Run() error {
	series, err := readSeries(c.Measured)
	if err != nil {
		return err
	}
	return capacity.WriteTable(os.Stdout, series)
}

func readSeries(name string) ([]capacity.Series, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("measurements: %w", err)
	}
	defer func() { _ = file.Close() }()
	return capacity.Read(file)
}
