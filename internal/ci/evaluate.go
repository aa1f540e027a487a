package main

import (
	"fmt"
	"io"
	"strings"
)

// report is the evaluation of one run.
type report struct {
	passed, failed int
	// failures holds the causes that fail the run, each with its output.
	failures []finding
	// notes are printed without failing the run.
	notes []string
}

type finding struct {
	what, output string
}

// evaluate compares the results with the list of tests known to fail. status is the exit
// status of go test; a failure status without a failed test fails the run.
func evaluate(all *results, known []knownTest, status int) *report {
	r := &report{}
	listed := make(map[string]knownTest)
	for _, entry := range known {
		listed[entry.test] = entry
	}
	for _, res := range all.order {
		r.evaluateResult(all, res, listed)
	}
	for _, entry := range known {
		r.evaluateKnown(all, entry)
	}
	if len(r.failures) > 0 && all.build.Len() > 0 {
		r.failures = append(r.failures, finding{"build", all.build.String()})
	}
	if status != 0 && !all.hasFailedTest("") {
		r.failures = append(r.failures, finding{fmt.Sprintf("go test exited with %d and reported no failure", status), ""})
	}
	if r.passed == 0 {
		r.failures = append(r.failures, finding{"no test passed", ""})
	}
	return r
}

func (r *report) evaluateResult(all *results, res *result, listed map[string]knownTest) {
	_, isListed := listed[res.name]
	isPackage := strings.HasSuffix(res.name, ":")
	switch {
	case res.panicked:
		r.addFailure("panic in "+res.name, res)
	case res.action == actionRun:
		r.addFailure("did not finish: "+res.name, res)
	case res.action == actionSkip && !isPackage:
		r.addFailure("skipped: "+res.name, res)
	case res.action == actionFail && isPackage && !all.hasFailedTest(res.name):
		r.addFailure("package failed: "+res.name, res)
	case res.action == actionFail && !isPackage && !isListed && !all.hasFailedTest(res.name+"/"):
		r.addFailure("failed: "+res.name, res)
	}
	if !isPackage && res.action == actionPass {
		r.passed++
	}
	if !isPackage && res.action == actionFail {
		r.failed++
	}
}

func (r *report) evaluateKnown(all *results, entry knownTest) {
	res, ran := all.byName[entry.test]
	switch {
	case !ran:
		r.failures = append(r.failures, finding{"KNOWN-RED.txt names a test that did not run: " + entry.test, ""})
	case res.action == actionPass:
		r.notes = append(r.notes, fmt.Sprintf("listed in KNOWN-RED.txt but PASSED, take the line out: %s", entry.test))
	case res.action == actionFail:
		r.notes = append(r.notes, fmt.Sprintf("known red, passed over: %s: %s (%s)", entry.test, entry.cause, entry.issue))
	}
}

func (r *report) addFailure(what string, res *result) {
	r.failures = append(r.failures, finding{what, res.output.String()})
}

// hasFailedTest returns whether a test failed that has a name longer than prefix and
// beginning with it.
func (r *results) hasFailedTest(prefix string) bool {
	for _, res := range r.order {
		longer := len(res.name) > len(prefix)
		if longer && strings.HasPrefix(res.name, prefix) && res.action == actionFail {
			return true
		}
	}
	return false
}

// print writes the report and returns whether the run passed.
func (r *report) print(out io.Writer) bool {
	for _, failure := range r.failures {
		_, _ = fmt.Fprintf(out, "RED %s\n%s", failure.what, failure.output)
	}
	for _, note := range r.notes {
		_, _ = fmt.Fprintln(out, note)
	}
	ok := len(r.failures) == 0
	word := map[bool]string{true: "GREEN", false: "RED"}[ok]
	_, _ = fmt.Fprintf(out, "%d findings\n%s: %d passed, %d failed\n", len(r.failures), word, r.passed, r.failed)
	return ok
}
