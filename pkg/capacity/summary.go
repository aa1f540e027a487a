package capacity

import (
	"fmt"
	"strings"
)

// Verdict is one of the target's bounds and what was worked out for it.
type Verdict struct {
	// What is bounded; Unit is that of Value and Bound.
	What, Unit   string
	Value, Bound float64
}

// Holds says whether the value keeps to its bound.
func (v Verdict) Holds() bool { return v.Value <= v.Bound }

// Verdicts compares the target's bounds with what was worked out.
func Verdicts(t Target, m *Measured) ([]Verdict, error) {
	var verdicts []Verdict
	for _, judge := range []func(Target, *Measured) ([]Verdict, error){judgeLinks, judgeAgents, judgeInForce, judgeKeyValue} {
		some, err := judge(t, m)
		if err != nil {
			return nil, err
		}
		verdicts = append(verdicts, some...)
	}
	return verdicts, nil
}

func judgeLinks(t Target, m *Measured) ([]Verdict, error) {
	terms, err := Links(t, m, MeanShares(t))
	var sent, received float64
	for _, term := range terms {
		sent += term.Sent
		received += term.Received
	}
	return []Verdict{
		{"control bytes that a node sends, every load changing", "B/s", sent, t.Budget.Traffic},
		{"control bytes that a node sends and receives", "B/s", sent + received, t.Budget.Traffic},
	}, err
}

func judgeAgents(t Target, m *Measured) ([]Verdict, error) {
	processes, err := Agents(t, m)
	var verdicts []Verdict
	for _, p := range processes {
		if p.CPU > 0 {
			verdicts = append(verdicts, Verdict{"processor time of an agent, " + p.State, "% of a core", p.CPU, t.Budget.CPU})
		}
		verdicts = append(verdicts, Verdict{"memory of an agent, " + p.State, "MB", p.Memory / megabyte, t.Budget.Memory / megabyte})
	}
	return verdicts, err
}

func judgeInForce(t Target, m *Measured) ([]Verdict, error) {
	times, err := InForce(t, m)
	var verdicts []Verdict
	for _, one := range times {
		verdicts = append(verdicts, Verdict{"from accepted to in force, slowest change, along " + one.Along, "s", one.Took.Seconds(), t.InForce.Seconds()})
	}
	return verdicts, err
}

// judgeKeyValue counts a waiting watch as a read, as the service does.
func judgeKeyValue(t Target, m *Measured) ([]Verdict, error) {
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
	back := s.fleet(t, "outage", "kv-first-5s") / returnSeconds
	return []Verdict{
		{"calls that read from the service, ordinary day, waiting watches with them", "a second", sum.Reads, t.KeyValue.Reads},
		{"calls that write to the service, ordinary day", "a second", sum.Writes, t.KeyValue.Writes},
		{"calls of any kind in the 5 s after the service's return", "a second", back, t.KeyValue.Reads},
	}, s.err
}

// returnSeconds is the time after the service's return in which calls are counted.
const returnSeconds = 5

func writeSummary(text *strings.Builder, t Target, m *Measured) error {
	verdicts, err := Verdicts(t, m)
	if err != nil {
		return err
	}
	text.WriteString("### Against the bounds\n\n| what | worked out | bound | holds |\n|---|---|---|---|\n")
	for _, v := range verdicts {
		holds := "yes"
		if !v.Holds() {
			holds = "**no**"
		}
		fmt.Fprintf(text, "| %s | %.3g %s | %.3g | %s |\n", v.What, v.Value, v.Unit, v.Bound, holds)
	}
	text.WriteString("\n")
	return nil
}
