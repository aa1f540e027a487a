package capacity

import (
	"fmt"
	"strings"
)

// BoundCheck is one of the target's bounds and the estimate for it.
type BoundCheck struct {
	// What describes the bounded quantity, Unit is that of Value and Bound.
	What, Unit   string
	Value, Bound float64
}

// Holds returns whether the value is within its bound.
func (v BoundCheck) Holds() bool { return v.Value <= v.Bound }

// CheckBounds compares the estimates with the target's bounds.
func CheckBounds(t Target, m *Measured) ([]BoundCheck, error) {
	var checks []BoundCheck
	for _, check := range []func(Target, *Measured) ([]BoundCheck, error){checkLinks, checkAgents, checkInForce, checkKeyValue} {
		found, err := check(t, m)
		if err != nil {
			return nil, err
		}
		checks = append(checks, found...)
	}
	return checks, nil
}

func checkLinks(t Target, m *Measured) ([]BoundCheck, error) {
	terms, err := Links(t, m, MeanShares(t))
	var sent, received float64
	for _, term := range terms {
		sent += term.Sent
		received += term.Received
	}
	return []BoundCheck{
		{"control bytes that a node sends, every load changing", "B/s", sent, t.Budget.Traffic},
		{"control bytes that a node sends and receives", "B/s", sent + received, t.Budget.Traffic},
	}, err
}

func checkAgents(t Target, m *Measured) ([]BoundCheck, error) {
	processes, err := Agents(t, m)
	var checks []BoundCheck
	for _, p := range processes {
		if p.CPU > 0 {
			checks = append(checks, BoundCheck{"processor time of an agent, " + p.State, "% of a core", p.CPU, t.Budget.CPU})
		}
		checks = append(checks, BoundCheck{"memory of an agent, " + p.State, "MB", p.Memory / megabyte, t.Budget.Memory / megabyte})
	}
	return checks, err
}

func checkInForce(t Target, m *Measured) ([]BoundCheck, error) {
	times, err := InForce(t, m)
	var checks []BoundCheck
	for _, one := range times {
		checks = append(checks, BoundCheck{"from accepted to in force, slowest change, along " + one.Along, "s", one.Took.Seconds(), t.InForce.Seconds()})
	}
	return checks, err
}

// checkKeyValue counts a waiting watch as a read, as the service does.
func checkKeyValue(t Target, m *Measured) ([]BoundCheck, error) {
	calls, err := KeyValueCalls(t, m)
	if err != nil {
		return nil, err
	}
	var sum CallRates
	for _, c := range calls {
		sum.Reads += c.Reads + c.Watches
		sum.Writes += c.Writes
	}
	s := &solver{measured: m}
	afterReturn := s.fleet(t, "outage", "kv-first-5s") / returnSeconds
	return []BoundCheck{
		{"calls that read from the service, ordinary day, waiting watches with them", "a second", sum.Reads, t.KeyValue.Reads},
		{"calls that write to the service, ordinary day", "a second", sum.Writes, t.KeyValue.Writes},
		{"calls of any kind in the 5 s after the service's return", "a second", afterReturn, t.KeyValue.Reads},
	}, s.err
}

// returnSeconds is the time after the service's recovery in which calls are counted.
const returnSeconds = 5

func writeSummary(text *strings.Builder, t Target, m *Measured) error {
	checks, err := CheckBounds(t, m)
	if err != nil {
		return err
	}
	text.WriteString("### Against the bounds\n\n| what | worked out | bound | holds |\n|---|---|---|---|\n")
	for _, v := range checks {
		holds := "yes"
		if !v.Holds() {
			holds = "**no**"
		}
		fmt.Fprintf(text, "| %s | %.3g %s | %.3g | %s |\n", v.What, v.Value, v.Unit, v.Bound, holds)
	}
	text.WriteString("\n")
	return nil
}
