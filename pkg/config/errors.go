package config

import "fmt"

// MissingError reports an operation on an entry that does not exist.
type MissingError struct {
	// Kind is the entry's kind, Name its name.
	Kind, Name string
}

// Error implements error.
func (e *MissingError) Error() string { return fmt.Sprintf("no %s %s", e.Kind, e.Name) }

// OpError reports an operation with an unknown kind, or without exactly one field
// set.
type OpError struct {
	Problem string
}

// Error implements error.
func (e *OpError) Error() string { return "bad operation: " + e.Problem }

// SplitError reports a version split that cannot add up to 100%.
type SplitError struct {
	Model, Version string
	Percent        int
}

// Error implements error.
func (e *SplitError) Error() string {
	return fmt.Sprintf("%s of %s cannot have %d%%", e.Version, e.Model, e.Percent)
}

// SizeError reports a configuration that is too large for the platform's service.
type SizeError struct {
	// Bytes is the encoded size, Limit the largest that is allowed.
	Bytes, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("configuration of %d bytes, at most %d", e.Bytes, e.Limit)
}

// EncodingError reports a stored value that cannot be read.
type EncodingError struct {
	Err error
}

// Error implements error.
func (e *EncodingError) Error() string { return fmt.Sprintf("encoded configuration: %v", e.Err) }

// Unwrap returns the cause.
func (e *EncodingError) Unwrap() error { return e.Err }
