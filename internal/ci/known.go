package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// maxKnown is the largest number of tests that may be known to fail.
const maxKnown = 3

// uncounted are the packages whose tests do not count towards maxKnown: a crowd of clients that finds a fault has a
// line of its own.
var uncounted = []string{"platform/clients:", "test/clients:"}

// knownFields is the number of fields of a line: test, cause, issue.
const knownFields = 3

// knownTest is a line of KNOWN-RED.txt: PACKAGE:TEST | CAUSE | ISSUE.
type knownTest struct {
	test, cause, issue string
}

// KnownError is a syntax error or an excess entry in KNOWN-RED.txt.
type KnownError struct {
	File   string
	Line   int
	Reason string
}

// Error implements error.
func (e *KnownError) Error() string {
	return fmt.Sprintf("%s:%d: %s", e.File, e.Line, e.Reason)
}

// readKnown reads the list; an absent file is an empty list.
func readKnown(file string) ([]knownTest, error) {
	data, err := os.ReadFile(file)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("known failures: %w", err)
	}
	return parseKnown(file, string(data))
}

func parseKnown(file, text string) ([]knownTest, error) {
	var known []knownTest
	counted := 0
	for index, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		fields := strings.Split(line, "|")
		if len(fields) != knownFields {
			return nil, &KnownError{file, index + 1, "expected PACKAGE:TEST | CAUSE | ISSUE"}
		}
		entry := knownTest{strings.TrimSpace(fields[0]), strings.TrimSpace(fields[1]), strings.TrimSpace(fields[2])}
		if entry.test == "" || entry.cause == "" || entry.issue == "" {
			return nil, &KnownError{file, index + 1, "test, cause and issue must be given"}
		}
		known = append(known, entry)
		if !slices.ContainsFunc(uncounted, func(pkg string) bool { return strings.HasPrefix(entry.test, pkg) }) {
			counted++
		}
		if counted > maxKnown {
			return nil, &KnownError{file, index + 1, fmt.Sprintf("more than %d tests", maxKnown)}
		}
	}
	return known, nil
}
