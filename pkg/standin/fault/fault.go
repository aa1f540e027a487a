// Package fault holds the errors and argument parsing of fault injection commands.
package fault

import (
	"fmt"
	"strconv"
)

// VerbError reports an unknown fault.
type VerbError struct {
	Verb string
}

// Error implements error.
func (e *VerbError) Error() string { return fmt.Sprintf("no such switch: %q", e.Verb) }

// ArgumentError reports an invalid argument.
type ArgumentError struct {
	Argument string
	// Expected describes the valid arguments.
	Expected string
}

// Error implements error.
func (e *ArgumentError) Error() string {
	return fmt.Sprintf("argument %q: expected %s", e.Argument, e.Expected)
}

// SetCount parses a whole number of at least 0 into target.
func SetCount(target *int, argument string) error {
	parsed, err := strconv.Atoi(argument)
	if err != nil || parsed < 0 {
		return &ArgumentError{Argument: argument, Expected: "a whole number of at least 0"}
	}
	*target = parsed
	return nil
}
