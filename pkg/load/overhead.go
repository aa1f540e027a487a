package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// comparisonTimeout bounds one call of a comparison.
const comparisonTimeout = 10 * time.Second

// Comparison sends the same GET call through a gateway and directly to the
// service behind it, alternately, so that both see the same load on the machine.
type Comparison struct {
	Gateway, Direct, Key string
	// Path is the path through the gateway: /PREFIX/REST; directly it is /REST.
	Path   string
	Seed   uint64
	Rate   float64
	Length time.Duration
}

// Overhead is the result of a Comparison. Times are in microseconds and count from
// the due time of a call.
type Overhead struct {
	mu              sync.Mutex
	Gateway, Direct *hdrhistogram.Histogram
	// Failed counts the calls on both paths whose outcome was not complete.
	Failed int
}

// Send sends the calls and waits for all of them.
func (c *Comparison) Send(ctx context.Context) *Overhead {
	result := &Overhead{Gateway: newHistogram(), Direct: newHistogram()}
	caller := client.New(c.Key, nil)
	begin := time.Now()
	var running sync.WaitGroup
	for index, due := range Arrivals(c.Seed, c.Rate, c.Length) {
		at := begin.Add(due)
		if !sleepUntil(ctx, at) {
			break
		}
		address, path, into := c.Gateway, c.Path, result.Gateway
		if index%2 == 1 {
			address, path, into = c.Direct, c.directPath(), result.Direct
		}
		running.Go(func() { result.call(caller, address, path, at, into) })
	}
	running.Wait()
	return result
}

// directPath returns the path without the service's prefix.
func (c *Comparison) directPath() string {
	_, rest, _ := strings.Cut(strings.TrimPrefix(c.Path, "/"), "/")
	return "/" + rest
}

func (o *Overhead) call(caller *client.Client, address, path string, due time.Time, into *hdrhistogram.Histogram) {
	ctx, cancel := context.WithTimeout(context.Background(), comparisonTimeout)
	defer cancel()
	answer := caller.Call(ctx, address, http.MethodGet, path, nil, client.Options{})
	took := time.Since(due)
	o.mu.Lock()
	defer o.mu.Unlock()
	if answer.Outcome != outcome.Complete {
		o.Failed++
		return
	}
	record(into, took)
}

// WriteText writes both distributions and the latency that the gateway added.
func (o *Overhead) WriteText(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "ms\tcalls\tp50\tp99\t")
	for _, row := range []struct {
		name   string
		values *hdrhistogram.Histogram
	}{{"direct", o.Direct}, {"gateway", o.Gateway}} {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\t%s\t\n", row.name, row.values.TotalCount(), quantile(row.values, 50), quantile(row.values, 99))
	}
	_, _ = fmt.Fprintf(table, "added\t\t%s\t%s\t\n", o.added(50), o.added(99))
	if err := table.Flush(); err != nil {
		return fmt.Errorf("write overhead: %w", err)
	}
	_, err := fmt.Fprintf(out, "%d calls failed\n", o.Failed)
	if err != nil {
		return fmt.Errorf("write overhead: %w", err)
	}
	return nil
}

func (o *Overhead) added(percent float64) string {
	difference := o.Gateway.ValueAtQuantile(percent) - o.Direct.ValueAtQuantile(percent)
	return fmt.Sprintf("%.2f", float64(difference)/1000)
}
