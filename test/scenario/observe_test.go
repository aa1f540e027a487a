package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"regexp"
	"sort"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/standin/journal"
)

// healthTimeout bounds one readiness or metrics request.
const healthTimeout = 2 * time.Second

// ready prints the readiness report of an instance's gateway: ready INSTANCE.
func ready(d *deployment, args []string) (string, error) {
	if len(args) != 1 || d.instances[args[0]] == nil {
		return "", errUsage
	}
	return get("http://" + d.instances[args[0]].Gateway.Callers + "/readyz")
}

func get(url string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return "", fmt.Errorf("get: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", fmt.Errorf("get: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", fmt.Errorf("get: %w", err)
	}
	return string(body), nil
}

// metric prints the matching lines of a gateway's metrics: metric INSTANCE REGEXP.
func metric(d *deployment, args []string) (string, error) {
	const count = 2
	if len(args) != count || d.instances[args[0]] == nil {
		return "", errUsage
	}
	pattern, err := regexp.Compile("(?m)^" + args[1] + ".*$")
	if err != nil {
		return "", fmt.Errorf("metric: %w", err)
	}
	text, err := get("http://" + d.instances[args[0]].Gateway.Callers + "/metrics")
	return strings.Join(pattern.FindAllString(text, -1), "\n"), err
}

// allServing checks that every instance reports serving and lists all instances.
func (d *deployment) allServing() error {
	for name := range d.instances {
		text, err := ready(d, []string{name})
		if err != nil {
			return err
		}
		if !strings.Contains(text, `"serving"`) {
			return fmt.Errorf("%s: %w: %s", name, errNotReady, text)
		}
		if err := d.listsAllInstances(name); err != nil {
			return err
		}
	}
	return nil
}

// allRegionCallers names a caller of each deployment that is permitted in every region.
var allRegionCallers = map[string]string{"wellness": "clinic-review", "minibar": "chung-restock"}

// listsAllInstances checks that a gateway lists every instance. A gateway that has just
// started knows only its own failure domain.
func (d *deployment) listsAllInstances(name string) error {
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	caller := client.New("key-"+allRegionCallers[d.name], nil)
	list, err := caller.Instances(ctx, d.instances[name].Gateway.Callers)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	if len(list.Instances) != len(d.instances) {
		return fmt.Errorf("%s: %w: lists %d instances", name, errNotReady, len(list.Instances))
	}
	return nil
}

// adminEntries decodes the JSON lines of an answer of the stand-in's admin interface.
func adminEntries[T any](d *deployment, command ...string) ([]T, error) {
	text, err := control(d, command)
	if err != nil {
		return nil, err
	}
	var entries []T
	decoder := json.NewDecoder(strings.NewReader(text))
	for decoder.More() {
		var entry T
		if err := decoder.Decode(&entry); err != nil {
			return nil, fmt.Errorf("%s: %w", command[0], err)
		}
		entries = append(entries, entry)
	}
	return entries, nil
}

// ran counts the runs at all upstreams or at one: ran [UPSTREAM]. It prints the runs
// of each call, and the number of idempotency keys that ran more than once.
func ran(d *deployment, args []string) (string, error) {
	entries, err := adminEntries[journal.Entry](d, append([]string{"journal"}, args...)...)
	if err != nil {
		return "", err
	}
	calls := make(map[string]int)
	keys := make(map[string]int)
	for _, entry := range entries {
		calls[strings.TrimSpace(entry.Kind+" "+entry.Method+" "+entry.Path)]++
		if entry.IdempotencyKey != "" {
			keys[entry.IdempotencyKey]++
		}
	}
	return summary(calls, keys), nil
}

func summary(calls, keys map[string]int) string {
	repeated := 0
	for _, runs := range keys {
		if runs > 1 {
			repeated++
		}
	}
	parts := []string{fmt.Sprintf("keys=%d repeated=%d", len(keys), repeated)}
	for call, runs := range calls {
		parts = append(parts, fmt.Sprintf("%s=%d", call, runs))
	}
	sort.Strings(parts[1:])
	return strings.Join(parts, "\n")
}

// outside counts the requests that upstreams processed for callers not permitted in
// the upstream's region by the planned declaration.
func outside(d *deployment, _ []string) (string, error) {
	counts, err := adminEntries[journal.Count](d, "processed")
	if err != nil {
		return "", err
	}
	permitted, err := d.permittedDomains()
	if err != nil {
		return "", err
	}
	inside, wrong := 0, 0
	for _, count := range counts {
		if permitted[count.Caller][count.Domain] {
			inside += count.Count
		} else {
			wrong += count.Count
		}
	}
	return fmt.Sprintf("inside=%d outside=%d\n%+v", inside, wrong, counts), nil
}

// declaration reads the planned declaration.
func (d *deployment) declaration() (*config.Declaration, error) {
	data, err := os.ReadFile(d.file("declaration.yaml"))
	if err != nil {
		return nil, fmt.Errorf("declaration: %w", err)
	}
	var declaration config.Declaration
	if err := yaml.Unmarshal(data, &declaration); err != nil {
		return nil, fmt.Errorf("declaration: %w", err)
	}
	return &declaration, nil
}

// permittedDomains returns the failure domains that may serve each caller.
func (d *deployment) permittedDomains() (map[string]map[string]bool, error) {
	declaration, err := d.declaration()
	if err != nil {
		return nil, err
	}
	domains := make(map[string][]string)
	for _, region := range declaration.Regions {
		domains[region.Name] = region.Domains
	}
	permitted := make(map[string]map[string]bool)
	for _, caller := range declaration.Callers {
		permitted[caller.Name] = make(map[string]bool)
		for _, region := range caller.Regions {
			for _, domain := range domains[region] {
				permitted[caller.Name][domain] = true
			}
		}
	}
	return permitted, nil
}

// logged counts the matching lines of processes' logs: logged PROCESS REGEXP.
func logged(d *deployment, args []string) (string, error) {
	const count = 2
	if len(args) != count {
		return "", errUsage
	}
	found, err := d.find(args[0])
	if err != nil {
		return "", err
	}
	pattern, err := regexp.Compile("(?m)" + args[1])
	if err != nil {
		return "", fmt.Errorf("logged: %w", err)
	}
	total := 0
	for _, p := range found {
		data, err := os.ReadFile(p.log)
		if err != nil {
			return "", fmt.Errorf("logged: %w", err)
		}
		total += len(pattern.FindAll(data, -1))
	}
	return fmt.Sprintf("lines=%d", total), nil
}
