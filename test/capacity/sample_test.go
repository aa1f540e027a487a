package capacity

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/standin/admin"
	"github.com/lilacweir/lilacweir/pkg/standin/kv"
)

// sample is the resource usage of one process at one time.
type sample struct {
	// cpu is the processor time of all threads.
	cpu time.Duration
	// resident is the resident memory in bytes.
	resident float64
	// counters are the agent's metrics, by exposed name.
	counters map[string]float64
}

// reading is the resource usage of a whole deployment at one time.
type reading struct {
	at               time.Time
	agents, gateways []sample
	keyValue         kv.Counts
}

func (d *deployment) read() reading {
	r := reading{at: time.Now(), keyValue: d.counts()}
	for i, agent := range d.agents[:d.measuredNodes()] {
		s := d.sample(agent)
		s.counters = d.counters(d.plan.Instances[i].Agent.Operators)
		r.agents = append(r.agents, s)
		r.gateways = append(r.gateways, d.sample(d.gateways[i]))
	}
	return r
}

func (d *deployment) counts() kv.Counts {
	answer, err := admin.Send(context.Background(), d.plan.Standin.Admin.Platform, admin.Command{Verb: "kv", Args: []string{"counts"}})
	check(d.b, err)
	var counts kv.Counts
	check(d.b, json.Unmarshal(answer, &counts))
	return counts
}

func (d *deployment) switchKeyValue(state string) {
	_, err := admin.Send(context.Background(), d.plan.Standin.Admin.Platform, admin.Command{Verb: "kv", Args: []string{state}})
	check(d.b, err)
}

func (d *deployment) sample(p *process) sample {
	directory := fmt.Sprintf("/proc/%d", p.command.Process.Pid)
	return sample{cpu: d.processorTime(directory), resident: d.resident(directory)}
}

// processorTime adds up the scheduler's nanoseconds of all threads, since clock ticks miss
// most of the processor time of a mostly idle process.
func (d *deployment) processorTime(directory string) time.Duration {
	files, err := filepath.Glob(directory + "/task/*/schedstat")
	check(d.b, err)
	var total time.Duration
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			continue // The thread has ended.
		}
		onProcessor, err := strconv.ParseInt(strings.Fields(string(data))[0], 10, 64)
		check(d.b, err)
		total += time.Duration(onProcessor)
	}
	return total
}

func (d *deployment) resident(directory string) float64 {
	data, err := os.ReadFile(directory + "/statm")
	check(d.b, err)
	pages, err := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	check(d.b, err)
	return pages * float64(os.Getpagesize())
}

// peak returns the peak resident memory of the process in bytes.
func (d *deployment) peak(directory string) float64 {
	data, err := os.ReadFile(directory + "/status")
	check(d.b, err)
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			check(d.b, err)
			return kilobytes * 1024
		}
	}
	d.b.Fatal("no VmHWM in " + directory)
	return 0
}

func (d *deployment) counters(address string) map[string]float64 {
	response, err := http.Get("http://" + address + "/metrics")
	check(d.b, err)
	defer func() { _ = response.Body.Close() }()
	found := make(map[string]float64)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, text, ok := strings.Cut(lines.Text(), " ")
		value, err := strconv.ParseFloat(text, 64)
		if ok && err == nil {
			found[name] = value
		}
	}
	check(d.b, lines.Err())
	return found
}

// post sends a body to the operators' address of an agent.
func (d *deployment) post(instance int, path, contentType, body string) (string, error) {
	address := d.plan.Instances[instance].Agent.Operators
	request, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	check(d.b, err)
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("X-Lilacweir-Operator", operator)
	request.Header.Set("Authorization", "Bearer "+keyPrefix+operator)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return "", err
	}
	return response.Header.Get("X-Lilacweir-Verdict") + ": " + string(text), nil
}

// startBound bounds the time until a revision is in force everywhere.
const startBound = 2 * time.Minute

// apply makes revision 1, retrying until the first agent accepts it.
func (d *deployment) apply() {
	data, err := os.ReadFile(filepath.Join(d.directory, "declaration.yaml"))
	check(d.b, err)
	deadline := time.Now().Add(startBound)
	for {
		answer, err := d.post(0, "/v1/apply?seen=0", "application/yaml", string(data))
		if err == nil && (strings.HasPrefix(answer, "ok") || strings.HasPrefix(answer, "accepted")) {
			return
		}
		if time.Now().After(deadline) {
			d.b.Fatalf("apply: %s %v", answer, err)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// awaitInForce waits until every gateway has a revision in force.
func (d *deployment) awaitInForce(revision uint64) {
	deadline := time.Now().Add(startBound)
	for {
		times := d.inForceTimes()
		if len(times[revision]) == len(d.gateways) {
			return
		}
		if time.Now().After(deadline) {
			d.b.Fatalf("revision %d in force at %d of %d", revision, len(times[revision]), len(d.gateways))
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// inForceTimes reads from the gateways' logs the times at which each revision came into
// force.
func (d *deployment) inForceTimes() map[uint64][]time.Time {
	times := make(map[uint64][]time.Time)
	for _, gateway := range d.gateways {
		d.eachEvent(gateway, "configuration-in-force", func(at time.Time, pairs map[string]string) {
			revision, err := strconv.ParseUint(pairs["revision"], 10, 64)
			check(d.b, err)
			times[revision] = append(times[revision], at)
		})
	}
	return times
}

// acceptedTimes reads from the agents' logs the time at which each revision first reached
// an agent: the one that made the change, or one with a faster watch.
func (d *deployment) acceptedTimes() map[uint64]time.Time {
	times := make(map[uint64]time.Time)
	for _, agent := range d.agents {
		d.eachEvent(agent, "configuration-taken", func(at time.Time, pairs map[string]string) {
			revision, err := strconv.ParseUint(pairs["revision"], 10, 64)
			check(d.b, err)
			if known, ok := times[revision]; !ok || at.Before(known) {
				times[revision] = at
			}
		})
	}
	return times
}

func (d *deployment) eachEvent(p *process, event string, do func(at time.Time, pairs map[string]string)) {
	file, err := os.Open(p.log)
	check(d.b, err)
	defer func() { _ = file.Close() }()
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		if !strings.Contains(lines.Text(), "event="+event+" ") {
			continue
		}
		pairs := make(map[string]string)
		for _, field := range strings.Fields(lines.Text()) {
			name, value, _ := strings.Cut(field, "=")
			pairs[name] = value
		}
		at, err := time.Parse(time.RFC3339Nano, pairs["time"])
		check(d.b, err)
		do(at, pairs)
	}
	check(d.b, lines.Err())
}
