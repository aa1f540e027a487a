// Package fault holds the errors of the stand-ins' fault switches.
package fault

import (
	"fmt"
	"strconv"
)

// VerbError is a switch that does not exist.
type VerbError struct {
	// Verb is what was asked for.
	Verb string
}

// Error implements error.
func (e *VerbError) Error() string { return fmt.Sprintf("no such switch: %q", e.Verb) }

// ArgumentError is a switch's argument that cannot be used.
type ArgumentError struct {
	// Argument is what was given.
	Argument string
	// Expected says what can be used.
	Expected string
}

// Error implements error.
func (e *ArgumentError) Error() string {
	return fmt.Sprintf("argument %q: expected %s", e.Argument, e.Expected)
}

// Number sets target to a whole number of at least 0.
func SetCount(target *int, argument string) error {
	parsed, err := strconv.Atoi(argument)
	if err != nil || parsed < 0 {
		return &ArgumentError{Argument: argument, Expected: "a whole number of at least 0"}
	}
	*target = parsed
	return nil
}
