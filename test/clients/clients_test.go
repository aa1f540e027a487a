// Package clients has crowds of clients that do not behave meet the processes of one instance, a gateway and
// its agent, on a loopback net of its own.
package clients

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/internal/crowd"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// Bounds of the processes. The gateway has the memory that it declares for bodies, the agent a quarter of it.
const (
	gatewayMemory  = 256 << 20
	agentMemory    = 64 << 20
	maxDescriptors = 400
)

// Sizes of the crowds, which would take more than that.
const (
	bodies      = 40
	heads       = 250
	connections = 500
	// nested is the number of bodies with many small parts.
	nested = 6
)

const (
	startTimeout  = 30 * time.Second
	answerTimeout = 20 * time.Second
	ordinaryBody  = 100 << 10
)

// network is the number N of the tests' loopback net, 127.N.0.0/16. Other tests use nets from 20 on.
const network = 16

const instance = "kal-1"

// gatewayHead and agentHead begin a request.
const (
	gatewayHead = "POST /sleeplog/uploads HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-residents-app\r\n"
	chatHead    = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-clinic-review\r\n"
	agentHead   = "POST /v1/apply?seen=0 HTTP/1.1\r\nHost: a\r\n"
)

var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lilacweir-clients")
	if err != nil {
		return "", err
	}
	command := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	command.Dir = "../.."
	if out, err := command.CombinedOutput(); err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return dir, nil
})

// process is one process of the instance.
type process struct {
	command *exec.Cmd
	address string
}

// system is a gateway and its agent beside the stand-ins of their deployment.
type system struct {
	*testing.T
	programs, dir  string
	gateway, agent process
	logs           []string
}

// start starts the instance. Without a configuration its agent accepts the first one.
func start(t *testing.T, configured bool) *system {
	t.Helper()
	programs, err := build()
	if err != nil {
		t.Fatal(err)
	}
	s := &system{T: t, programs: programs, dir: t.TempDir()}
	t.Cleanup(s.showLogs)
	s.tool("lilacweir-standin", "plan", filepath.Join("..", "..", "deploy", "wellness", "topology.yaml"), "--net", fmt.Sprint(network), "--out", s.dir)
	file := filepath.Join(s.dir, instance+".yaml")
	node, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	s.run("lilacweir-standin", filepath.Join(s.dir, "standin.yaml"))
	s.gateway = process{s.run("lilacweir-gateway", file), node.Gateway.Callers}
	s.agent = process{s.run("lilacweir-agent", file), node.Agent.Operators}
	s.await(s.gateway, "/healthz")
	s.await(s.agent, "/healthz")
	if configured {
		s.tool("lilacweir", "apply", "-c", filepath.Join(s.dir, "operator.yaml"), filepath.Join(s.dir, "declaration.yaml"))
		s.await(s.gateway, "/readyz")
	}
	return s
}

// tool runs a program to its end.
func (s *system) tool(program string, args ...string) {
	s.Helper()
	command := exec.Command(filepath.Join(s.programs, program), args...)
	command.Env = append(os.Environ(), "LILACWEIR_KEY=key-eleni")
	out, err := command.CombinedOutput()
	var exit *exec.ExitError
	// A change is in force at one instance of seven, which is told by exit code 2.
	if err != nil && (!errors.As(err, &exit) || exit.ExitCode() != 2) {
		s.Fatalf("%s: %v: %s", program, err, out)
	}
}

