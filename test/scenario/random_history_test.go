package scenario

import (
	"fmt"
	"maps"
	"os"
	"regexp"
	"strconv"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// revisionState is the part of one revision that the checks use.
type revisionState struct {
	// line is the operator's line in the audit trail.
	line string
	// permitted is keyed by "CALLER DOMAIN", drained by upstream name.
	permitted, drained map[string]bool
}

// history holds every revision by its number; index 0 is unused.
type history []revisionState

// readHistory reads the audit trail up to a revision with the command why, and
// derives the state of each revision from the declaration that was applied first.
func readHistory(d *deployment, last int) (history, error) {
	first, err := d.permittedDomains()
	if err != nil {
		return nil, err
	}
	domains := make(map[string]string)
	for _, instance := range d.instances {
		domains[instance.Region] = instance.Domain
	}
	now := revisionState{permitted: make(map[string]bool), drained: make(map[string]bool)}
	for caller, permitted := range first {
		for domain := range permitted {
			now.permitted[caller+" "+domain] = true
		}
	}
	past := history{{}, now}
	for revision := 2; revision <= last; revision++ {
		text, err := operate(d, []string{"why", strconv.Itoa(revision)})
		lines := strings.Split(text, "\n")
		if err != nil || len(lines) < 2 || !strings.HasPrefix(text, strconv.Itoa(revision)+" ") {
			return nil, fmt.Errorf("%w: revision %d in the audit trail: %q (%w)", errNoMatch, revision, text, err)
		}
		now = now.after(strings.TrimSuffix(lines[1], " !"), domains)
		past = append(past, now)
	}
	return past, nil
}

// after returns the state after an operator's line.
func (f revisionState) after(line string, domains map[string]string) revisionState {
	next := revisionState{line: line, permitted: maps.Clone(f.permitted), drained: maps.Clone(f.drained)}
	words := strings.Fields(line)
	switch words[0] {
	case "permit", "forbid":
		next.permitted[words[1]+" "+domains[words[2]]] = words[0] == "permit"
	case "drain", "undrain":
		next.drained[words[1]] = words[0] == "drain"
	}
	return next
}

// anyDrained returns whether some upstream is drained.
func (f revisionState) anyDrained() bool {
	for _, drained := range f.drained {
		if drained {
			return true
		}
	}
	return false
}

// any returns whether a predicate held in one of the revisions from low to high.
func (h history) any(low, high int, held func(revisionState) bool) bool {
	for revision := max(low, 1); revision <= high && revision < len(h); revision++ {
		if held(h[revision]) {
			return true
		}
	}
	return false
}

// hopLine is a gateway's log entry for the end of a request.
type hopLine struct {
	domain, request, origin, outcome string
}

var logField = regexp.MustCompile(`(\w+)=("[^"]*"|\S+)`)

// readHops reads the ends of requests from the gateways' logs.
func readHops(d *deployment) ([]hopLine, error) {
	var hops []hopLine
	for name, instance := range d.instances {
		data, err := os.ReadFile(d.processes[name+"/gateway"].log)
		if err != nil {
			return nil, fmt.Errorf("log: %w", err)
		}
		for line := range strings.Lines(string(data)) {
			if !strings.Contains(line, "event=request-ended") {
				continue
			}
			fields := make(map[string]string)
			for _, match := range logField.FindAllStringSubmatch(line, -1) {
				fields[match[1]] = strings.Trim(match[2], `"`)
			}
			hops = append(hops, hopLine{instance.Domain, fields["request"], fields["origin"], fields["outcome"]})
		}
	}
	return hops, nil
}

// ownID returns the caller's request ID from the ID at an upstream, which adds the
// caller's name and a random part.
func ownID(entry *journal.Entry) string {
	parts := strings.Split(entry.RequestID, "~")
	if len(parts) < 2 {
		return entry.RequestID
	}
	return parts[1]
}
