package yamlfile

import (
	"fmt"
	"strings"
)

// Fault is one error in a file.
type Fault struct {
	File string
	// Line counts from 1; 0 means that the line is not known.
	Line int
	// Key is the path of the key, for example "upstreams[3].domain".
	Key string
	// Problem describes what was found.
	Problem string
	// Expected describes the expected value; empty when Problem suffices.
	Expected string
	// Nearest is the known key that an unknown one resembles; empty for none.
	Nearest string
}

// String renders the fault as one line: file:line: key: problem, expected …
func (f Fault) String() string {
	var text strings.Builder
	text.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&text, ":%d", f.Line)
	}
	text.WriteString(": ")
	if f.Key != "" {
		text.WriteString(f.Key + ": ")
	}
	text.WriteString(f.Problem)
	if f.Expected != "" {
		text.WriteString(", expected " + f.Expected)
	}
	if f.Nearest != "" {
		fmt.Fprintf(&text, " (did you mean %s?)", f.Nearest)
	}
	return text.String()
}

// Error holds all faults of one file, in the order of their lines.
type Error struct {
	Faults []Fault
}

// Error implements error, one fault a line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// ReadError reports a file that could not be read.
type ReadError struct {
	File string
	Err  error
}

// Error implements error.
func (e *ReadError) Error() string { return fmt.Sprintf("read %s: %v", e.File, e.Err) }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }
