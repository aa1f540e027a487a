package settings

import (
	"fmt"
	"time"
)

// File is the argument that names an instance's settings, for command lines.
type File struct {
	Settings string `arg:"" help:"Settings file of the instance (YAML)."`
}

// CheckCommand is the subcommand of the instance's programs that reports all faults
// of the settings without starting anything.
type CheckCommand struct{ File }

// Run implements the command.
func (c *CheckCommand) Run() error {
	if _, err := Check(c.Settings, time.Now()); err != nil {
		return err
	}
	fmt.Printf("%s: ok\n", c.Settings)
	return nil
}
