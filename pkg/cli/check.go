package cli

import (
	"bytes"
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// CheckCommand checks a file without starting anything.
type CheckCommand struct {
	File string `arg:"" help:"Settings of an instance, client settings, or a declaration." type:"existingfile"`
}

// Run implements the command.
func (c *CheckCommand) Run(session *Session) error {
	data, err := os.ReadFile(c.File)
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	if err := checkFile(c.File, data); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(session.Out, c.File+": ok")
	return nil
}

// shape holds the keys that tell the kinds of file apart.
type shape struct {
	Instance *yaml.Node `yaml:"instance"`
	Servers  *yaml.Node `yaml:"servers"`
}

func checkFile(file string, data []byte) error {
	var keys shape
	_ = yaml.Unmarshal(data, &keys)
	switch {
	case keys.Instance != nil:
		return strictly(file, data, &settings.Instance{})
	case keys.Servers != nil:
		return strictly(file, data, &settings.Client{})
	default:
		return checkDeclaration(file, data)
	}
}

func checkDeclaration(file string, data []byte) error {
	return strictly(file, data, &config.Declaration{})
}

// loadClient reads the command line's settings file.
func loadClient(file string) (*settings.Client, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	var loaded settings.Client
	if err := strictly(file, data, &loaded); err != nil {
		return nil, err
	}
	return &loaded, nil
}

func strictly(file string, data []byte, into any) error {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	return nil
}
