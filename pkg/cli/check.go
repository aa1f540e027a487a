package cli

import (
	"fmt"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/settings"
	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// CheckCommand checks a file without starting anything.
type CheckCommand struct {
	File string `arg:"" help:"Settings of an instance, client settings, or a declaration."`
}

// Run implements the command.
func (c *CheckCommand) Run(session *Session) error {
	data, err := yamlfile.ReadFile(c.File)
	if err != nil {
		return err
	}
	if err := checkFile(c.File, data); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(session.Out, c.File+": ok")
	return nil
}

// fileKeys holds the keys that distinguish the kinds of file.
type fileKeys struct {
	Instance *yaml.Node `yaml:"instance"`
	Servers  *yaml.Node `yaml:"servers"`
}

func checkFile(file string, data []byte) error {
	var keys fileKeys
	_ = yaml.Unmarshal(data, &keys)
	switch {
	case keys.Instance != nil:
		_, err := settings.CheckData(file, data, time.Now())
		return err
	case keys.Servers != nil:
		return settings.CheckClient(file, data, time.Now())
	default:
		_, err := config.Load(file, data)
		return err
	}
}

// loadClient reads the command line's settings file.
func loadClient(file string) (*settings.Client, error) {
	var loaded settings.Client
	if err := yamlfile.Load(file, &loaded); err != nil {
		return nil, err
	}
	return &loaded, nil
}
