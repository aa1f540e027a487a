package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/lilacweir/lilacweir/platform/standin"
)

// diesWithHarness ends a process if the harness is killed.
var diesWithHarness = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}

// Zones of the deployment with their regions and numbers of machines, as in the small site.
var zones = []struct {
	name, region string
	machines     int
}{
	{"kalamaria-hall", "makedonia", 3},
	{"larisa-hall", "thessalia", 2},
	{"peristeri-hall", "attiki", 2},
}

const host = "reviewed.example"

// deployment is a small deployment: a store, seven machines, and servers in each region.
type deployment struct {
	mu     sync.Mutex
	record *os.File
	began  time.Time
	temp   string

	store   *standin.Store
	leases  *leases
	closers []func()
	// fronts are the addresses of the machines' listeners for clients, by name.
	fronts  map[string]string
	ready   map[string]string
	edges   map[string]*exec.Cmd
	servers map[string]*serverProcess
	// arrivals are the requests that reached each server, by its ID.
	arrivals map[string][]arrival
	// sentAt is when clients sent each request.
	sentAt map[string]time.Time
	// cold is the time for which servers that register are cold.
	cold time.Duration
}

type serverProcess struct {
	*exec.Cmd
	id, service, zone, address string
	born                       int64
	registered                 time.Time
	sequence                   int
}

func newDeployment(file string) (*deployment, error) {
	record, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	temp, err := os.MkdirTemp("", "review2")
	if err != nil {
		return nil, err
	}
	d := &deployment{
		record: record, began: time.Now(), temp: temp, store: standin.NewStore(),
		fronts: map[string]string{}, ready: map[string]string{}, edges: map[string]*exec.Cmd{}, servers: map[string]*serverProcess{}, arrivals: map[string][]arrival{}, sentAt: map[string]time.Time{},
	}
	d.leases = newLeases(d.store.Handler())
	return d, nil
}

// log writes a line to the record.
func (d *deployment) log(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.began).Seconds()}, args...)...)
}

// arrival is a request that has reached a server.
type arrival struct {
	request string
	at      time.Time
}

// logServer writes a server's line to the record, with the server's time.
func (d *deployment) logServer(line string) {
	stamp, rest, _ := strings.Cut(line, " ")
	micros, err := strconv.ParseInt(stamp, 10, 64)
	if err != nil {
		d.log("%s", line)
		return
	}
	at := time.UnixMicro(micros)
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f %s\n", at.Sub(d.began).Seconds(), rest)
	if words := strings.Fields(rest); len(words) > 3 && words[3] == "arrives" {
		id := strings.TrimSuffix(words[1], ":")
		d.arrivals[id] = append(d.arrivals[id], arrival{words[2], at})
	}
}

// serveStore serves the store at a free address.
func (d *deployment) serveStore() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: d.leases}
	go func() { _ = server.Serve(listener) }()
	d.closers = append(d.closers, func() { _ = server.Close() })
	return listener.Addr().String(), nil
}

// startServer starts a server process and registers it.
func (d *deployment) startServer(id, service, zone string, options ...string) (*serverProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &serverProcess{id: id, service: service, zone: zone}
	s.Cmd = exec.Command(self, append([]string{"server", "-id", id, "-service", service}, options...)...)
	s.SysProcAttr = diesWithHarness
	out, err := s.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := s.Start(); err != nil {
		return nil, err
	}
	d.servers[id] = s
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, fmt.Errorf("server %s ended at once", id)
	}
	if _, err := fmt.Sscanf(lines.Text(), "listening %s %d", &s.address, &s.born); err != nil {
		return nil, err
	}
	go func() {
		for lines.Scan() {
			d.logServer(lines.Text())
		}
	}()
	s.registered = time.Now()
	d.register(s, "ready", 0)
	return s, nil
}

// register writes a server's entry. remaining is the time until it is gone, zero if it is not known.
func (d *deployment) register(s *serverProcess, state string, remaining time.Duration) {
	s.sequence++
	slots := 64
	if s.service == "sleeplog-api" {
		slots = 6
	}
	entry := map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": slots, "state": state,
		"warmup_left_ms": d.cold.Milliseconds(), "sequence": s.sequence, "born": s.born,
	}
	if remaining > 0 {
		entry["remaining_ms"] = remaining.Milliseconds()
	}
	value, _ := json.Marshal(entry)
	d.store.Put("servers/"+s.id, string(value))
	d.log("store: servers/%s is %s %s", s.id, state, value)
}

// settings is the small site's, as deploy/edge.yaml.template gives them.
const settings = `instance: %q
failure_domain: %q
region: %q
domains: {kalamaria-hall: makedonia, larisa-hall: thessalia, peristeri-hall: attiki}
listen:
  callers: %q
  health: %q
  directory: %q
  peers: %q
  gossip: %q
  metrics: %q
store:
  address: %q
  minimum_ttl: 1000ms
limits:
  memory_mb: 284
  descriptors: 4100
  grace: 8s
  retry_ratio: 0.2
  retry_slack: 54
  retry_window: 10s
  cold_factor: 1.5
  cold_slack: 3
  directory_ttl: 1s
`

