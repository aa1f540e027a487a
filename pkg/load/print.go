package load

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// columns holds the headings of a report; times are in milliseconds.
var columns = []string{
	"item", "sent", "complete", "not-run", "unknown", "away%",
	"first p50", "first p95", "first p99", "between p95", "whole p50", "whole p95", "whole p99",
}

// row returns a tally's values in the order of columns.
func (t *Tally) row() []string {
	return []string{
		t.Item, strconv.Itoa(t.Sent), strconv.Itoa(t.Complete), strconv.Itoa(t.NotRun), strconv.Itoa(t.Unknown),
		fmt.Sprintf("%.1f", t.RemotePercent()),
		quantile(t.FirstToken, 50), quantile(t.FirstToken, 95), quantile(t.FirstToken, 99),
		quantile(t.BetweenTokens, 95),
		quantile(t.Whole, 50), quantile(t.Whole, 95), quantile(t.Whole, 99),
	}
}

// RemotePercent returns the percentage of requests answered by another region.
func (t *Tally) RemotePercent() float64 {
	if t.Sent == 0 {
		return 0
	}
	return 100 * float64(t.Remote) / float64(t.Sent)
}

// absent stands for a value that was not measured.
const absent = "-"

func quantile(histogram *hdrhistogram.Histogram, percent float64) string {
	if histogram.TotalCount() == 0 {
		return absent
	}
	return fmt.Sprintf("%.2f", float64(histogram.ValueAtQuantile(percent))/1000)
}

// rows returns the headings and the rows of the items, the total and the callers.
func (r *Report) rows() [][]string {
	rows := [][]string{columns}
	for _, tally := range r.Items {
		rows = append(rows, tally.row())
	}
	rows = append(rows, r.Total().row())
	for _, tally := range r.ByCaller {
		rows = append(rows, tally.row())
	}
	return rows
}

// WriteText writes the report as a table.
func (r *Report) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range r.rows() {
		for _, value := range row {
			_, _ = fmt.Fprintf(table, "%s\t", value)
		}
		_, _ = fmt.Fprintln(table)
	}
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if r.Cost != nil {
		_, _ = fmt.Fprintf(out, "upstream runs %d, engine slot time %.1f s, of it wasted %.1f s\n",
			r.Cost.Runs, r.Cost.Engine.Seconds(), r.Cost.Wasted.Seconds())
	}
	return r.writeReasons(out)
}

// writeReasons writes how often each reason kept a request from completing.
func (r *Report) writeReasons(out io.Writer) error {
	type cause struct{ outcome, reason string }
	counts := make(map[cause]int)
	var order []cause
	for _, failure := range r.Failures {
		key := cause{string(failure.Outcome), string(failure.Reason)}
		if key.reason == "" && failure.Err != nil {
			key.reason = failure.Err.Error()
		}
		if counts[key] == 0 {
			order = append(order, key)
		}
		counts[key]++
	}
	for _, key := range order {
		if _, err := fmt.Fprintf(out, "%d %s: %s\n", counts[key], key.outcome, key.reason); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
	}
	return nil
}

// WriteCSV writes the report as comma-separated values.
func (r *Report) WriteCSV(out io.Writer) error {
	writer := csv.NewWriter(out)
	if err := writer.WriteAll(r.rows()); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
