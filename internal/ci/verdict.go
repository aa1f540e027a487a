package main

import (
	"fmt"
	"io"
	"strings"
)

// verdict is what continuous integration says of one run.
type verdict struct {
	passed, failed int
	// red holds what makes the run fail, each with its output.
	red []finding
	// notes holds what is told without failing the run.
	notes []string
}

type finding struct {
	what, output string
}

// judge compares the ends with the list of tests known to fail. status is the
// exit status of go test, which no event may leave unexplained.
func judge(all *results, known []knownTest, status int) *verdict {
	v := &verdict{}
	listed := make(map[string]knownTest)
	for _, entry := range known {
		listed[entry.test] = entry
	}
	for _, end := range all.order {
		v.judgeEnd(all, end, listed)
	}
	for _, entry := range known {
		v.judgeListed(all, entry)
	}
	if len(v.red) > 0 && all.build.Len() > 0 {
		v.red = append(v.red, finding{"build", all.build.String()})
	}
	if status != 0 && !all.hasFailedTest("") {
		v.red = append(v.red, finding{fmt.Sprintf("go test exited with %d and reported no failure", status), ""})
	}
	if v.passed == 0 {
		v.red = append(v.red, finding{"no test passed", ""})
	}
	return v
}

func (v *verdict) judgeEnd(all *results, end *result, listed map[string]knownTest) {
	_, isListed := listed[end.name]
	isPackage := strings.HasSuffix(end.name, ":")
	switch {
	case end.panicked:
		v.addRed("panic in "+end.name, end)
	case end.action == actionRun:
		v.addRed("did not finish: "+end.name, end)
	case end.action == actionSkip && !isPackage:
		v.addRed("skipped: "+end.name, end)
	case end.action == actionFail && isPackage && !all.hasFailedTest(end.name):
		v.addRed("package failed: "+end.name, end)
	case end.action == actionFail && !isPackage && !isListed && !all.hasFailedTest(end.name+"/"):
		v.addRed("failed: "+end.name, end)
	}
	if !isPackage && end.action == actionPass {
		v.passed++
	}
	if !isPackage && end.action == actionFail {
		v.failed++
	}
}

func (v *verdict) judgeListed(all *results, entry knownTest) {
	end, ran := all.byName[entry.test]
	switch {
	case !ran:
		v.red = append(v.red, finding{"KNOWN-RED.txt names a test that did not run: " + entry.test, ""})
	case end.action == actionPass:
		v.notes = append(v.notes, fmt.Sprintf("listed in KNOWN-RED.txt but PASSED, take the line out: %s", entry.test))
	case end.action == actionFail:
		v.notes = append(v.notes, fmt.Sprintf("known red, passed over: %s: %s (%s)", entry.test, entry.cause, entry.issue))
	}
}

func (v *verdict) addRed(what string, end *result) {
	v.red = append(v.red, finding{what, end.output.String()})
}

// hasFailedTest tells whether a test failed whose name begins with prefix.
func (r *results) hasFailedTest(prefix string) bool {
	for _, end := range r.order {
		longer := len(end.name) > len(prefix)
		if longer && strings.HasPrefix(end.name, prefix) && end.action == actionFail {
			return true
		}
	}
	return false
}

// print shows the verdict and tells whether the run is green.
func (v *verdict) print(out io.Writer) bool {
	for _, one := range v.red {
		_, _ = fmt.Fprintf(out, "RED %s\n%s", one.what, one.output)
	}
	for _, note := range v.notes {
		_, _ = fmt.Fprintln(out, note)
	}
	green := len(v.red) == 0
	word := map[bool]string{true: "GREEN", false: "RED"}[green]
	_, _ = fmt.Fprintf(out, "%d findings\n%s: %d passed, %d failed\n", len(v.red), word, v.passed, v.failed)
	return green
}
