package capacity

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteModel writes the tables of a target, calculated from a recorded run.
func WriteModel(w io.Writer, t Target, m *Measured) error {
	var text strings.Builder
	for _, write := range []func(*strings.Builder, Target, *Measured) error{
		writeSummary, writeLinks, writeAgents, writeKeyValue, writeGrowth, writeState, writeGateway, writeInForce, writeFailures,
	} {
		if err := write(&text, t, m); err != nil {
			return err
		}
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return fmt.Errorf("capacity tables: %w", err)
	}
	return nil
}

func writeLinks(text *strings.Builder, t Target, m *Measured) error {
	terms, err := Links(t, m, MeanShares(t))
	if err != nil {
		return err
	}
	text.WriteString("### Control traffic of one node, mean share, every load changing\n\n")
	text.WriteString("| role | what | events/s | B/s sent | B/s received | worked out from |\n|---|---|---|---|---|---|\n")
	var sent, received float64
	for _, term := range terms {
		fmt.Fprintf(text, "| %s | %s | %.3g | %.0f | %.0f | %s |\n", term.Role, term.What, term.Events, term.Sent, term.Received, term.Source)
		sent += term.Sent
		received += term.Received
	}
	fmt.Fprintf(text, "| | **sum** | | **%.0f** | **%.0f** | |\n", sent, received)
	return writeLargeDomain(text, t, m)
}

// largeDomain is the assumed ratio of a large domain to the mean; it is only known that
// regions differ tenfold.
const largeDomain = 3

func writeLargeDomain(text *strings.Builder, t Target, m *Measured) error {
	t.Nodes *= largeDomain
	t.Servers *= largeDomain
	terms, err := Links(t, m, MeanShares(t))
	if err != nil {
		return err
	}
	var sent, received float64
	for _, term := range terms {
		sent += term.Sent
		received += term.Received
	}
	fmt.Fprintf(text, "| | the same in a domain %d times as large (assumed) | | %.0f | %.0f | |\n\n", largeDomain, sent, received)
	return nil
}

func writeAgents(text *strings.Builder, t Target, m *Measured) error {
	processes, err := Agents(t, m)
	if err != nil {
		return err
	}
	text.WriteString("### One agent, from real processes\n\n| state | CPU, % of a core | memory, MB |\n|---|---|---|\n")
	for _, p := range processes {
		cpu := ""
		if p.CPU > 0 {
			cpu = fmt.Sprintf("%.2f", p.CPU)
		}
		fmt.Fprintf(text, "| %s | %s | %.1f |\n", p.State, cpu, p.Memory/megabyte)
	}
	text.WriteString("\n")
	return nil
}

func writeKeyValue(text *strings.Builder, t Target, m *Measured) error {
	calls, err := KeyValueCalls(t, m)
	if err != nil {
		return err
	}
	text.WriteString("### The key-value service, an ordinary day\n\n| what | reads/s | writes/s | waiting watches | worked out from |\n|---|---|---|---|---|\n")
	var sum CallRates
	for _, c := range calls {
		fmt.Fprintf(text, "| %s | %.3g | %.3g | %.0f | %s |\n", c.What, c.Reads, c.Writes, c.Watches, c.Source)
		sum.Reads += c.Reads
		sum.Writes += c.Writes
		sum.Watches += c.Watches
	}
	fmt.Fprintf(text, "| **sum** | **%.3g** | **%.3g** | **%.0f** | |\n\n", sum.Reads, sum.Writes, sum.Watches)
	return nil
}

func writeGrowth(text *strings.Builder, t Target, m *Measured) error {
	rows, err := Growth(t, m)
	if err != nil {
		return err
	}
	text.WriteString("### How the key-value service's load grows\n\n| with | reads/s | writes/s | waiting watches |\n|---|---|---|---|\n")
	for _, row := range rows {
		fmt.Fprintf(text, "| %s | %s | %s | %s |\n", row.With, row.Reads.text("%.3g"), row.Writes.text("%.3g"), row.Watches.text("%.3g"))
	}
	text.WriteString("\n")
	return nil
}

// text formats a line as a sum.
func (l Line) text(format string) string {
	return fmt.Sprintf(format+" + "+format+" × n", l.Intercept, l.Slope)
}

func writeState(text *strings.Builder, t Target, m *Measured) error {
	state, err := StateSizes(t, m)
	if err != nil {
		return err
	}
	text.WriteString("### State held\n\n| who | what | size | worked out from |\n|---|---|---|---|\n")
	for _, one := range state {
		fmt.Fprintf(text, "| %s | %s | %s | %s |\n", one.Role, one.What, size(one.Bytes), one.Source)
	}
	text.WriteString("\n")
	return nil
}

// size formats bytes with a unit.
func size(bytes float64) string {
	switch {
	case bytes >= 1e6:
		return fmt.Sprintf("%.3g MB", bytes/1e6)
	case bytes >= 1e3:
		return fmt.Sprintf("%.3g KB", bytes/1e3)
	default:
		return fmt.Sprintf("%.0f B", bytes)
	}
}

func writeGateway(text *strings.Builder, t Target, m *Measured) error {
	g, err := Gateway(t, m)
	if err != nil {
		return err
	}
	text.WriteString("### One gateway at the peak\n\n| what | figure |\n|---|---|\n")
	fmt.Fprintf(text, "| requests a second | %.1f |\n| chunks a second | %.0f |\n| answers in flight | %.0f |\n", g.Requests, g.Tokens, g.InFlight)
	fmt.Fprintf(text, "| CPU, %% of a core | %.0f |\n| memory, MB | %.0f |\n", g.CPU, g.Memory/megabyte)
	fmt.Fprintf(text, "| choice of an upstream, µs | %.2f |\n| fair queueing with all organisations waiting, µs | %.1f |\n| making of the routing table, ms | %.2f |\n\n",
		g.Pick/nanosPerMicro, g.Queue/nanosPerMicro, g.Compile/nanosPerMilli)
	return nil
}

const (
	nanosPerMicro = 1e3
	nanosPerMilli = 1e6
)

func writeInForce(text *strings.Builder, t Target, m *Measured) error {
	times, err := InForce(t, m)
	if err != nil {
		return err
	}
	text.WriteString("### From accepted to in force, worst of each run, loopback without delays\n\n| along | worked out at | ms |\n|---|---|---|\n")
	for _, one := range times {
		fmt.Fprintf(text, "| %s | %.3g | %.0f |\n", one.Along, one.Size, one.Took.Seconds()*millis)
	}
	text.WriteString("\n")
	return nil
}

const millis = float64(time.Second / time.Millisecond)

func writeFailures(text *strings.Builder, t Target, m *Measured) error {
	figures, err := FailureFigures(t, m)
	if err != nil {
		return err
	}
	text.WriteString("### Bad days\n\n| day | what | figure | worked out from |\n|---|---|---|---|\n")
	for _, one := range figures {
		fmt.Fprintf(text, "| %s | %s | %s | %s |\n", one.Failure, one.What, one.Figure, one.Source)
	}
	return nil
}
