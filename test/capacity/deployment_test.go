// Package capacity measures the resource usage of real agents and gateways at several
// sizes. Each benchmark starts processes on loopback, with a declaration as large as the
// target's, and prints its figures in the benchmark format that pkg/capacity reads:
//
//	go test -run '^$' -bench . -benchtime 1x -timeout 60m ./test/capacity
package capacity

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/load"
	"github.com/lilacweir/lilacweir/pkg/standin"
	"github.com/lilacweir/lilacweir/pkg/standin/engine"
	"github.com/lilacweir/lilacweir/pkg/standin/plan"
)

// Sizes of the declaration, which are the target's however much of it is deployed.
const (
	declaredUpstreams = 1000
	declaredCallers   = 600
	models            = 5
)

// Loopback nets 127.N.0.0/16 for measurements, and the port that reserves one.
const (
	firstNet = 200
	lastNet  = 250
	lockPort = 7999
)

// operator makes the changes; keyPrefix is the prefix of every key of a planned
// deployment.
const (
	operator  = "capacity"
	keyPrefix = "key-"
)

// undeployedDomain is declared and never started. Its upstreams make the declaration large.
const undeployedDomain = "far-domain"

// layout is the shape of a measured deployment.
type layout struct {
	// domains is the number of failure domains, instances that of each domain.
	// firstDomainInstances, unless zero, replaces it for the first domain. The others
	// then have one engine of each model, and only the first domain's nodes are
	// measured and sent requests.
	domains, instances, firstDomainInstances int
	// enginesPerModel is the number of engines of each model in a domain.
	enginesPerModel int
	// rate is the requests a second and node in the measurement under traffic.
	rate float64
}

// deployment is one running deployment.
type deployment struct {
	b         *testing.B
	layout    layout
	directory string
	netLock   net.Listener
	plan      plan.Plan
	standin   *process
	agents    []*process
	gateways  []*process
}

var (
	buildOnce sync.Once
	binaries  string
)

// TestMain removes the programs that the benchmarks built.
func TestMain(m *testing.M) {
	status := m.Run()
	if binaries != "" {
		_ = os.RemoveAll(binaries)
	}
	os.Exit(status)
}

