//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lilacweir/lilacweir/platform/standin"
)

// The places of the small Greek deployment.
var (
	zones = []struct {
		name, region string
		machines     int
	}{{"kalamaria-hall", "makedonia", 3}, {"larisa-hall", "thessalia", 2}, {"peristeri-hall", "attiki", 2}}
	program = "target/lilacweir-edge"
)

const settingsTemplate = `instance: %[1]q
failure_domain: %[2]q
region: %[3]q
domains:
  kalamaria-hall: "makedonia"
  larisa-hall: "thessalia"
  peristeri-hall: "attiki"
listen:
  callers: "%[4]s:8144"
  health: "%[4]s:8140"
  directory: "%[4]s:8143"
  peers: "%[4]s:7660"
  gossip: "%[4]s:7661"
  metrics: "%[4]s:9464"
store:
  address: %[5]q
  minimum_ttl: 1000ms
limits:
  memory_mb: 284
  grace: 8s
  retry_ratio: 0.2
  retry_slack: 54
  retry_window: 10s
  cold_factor: 1.5
  cold_slack: 3
  directory_ttl: 1s
`

// deployment is the system under test with its stand-ins.
type deployment struct {
	subnet    string
	dir       string
	store     *standin.Store
	config    config
	instances []*instance
	servers   []*server
	raw       []*rawServer
	record    *record
	closers   []func()
}

// instance is one process of the system.
type instance struct {
	name, zone, region, host string
	settings                 string
	log                      *os.File
	command                  *exec.Cmd
	exited                   chan struct{}
}

func (i *instance) callers() string { return i.host + ":8144" }

// newDeployment starts the store, without servers and instances.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "lilacweir-review")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, store: standin.NewStore(), record: r}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	var listener net.Listener
	for range 50 {
		d.subnet = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if listener, err = net.Listen("tcp", d.subnet+".1:8142"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: d.store.Handler()}
	go func() { _ = server.Serve(listener) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	host := 10
	for _, zone := range zones {
		for n := range zone.machines {
			i := &instance{name: fmt.Sprintf("front-%s-%d", zone.name, n+1), zone: zone.name, region: zone.region, host: fmt.Sprintf("%s.%d", d.subnet, host)}
			host++
			i.settings = filepath.Join(dir, i.name+".yaml")
			text := fmt.Sprintf(settingsTemplate, i.name, i.zone, i.region, i.host, d.storeAddress())
			if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
				return nil, err
			}
			d.instances = append(d.instances, i)
		}
	}
	return d, nil
}

// storeAddress is the address of the platform's store.
func (d *deployment) storeAddress() string { return d.subnet + ".1:8142" }

// config is the operator's configuration.
type config map[string]any

// put writes the configuration into the store, whose answer is its confirmation.
func (d *deployment) put() error {
	data, err := json.Marshal(d.config)
	if err != nil {
		return err
	}
	d.store.Put("op/config", string(data))
	return nil
}

// start starts an instance with the command of the deploy file.
func (d *deployment) start(i *instance) error {
	log, err := os.OpenFile(filepath.Join(d.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.Command(program, "run")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LILACWEIR_SETTINGS=" + i.settings}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	i.command, i.log, i.exited = command, log, make(chan struct{})
	exited := i.exited
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

func (i *instance) signal(s syscall.Signal) { _ = i.command.Process.Signal(s) }

func (i *instance) alive() bool {
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// startAll starts all instances and waits until each is ready.
func (d *deployment) startAll() error {
	for _, i := range d.instances {
		if err := d.start(i); err != nil {
			return err
		}
	}
	end := time.Now().Add(15 * time.Second)
	for _, i := range d.instances {
		for !ready(i) {
			if time.Now().After(end) {
				return fmt.Errorf("%s did not become ready", i.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Reports of all instances to each other.
	time.Sleep(3 * time.Second)
	return nil
}

func ready(i *instance) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.host + ":8140/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes that were started.
func (d *deployment) close() {
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		_ = exec.Command("cp", "-r", d.dir, keep).Run()
	}
	for _, i := range d.instances {
		if i.command != nil && i.alive() {
			i.signal(syscall.SIGCONT)
			i.signal(syscall.SIGKILL)
			<-i.exited
		}
	}
	for _, s := range d.servers {
		s.close()
	}
	for _, c := range d.closers {
		c()
	}
}

// record is the list of what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, begin: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%7.3f s  %s\n", time.Since(r.begin).Seconds(), strings.TrimSuffix(fmt.Sprintf(format, args...), "\n"))
}
