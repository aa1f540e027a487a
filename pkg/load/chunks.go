package load

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// ChunkRate compares the processor time of streamed chunks through a gateway
// with that of direct streams, in slices that alternate within one run.
type ChunkRate struct {
	Gateway, Direct, Key, Model string
	// Streams run at once, each of Tokens chunks.
	Streams, Tokens int
	// Slices is the number of slices on each path.
	Slices int
	// Processes lists the gateway's and the engine's process IDs; this process's
	// own time is counted as well.
	Processes []int
}

// ChunkCost is the number of chunks on one path and the processor time they took.
type ChunkCost struct {
	Chunks, Failed int
	CPU            time.Duration
}

// PerCore returns the chunks per second and core, over all processes together.
func (c ChunkCost) PerCore() float64 {
	if c.CPU <= 0 {
		return 0
	}
	return float64(c.Chunks) / c.CPU.Seconds()
}

// ChunkComparison is the result of a ChunkRate.
type ChunkComparison struct {
	Gateway, Direct ChunkCost
}

// Ratio returns the chunks per second and core through the gateway, divided by
// those of direct streams.
func (c ChunkComparison) Ratio() float64 {
	if c.Direct.PerCore() == 0 {
		return 0
	}
	return c.Gateway.PerCore() / c.Direct.PerCore()
}

// Send runs the slices.
func (r *ChunkRate) Send(ctx context.Context) (ChunkComparison, error) {
	var result ChunkComparison
	for range r.Slices {
		if err := r.slice(ctx, r.Direct, &result.Direct); err != nil {
			return result, err
		}
		if err := r.slice(ctx, r.Gateway, &result.Gateway); err != nil {
			return result, err
		}
	}
	return result, nil
}

func (r *ChunkRate) slice(ctx context.Context, address string, into *ChunkCost) error {
	before, err := r.cpu()
	if err != nil {
		return err
	}
	caller := client.New(r.Key, nil)
	var mu sync.Mutex
	var running sync.WaitGroup
	for range r.Streams {
		running.Go(func() {
			answer := r.stream(ctx, caller, address)
			mu.Lock()
			defer mu.Unlock()
			into.Chunks += answer.Chunks
			if answer.Outcome != outcome.Complete {
				into.Failed++
			}
		})
	}
	running.Wait()
	after, err := r.cpu()
	into.CPU += after - before
	return err
}

func (r *ChunkRate) stream(ctx context.Context, caller *client.Client, address string) *client.Answer {
	chat := client.ChatRequest{Model: r.Model, MaxTokens: r.Tokens}
	chat.Messages = []client.Message{{Role: "user", Content: "count"}}
	return caller.Chat(ctx, address, chat, client.Options{}, nil)
}

// cpu returns the processor time that this process and r.Processes have used.
func (r *ChunkRate) cpu() (time.Duration, error) {
	var own syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &own); err != nil {
		return 0, fmt.Errorf("own processor time: %w", err)
	}
	total := time.Duration(own.Utime.Nano() + own.Stime.Nano())
	for _, pid := range r.Processes {
		spent, err := ProcessCPU(pid)
		if err != nil {
			return 0, err
		}
		total += spent
	}
	return total, nil
}

// clockTick is the unit of processor times in /proc on Linux (USER_HZ).
const clockTick = 10 * time.Millisecond

// Indexes of fields in /proc/PID/stat, counted after the program's name; see proc(5).
const (
	statUserField   = 11
	statSystemField = 12
)

// StatError reports a process whose processor times cannot be read.
type StatError struct {
	PID int
	Err error
}

// Error implements error.
func (e *StatError) Error() string { return fmt.Sprintf("times of process %d: %v", e.PID, e.Err) }

// Unwrap returns the cause.
func (e *StatError) Unwrap() error { return e.Err }

// ProcessCPU returns the processor time that a process has used.
func ProcessCPU(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, &StatError{PID: pid, Err: err}
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystemField {
		return 0, &StatError{PID: pid, Err: io.ErrUnexpectedEOF}
	}
	total := time.Duration(0)
	for _, field := range []int{statUserField, statSystemField} {
		ticks, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, &StatError{PID: pid, Err: err}
		}
		total += time.Duration(ticks) * clockTick
	}
	return total, nil
}

// WriteText writes both costs and their ratio.
func (c ChunkComparison) WriteText(out io.Writer) error {
	_, err := fmt.Fprintf(out, "direct: %d chunks, %.2f s of processor time, %.0f a second per core, %d streams failed\n"+
		"gateway: %d chunks, %.2f s of processor time, %.0f a second per core, %d streams failed\nratio %.2f\n",
		c.Direct.Chunks, c.Direct.CPU.Seconds(), c.Direct.PerCore(), c.Direct.Failed,
		c.Gateway.Chunks, c.Gateway.CPU.Seconds(), c.Gateway.PerCore(), c.Gateway.Failed, c.Ratio())
	if err != nil {
		return fmt.Errorf("write chunk rates: %w", err)
	}
	return nil
}