// run starts a process with few descriptors.
func (s *system) run(program, file string) *exec.Cmd {
	s.Helper()
	name := filepath.Join(s.dir, program+".log")
	log, err := os.Create(name)
	if err != nil {
		s.Fatal(err)
	}
	defer log.Close()
	s.logs = append(s.logs, name)
	command := exec.Command("sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" run "$1"`, maxDescriptors), filepath.Join(s.programs, program), file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		s.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// How it ended is judged by what the test sees before.
		_ = command.Wait()
	}()
	s.Cleanup(func() {
		_ = command.Process.Kill()
		<-ended
	})
	return command
}

// showLogs logs the end of each log of a failed test.
func (s *system) showLogs() {
	const tail = 2000
	if !s.Failed() {
		return
	}
	for _, name := range s.logs {
		text, err := os.ReadFile(name)
		if err != nil {
			s.Log(err)
			continue
		}
		s.Logf("%s:\n%s", filepath.Base(name), text[max(0, len(text)-tail):])
	}
}

func (s *system) await(p process, path string) {
	s.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); clock.Sleep(s.Context(), 50*time.Millisecond) {
		if s.get(p, path) == nil {
			return
		}
	}
	s.Fatalf("%s%s did not answer", p.address, path)
}

var errUnexpectedAnswer = errors.New("unexpected answer")

// get asks an endpoint that needs no key.
func (s *system) get(p process, path string) error {
	return s.exchange(p, fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path))
}

// upload sends an ordinary request through the gateway.
func (s *system) upload(length int) error {
	return s.exchange(s.gateway, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", gatewayHead, length, strings.Repeat("o", length)))
}

// exchange sends a request on a connection of its own, and returns an error unless its answer is a success.
func (s *system) exchange(p process, request string) error {
	ctx, cancel := context.WithTimeout(s.Context(), answerTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", p.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return err
	}
	if _, err := io.WriteString(conn, request); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%w: %s: %.200s", errUnexpectedAnswer, response.Status, body)
	}
	return nil
}

// check checks that a process lives within its bounds.
func (s *system) check(p process, memory int64) {
	s.Helper()
	usage, err := crowd.UsageOf(p.command.Process.Pid)
	if err != nil {
		s.Fatalf("the process has ended: %v", err)
	}
	s.Logf("at most %d MB, %d descriptors", usage.PeakMemory>>20, usage.Descriptors)
	if usage.PeakMemory > memory {
		s.Errorf("the process took %d MB, allowed %d", usage.PeakMemory>>20, memory>>20)
	}
	if usage.Descriptors > maxDescriptors*3/4 {
		s.Errorf("the process has %d descriptors open, allowed %d", usage.Descriptors, maxDescriptors*3/4)
	}
}

// TestCrowdsAtTheGateway guards against a gateway that takes more memory or descriptors than it has, or that
// serves nobody else, because of clients that send too much or stop short of the end and stay.
func TestCrowdsAtTheGateway(t *testing.T) {
	parts := `{"model":"lilac-nurse","messages":[` + strings.Repeat("{},", settings.DefaultMaxBody/3-100) + `{}]}`
	for name, c := range map[string]struct {
		size   int
		client crowd.Client
	}{
		"bodies that stop short":                {bodies, crowd.Sending(gatewayHead, settings.DefaultMaxBody, 1, 1<<20)},
		"bodies that are only announced":        {bodies, crowd.Sending(gatewayHead, settings.DefaultMaxBody, settings.DefaultMaxBody-1, 1)},
		"bodies of many small parts":            {nested, crowd.Answered(crowd.Bytes(fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", chatHead, len(parts), parts)))},
		"large chunks that stop short":          {bodies, crowd.Chunking(gatewayHead, settings.DefaultMaxBody, 1<<20)},
		"small chunks that stop short":          {bodies, crowd.Chunking(gatewayHead, settings.DefaultMaxBody, 64)},
		"heads of short fields without end":     {heads, crowd.Fields(gatewayHead, 120<<10)},
		"heads beyond the limit":                {heads, crowd.Fields(gatewayHead, 1<<20)},
		"empty lines":                           {heads, crowd.Bytes([]byte(strings.Repeat("\r\n", 1<<19)))},
		"connections without a request":         {connections, crowd.Silent()},
		"connections that stay after an answer": {connections, crowd.Asking("GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n", 1)},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, true)
			gathered, err := crowd.Gather(t.Context(), s.gateway.address, c.size, c.client)
			if err != nil {
				t.Fatal(err)
			}
			defer gathered.Disperse()
			s.check(s.gateway, gatewayMemory)
			for _, length := range []int{2, ordinaryBody} {
				if err := s.upload(length); err != nil {
					t.Errorf("an ordinary request with a body of %d bytes: %v", length, err)
				}
			}
			s.check(s.gateway, gatewayMemory)
		})
	}
}

// TestCrowdsAtTheAgent guards against the same of an agent, at the port for operators.
func TestCrowdsAtTheAgent(t *testing.T) {
	const maxDeclaration = 8 << 20
	for name, c := range map[string]struct {
		size   int
		client crowd.Client
	}{
		"declarations that stop short":  {bodies, crowd.Sending(agentHead, maxDeclaration, 1, 1<<20)},
		"declarations in chunks":        {bodies, crowd.Chunking(agentHead, maxDeclaration, 64)},
		"heads of short fields":         {heads, crowd.Fields(agentHead, 120<<10)},
		"connections without a request": {connections, crowd.Silent()},
	} {
		t.Run(name, func(t *testing.T) {
			s := start(t, false)
			gathered, err := crowd.Gather(t.Context(), s.agent.address, c.size, c.client)
			if err != nil {
				t.Fatal(err)
			}
			defer gathered.Disperse()
			s.check(s.agent, agentMemory)
			if err := s.get(s.agent, "/metrics"); err != nil {
				t.Errorf("an ordinary request: %v", err)
			}
			s.check(s.agent, agentMemory)
		})
	}
}