// freeAddresses returns addresses of a loopback host that are free now. Each machine has a host of its own, so that
// no channel of another process takes one of them meanwhile.
func freeAddresses(host string, n int) ([]string, error) {
	var free []string
	for range n {
		listener, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer listener.Close()
		free = append(free, listener.Addr().String())
	}
	return free, nil
}

// network is the second number of the machines' loopback addresses.
var network = 60 + rand.IntN(100)

// startEdge starts the program of the deploy file.
func (d *deployment) startEdge(name, zone, region, store string) error {
	a, err := freeAddresses(fmt.Sprintf("127.%d.1.%d", network, len(d.edges)+1), 6)
	if err != nil {
		return err
	}
	file := filepath.Join(d.temp, name+".yaml")
	text := fmt.Sprintf(settings, name, zone, region, a[0], a[1], a[2], a[3], a[4], a[5], store)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(d.temp, name+".log"))
	if err != nil {
		return err
	}
	defer out.Close()
	command := exec.Command("target/lilacweir-edge", "run")
	command.Env = append(os.Environ(), "LILACWEIR_SETTINGS="+file)
	command.Stdout, command.Stderr = out, out
	command.SysProcAttr = diesWithHarness
	if err := command.Start(); err != nil {
		return err
	}
	d.edges[name], d.fronts[name], d.ready[name] = command, a[0], a[1]
	return nil
}

// startEdges starts all machines, each with the store's address that storeOf returns.
func (d *deployment) startEdges(storeOf func(name string) string) error {
	for _, zone := range zones {
		for n := range zone.machines {
			name := "front-" + zone.name + "-" + strconv.Itoa(n+1)
			if err := d.startEdge(name, zone.name, zone.region, storeOf(name)); err != nil {
				return err
			}
		}
	}
	end := time.Now().Add(15 * time.Second)
	for name, address := range d.ready {
		for {
			answer, err := http.Get("http://" + address + "/readyz")
			if err == nil {
				_ = answer.Body.Close()
				if answer.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// configure writes the operator's configuration.
func (d *deployment) configure(version int, routes ...map[string]any) {
	config := map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "lilac-nurse", "max_connections": 360, "cold_per_s": 9.7, "warmup_s": 3, "health_path": "/healthz", "engine": map[string]any{"slots": 64, "kv_capacity_tokens": 354318, "kv_token_bytes": 163840, "link_mbps": 260000}},
			{"name": "sleeplog-api", "max_connections": 100, "cold_per_s": 0, "warmup_s": 0, "health_path": "/healthz"},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
	}
	value, _ := json.Marshal(config)
	d.store.Put("op/config", string(value))
	d.log("store: op/config is version %d", version)
}

// close ends all processes that were started.
func (d *deployment) close() {
	for _, edge := range d.edges {
		_ = edge.Process.Kill()
		_ = edge.Wait()
	}
	for _, s := range d.servers {
		_ = s.Process.Kill()
		_ = s.Wait()
	}
	for _, end := range d.closers {
		end()
	}
	_ = os.RemoveAll(d.temp)
	_ = d.record.Close()
}

// kill ends a server process like a lost machine whose kernel still closes its connections.
func (d *deployment) kill(s *serverProcess) {
	_ = s.Process.Signal(syscall.SIGKILL)
	d.log("server %s: killed", s.id)
}

// leases ends the leases of the stand-in store in time, which by itself keeps them.
type leases struct {
	next http.Handler
	mu   sync.Mutex
	ends map[string]*time.Timer
	ttl  map[string]time.Duration
}

func newLeases(next http.Handler) *leases {
	return &leases{next: next, ends: map[string]*time.Timer{}, ttl: map[string]time.Duration{}}
}

// ServeHTTP implements http.Handler.
func (l *leases) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/kv-lease":
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		answer := httptest.NewRecorder()
		l.next.ServeHTTP(answer, r)
		var granted struct {
			Lease int64 `json:"lease"`
			TTL   int64 `json:"ttl_ms"`
		}
		if json.Unmarshal(answer.Body.Bytes(), &granted) == nil && granted.Lease != 0 {
			l.grant(strconv.FormatInt(granted.Lease, 10), time.Duration(granted.TTL)*time.Millisecond)
		}
		for name, values := range answer.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(answer.Code)
		_, _ = w.Write(answer.Body.Bytes())
	case strings.HasPrefix(r.URL.Path, "/kv-keep/"):
		l.renew(strings.TrimPrefix(r.URL.Path, "/kv-keep/"))
		l.next.ServeHTTP(w, r)
	default:
		l.next.ServeHTTP(w, r)
	}
}

func (l *leases) grant(id string, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ttl[id] = ttl
	l.ends[id] = time.AfterFunc(ttl, func() {
		r := httptest.NewRequest(http.MethodDelete, "/kv-lease-end/"+id, nil)
		l.next.ServeHTTP(httptest.NewRecorder(), r)
	})
}

func (l *leases) renew(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if end := l.ends[id]; end != nil && end.Stop() {
		end.Reset(l.ttl[id])
	}
}
