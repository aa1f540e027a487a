package scenario

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/load"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// Loopback nets for tests: 127.N.0.0/16. The checked-in deployments use lower nets.
const (
	firstNet = 20
	lastNet  = 250
	// reservationPort on 127.N.255.254 is the lock of the test that uses net N.
	reservationPort = 7999
)

// Interval and timeout of polling a condition.
const (
	pollInterval = 50 * time.Millisecond
	pollTimeout  = 20 * time.Second
)

var (
	errNoNet     = errors.New("no free loopback net")
	errNoProcess = errors.New("no such process")
	errNotReady  = errors.New("did not become ready")
)

// deployment is one running deployment on its own loopback net.
type deployment struct {
	name      string
	number    int
	directory string
	holder    net.Listener
	instances map[string]*settings.Instance
	processes map[string]*process
	loads     map[string]*backgroundLoad
	calls     map[string]*backgroundCall
	chats     map[string]*backgroundChat
	// keys maps script names to idempotency keys.
	keys    map[string]string
	moments map[string]time.Time
	slow    map[string]*slowSet
}

// plan reserves a net and writes the settings of all processes.
func plan(name, directory string) (*deployment, error) {
	deploymentSlots <- struct{}{}
	number, holder, err := reserveNet()
	if err != nil {
		<-deploymentSlots
		return nil, err
	}
	d := &deployment{
		name: name, number: number, holder: holder, directory: directory,
		processes: make(map[string]*process), loads: make(map[string]*backgroundLoad),
		calls: make(map[string]*backgroundCall), chats: make(map[string]*backgroundChat), keys: make(map[string]string),
		moments: make(map[string]time.Time), slow: make(map[string]*slowSet),
	}
	topology := filepath.Join("..", "..", "deploy", name, "topology.yaml")
	command := exec.Command(d.binary("lilacweir-standin"), "plan", topology, "--net", fmt.Sprint(number), "--out", directory)
	if output, err := command.CombinedOutput(); err != nil {
		d.close()
		return nil, fmt.Errorf("plan: %w\n%s", err, output)
	}
	if err := d.readSettings(); err != nil {
		d.close()
		return nil, err
	}
	return d, nil
}

func reserveNet() (int, net.Listener, error) {
	for number := firstNet; number <= lastNet; number++ {
		holder, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", number, reservationPort))
		if err == nil {
			return number, holder, nil
		}
	}
	return 0, nil, errNoNet
}

func (d *deployment) binary(program string) string { return filepath.Join(binaries, program) }

func (d *deployment) file(name string) string { return filepath.Join(d.directory, name) }

func (d *deployment) admin() string { return fmt.Sprintf("127.%d.0.1:7000", d.number) }

// readSettings adds a process for each program of each instance.
func (d *deployment) readSettings() error {
	instances, err := load.ReadInstances(d.directory)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	d.instances = instances
	d.add("standin", "lilacweir-standin", "standin.yaml")
	for name := range instances {
		d.add(name+"/gateway", "lilacweir-gateway", name+".yaml")
		d.add(name+"/agent", "lilacweir-agent", name+".yaml")
	}
	return nil
}

func (d *deployment) add(name, program, settingsFile string) {
	d.processes[name] = &process{
		name: name, program: program, args: []string{"run", d.file(settingsFile)},
		log: d.file(strings.ReplaceAll(name, "/", "-") + ".log"),
	}
}

// find returns the processes that a name selects: one program, both of an instance,
// those of a failure domain's instances, or with "all" those of every instance.
func (d *deployment) find(name string) ([]*process, error) {
	var found []*process
	for key, candidate := range d.processes {
		owner, _, _ := strings.Cut(key, "/")
		instance := d.instances[owner]
		inDomain := instance != nil && (instance.Domain == name || name == "all")
		if key == name || owner == name || inDomain {
			found = append(found, candidate)
		}
	}
	if len(found) == 0 {
		return nil, fmt.Errorf("%s: %w", name, errNoProcess)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].name < found[j].name })
	return found, nil
}

// start starts processes and waits until each is healthy.
func (d *deployment) start(name string) error {
	found, err := d.find(name)
	if err != nil {
		return err
	}
	for _, p := range found {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range found {
		if err := d.awaitAnswer(p); err != nil {
			return err
		}
	}
	return nil
}

// health returns the URL of a process's health check.
func (d *deployment) health(p *process) string {
	if p.admin != "" {
		return "http://" + p.admin + "/healthz"
	}
	owner, program, _ := strings.Cut(p.name, "/")
	switch program {
	case "gateway":
		return "http://" + d.instances[owner].Gateway.Callers + "/healthz"
	case "agent":
		return "http://" + d.instances[owner].Agent.Operators + "/healthz"
	default:
		return "http://" + d.admin() + "/healthz"
	}
}

func (d *deployment) awaitAnswer(p *process) error {
	url := d.health(p)
	return poll(pollTimeout, func() error {
		if !p.running() {
			return fmt.Errorf("%s: %w: %w", p.name, errNotRunning, p.failure)
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return fmt.Errorf("%s: %w: %w", p.name, errNotReady, err)
		}
		return response.Body.Close()
	})
}

// poll repeats a condition until it returns nil, or returns its last error on timeout.
func poll(bound time.Duration, condition func() error) error {
	deadline := time.After(bound)
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-deadline:
			return err
		case <-tick.C:
		}
	}
}

// close kills the running processes and releases the net.
func (d *deployment) close() {
	for _, running := range d.loads {
		running.cancel()
	}
	for _, running := range d.processes {
		_ = running.kill()
	}
	_ = d.holder.Close()
	<-deploymentSlots
}

// showLogs returns the tail of each process's log, for failed scripts.
func (d *deployment) showLogs() string {
	const tail = 3000
	var text strings.Builder
	for _, p := range d.processes {
		data, _ := os.ReadFile(p.log)
		if len(data) > tail {
			data = data[len(data)-tail:]
		}
		fmt.Fprintf(&text, "--- %s\n%s", p.name, data)
	}
	return text.String()
}
