package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
)

// event is one line of `go test -json` (see `go doc test2json`).
type event struct {
	Action     string
	Package    string
	ImportPath string
	Test       string
	Output     string
}

// Actions of events that are evaluated.
const (
	actionRun         = "run"
	actionPass        = "pass"
	actionFail        = "fail"
	actionSkip        = "skip"
	actionOutput      = "output"
	actionBuildOutput = "build-output"
)

// result is the result of one test, or of a package if the name ends in ":".
type result struct {
	name   string
	action string
	output strings.Builder
	// panicked is true when the output reports a panic.
	panicked bool
}

// results holds all results, in order of appearance.
type results struct {
	byName map[string]*result
	order  []*result
	// build is the compiler's output.
	build strings.Builder
}

func (r *results) get(name string) *result {
	if found, ok := r.byName[name]; ok {
		return found
	}
	added := &result{name: name}
	r.byName[name] = added
	r.order = append(r.order, added)
	return added
}

// readEvents collects the results of all tests and packages.
func readEvents(in io.Reader, module string) (*results, error) {
	all := &results{byName: make(map[string]*result)}
	decoder := json.NewDecoder(in)
	for {
		var next event
		err := decoder.Decode(&next)
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read test events: %w", err)
		}
		all.add(next, module)
	}
}

func (r *results) add(next event, module string) {
	if next.Action == actionBuildOutput {
		r.build.WriteString(next.Output)
		return
	}
	if next.Package == "" {
		return
	}
	name := strings.TrimPrefix(strings.TrimPrefix(next.Package, module), "/") + ":" + next.Test
	entry := r.get(name)
	switch next.Action {
	case actionRun, actionPass, actionFail, actionSkip:
		entry.action = next.Action
	case actionOutput:
		entry.output.WriteString(next.Output)
		entry.panicked = entry.panicked || strings.HasPrefix(next.Output, "panic: ")
	}
}
