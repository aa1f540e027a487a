package standin

import (
	"bytes"
	"fmt"
	"os"

	"go.yaml.in/yaml/v3"
)

// FileError is a settings file that cannot be read.
type FileError struct {
	// File is the file, Err the cause.
	File string
	Err  error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Load reads a settings file.
func Load(file string) (Settings, error) {
	var settings Settings
	data, err := os.ReadFile(file)
	if err != nil {
		return settings, &FileError{File: file, Err: err}
	}
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(&settings); err != nil {
		return settings, &FileError{File: file, Err: err}
	}
	return settings, nil
}