func build(b *testing.B) {
	buildOnce.Do(func() {
		directory, err := os.MkdirTemp("", "lilacweir-capacity-")
		check(b, err)
		binaries = directory
		command := exec.Command("go", "build", "-o", directory, "./cmd/...")
		command.Dir = "../.."
		output, err := command.CombinedOutput()
		if err != nil {
			b.Fatalf("build: %v\n%s", err, output)
		}
	})
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// deploy starts every process of a layout and applies the declaration.
func deploy(b *testing.B, l layout) *deployment {
	build(b)
	d := &deployment{b: b, layout: l, directory: b.TempDir()}
	number := d.reserveNet()
	b.Cleanup(d.close)
	d.write(number)
	d.standin = d.start("standin", "lilacweir-standin", "standin.yaml")
	for i := range d.plan.Instances {
		name := d.plan.Instances[i].Instance
		d.gateways = append(d.gateways, d.start(name+"-gateway", "lilacweir-gateway", name+".yaml"))
	}
	for i := range d.plan.Instances {
		name := d.plan.Instances[i].Instance
		d.agents = append(d.agents, d.start(name+"-agent", "lilacweir-agent", name+".yaml"))
	}
	d.apply()
	d.awaitInForce(1)
	return d
}

func (d *deployment) reserveNet() int {
	for number := firstNet; number <= lastNet; number++ {
		netLock, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", number, lockPort))
		if err == nil {
			d.netLock = netLock
			return number
		}
	}
	d.b.Fatal("no free loopback net")
	return 0
}

// write writes the settings, without the emulated links, as the measurements are without
// network delays.
func (d *deployment) write(number int) {
	built, err := plan.Build(d.topology(), number)
	check(d.b, err)
	built.Standin.Links = nil
	if d.layout.firstDomainInstances > 0 {
		keepOneEnginePerModel(&built)
	}
	for i := range built.Instances {
		built.Instances[i].DialVia = nil
	}
	fillDeclaration(&built.Declaration)
	d.plan = built
	check(d.b, plan.Write(built, d.directory))
}

func (d *deployment) topology() plan.Topology {
	topology := plan.Topology{
		Name:      "capacity",
		Platform:  plan.Platform{WritesPerSecond: 400, ReadsPerSecond: 2000, ListLag: 3 * time.Second, LoadsPerMinute: 30},
		Operators: []string{operator},
	}
	for n := range d.layout.domains {
		instances := d.layout.instances
		if n == 0 && d.layout.firstDomainInstances > 0 {
			instances = d.layout.firstDomainInstances
		}
		domain := plan.Domain{Name: fmt.Sprintf("domain-%02d", n+1), Prefix: fmt.Sprintf("d%02d", n+1), Instances: instances}
		topology.Regions = append(topology.Regions, plan.Region{Name: fmt.Sprintf("region-%02d", n+1), Domains: []plan.Domain{domain}})
		topology.Callers = append(topology.Callers, plan.Caller{
			Name: fmt.Sprintf("sender-%02d", n+1), Home: fmt.Sprintf("region-%02d", n+1), Regions: []string{fmt.Sprintf("region-%02d", n+1)},
		})
	}
	for m := range models {
		topology.Models = append(topology.Models, plan.Model{
			Name: modelName(m), MaxTokens: 2048, Versions: []config.ModelVersion{{Name: "v1", Percent: 100}},
			Engine: plan.Engine{
				Prefix: fmt.Sprintf("m%d", m+1), PerDomain: d.layout.enginesPerModel, Concurrency: 32, DecodeRate: 16,
				PrefillRate: 8000, CacheTokens: 60000, LoadLag: 250 * time.Millisecond, EventLag: 500 * time.Millisecond,
				ChecksFencing: true,
			},
		})
	}
	return topology
}

// keepOneEnginePerModel removes all but one engine of each model in all domains but the
// first.
func keepOneEnginePerModel(p *plan.Plan) {
	removed := make(map[string]bool)
	p.Declaration.Upstreams = slices.DeleteFunc(p.Declaration.Upstreams, func(u config.Upstream) bool {
		removed[u.Name] = u.Domain != firstDomain && !strings.HasSuffix(u.Name, "-1")
		return removed[u.Name]
	})
	p.Standin.Engines = slices.DeleteFunc(p.Standin.Engines, func(e engine.Settings) bool { return removed[e.Name] })
	list := &p.Standin.Platform.List
	list.Instances = slices.DeleteFunc(list.Instances, func(l standin.Listed) bool { return removed[l.Name] })
}

// firstDomain is the name of the first failure domain.
const firstDomain = "domain-01"

func modelName(m int) string { return fmt.Sprintf("model-%d", m+1) }

// fillDeclaration adds upstreams and callers that are not started, up to the target's sizes.
func fillDeclaration(declaration *config.Declaration) {
	declaration.Regions = append([]config.Region{{Name: "far", Domains: []string{undeployedDomain}}}, declaration.Regions...)
	for m := range declaration.Models {
		declaration.Models[m].Regions = append([]string{"far"}, declaration.Models[m].Regions...)
	}
	var undeployed []config.Upstream
	for n := range declaredUpstreams - len(declaration.Upstreams) {
		undeployed = append(undeployed, config.Upstream{
			Name: undeployedUpstream(n), Kind: config.KindEngine, Serves: modelName(n % models), Version: "v1",
			Domain: undeployedDomain, Address: fmt.Sprintf("127.1.%d.%d:9000", 1+n/250, 1+n%250), Concurrency: 8, ChecksFencing: true,
		})
	}
	declaration.Upstreams = append(undeployed, declaration.Upstreams...)
	var callers []config.Caller
	for n := range declaredCallers - len(declaration.Callers) {
		name := fmt.Sprintf("organisation-%03d", n+1)
		callers = append(callers, config.Caller{
			Name: name, KeyHash: config.HashKey(keyPrefix + name), Home: "far", Regions: []string{"far", declaration.Regions[1].Name},
		})
	}
	declaration.Callers = append(callers, declaration.Callers...)
}

// undeployedUpstream returns the name of an upstream of undeployedDomain.
func undeployedUpstream(n int) string { return fmt.Sprintf("far-%04d", n+1) }

// measuredNodes returns the number of nodes that are measured, counted from the first.
func (d *deployment) measuredNodes() int {
	if d.layout.firstDomainInstances > 0 {
		return d.layout.firstDomainInstances
	}
	return len(d.agents)
}

// process is a started program.
type process struct {
	command *exec.Cmd
	log     string
}

func (d *deployment) start(name, program, settingsFile string) *process {
	p := &process{log: filepath.Join(d.directory, name+".log")}
	log, err := os.Create(p.log)
	check(d.b, err)
	defer func() { _ = log.Close() }()
	p.command = exec.Command(filepath.Join(binaries, program), "run", filepath.Join(d.directory, settingsFile))
	p.command.Stdout, p.command.Stderr = log, log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	check(d.b, p.command.Start())
	return p
}

func (p *process) kill() {
	if p == nil || p.command.Process == nil {
		return
	}
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
}

func (d *deployment) close() {
	for _, p := range append(append(d.agents, d.gateways...), d.standin) {
		p.kill()
	}
	_ = d.netLock.Close()
}

// regions returns the region of each deployed domain.
func (d *deployment) regions() map[string]string {
	regions := make(map[string]string)
	for i := range d.plan.Instances {
		regions[d.plan.Instances[i].Domain] = d.plan.Instances[i].Region
	}
	return regions
}

// traffic returns a run of streamed answers of the target's duration: 200 tokens at 63 ms.
func (d *deployment) traffic(rate float64, length time.Duration) *load.Run {
	run := &load.Run{
		Mix: &load.Mix{}, Seeds: make(map[string][]string), Regions: d.regions(),
		Seed: 1, Rate: rate, Length: length, Timeout: time.Minute,
	}
	var names []string
	senders := d.layout.domains
	if d.layout.firstDomainInstances > 0 {
		senders = 1
	}
	for n := range senders {
		name := fmt.Sprintf("sender-%02d", n+1)
		names = append(names, name)
		run.Mix.Callers = append(run.Mix.Callers, load.Caller{
			Name: name, Key: keyPrefix + name, Domain: fmt.Sprintf("domain-%02d", n+1), Region: fmt.Sprintf("region-%02d", n+1),
		})
	}
	for m := range models {
		run.Mix.Items = append(run.Mix.Items, load.Item{
			Name: modelName(m), Weight: 1, Callers: names,
			Chat: &load.Chat{Model: modelName(m), QuestionBytes: 400, MaxTokens: 200},
		})
	}
	for i := range d.plan.Instances {
		one := &d.plan.Instances[i]
		run.Seeds[one.Domain] = append(run.Seeds[one.Domain], one.Gateway.Callers)
	}
	return run
}
