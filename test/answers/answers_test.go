// Package answers has upstreams that send raw bytes, broken answers among them, meet the processes of one instance, a
// gateway and its agent, and checks the raw bytes that callers get.
package answers

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/lilacweir/lilacweir/internal/crowd"
	"github.com/lilacweir/lilacweir/internal/rawanswer"
	"github.com/lilacweir/lilacweir/pkg/clock"
	"github.com/lilacweir/lilacweir/pkg/engineapi"
	"github.com/lilacweir/lilacweir/pkg/header"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

const (
	startTimeout  = 30 * time.Second
	answerTimeout = 20 * time.Second
	// arrivalTime is the time that what an upstream has sent takes to arrive, before its connection ends.
	arrivalTime = 50 * time.Millisecond
	// network is the number N of the test's loopback net, 127.N.0.0/16. Other tests use nets from 20 on, and 16.
	network  = 17
	instance = "kal-1"
	// memory is the memory in bytes that the gateway declares for its callers.
	memory = 256 << 20
)

// routes are requests of each kind: a call that may be repeated, one that may not, one whose answer is longer than the
// gateway buffers, a stream and a chat answer.
var routes = map[string]string{
	"repeatable": "GET /sleeplog/exports/1 HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-residents-app\r\n",
	"once":       "POST /sleeplog/uploads HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-residents-app\r\n",
	"large":      "POST /sleeplog/uploads HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-residents-app\r\n",
	"stream":     chatHead,
	"chat":       chatHead,
}

const chatHead = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer key-clinic-review\r\n"

// bodies are the bodies of the requests. The gateway reads those of chats.
func bodyOf(kind string, length int) string {
	switch kind {
	case "repeatable":
		return ""
	case "once", "large":
		return strings.Repeat("u", length)
	default:
		return fmt.Sprintf(`{"model":"lilac-nurse","stream":%v,"messages":[{"role":"user","content":%q}]}`, kind == "stream", strings.Repeat("u", length))
	}
}

var build = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "lilacweir-answers")
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

// call is one request as an upstream receives it.
type call struct {
	*net.TCPConn
	*http.Request
	kind, id string
}

// system is a gateway and its agent, whose upstreams are the test's.
type system struct {
	*testing.T
	programs, dir, callers string
	gateway                *exec.Cmd
	mu                     sync.Mutex
	// script answers the calls, and runs counts them by kind.
	script func(c *call)
	runs   int
	asked  int
}

func start(t *testing.T) *system {
	t.Helper()
	return startWith(t, 0)
}

// startWith is start with a bound on the gateway's shutdown, zero for the default.
func startWith(t *testing.T, drain time.Duration) *system {
	t.Helper()
	programs, err := build()
	if err != nil {
		t.Fatal(err)
	}
	s := &system{T: t, programs: programs, dir: t.TempDir()}
	s.tool("lilacweir-standin", "plan", filepath.Join("..", "..", "deploy", "wellness", "topology.yaml"), "--net", fmt.Sprint(network), "--out", s.dir)
	s.replaceUpstreams()
	file := filepath.Join(s.dir, instance+".yaml")
	if drain > 0 {
		s.setDrain(file, drain)
	}
	node, err := settings.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	s.callers = node.Gateway.Callers
	s.run("lilacweir-standin", filepath.Join(s.dir, "standin.yaml"))
	s.gateway = s.run("lilacweir-gateway", file)
	s.run("lilacweir-agent", file)
	s.await(node.Agent.Operators, "/healthz")
	s.tool("lilacweir", "apply", "-c", filepath.Join(s.dir, "operator.yaml"), filepath.Join(s.dir, "declaration.yaml"))
	s.await(s.callers, "/readyz")
	for kind := range routes {
		s.awaitServed(kind)
	}
	return s
}

// setDrain adds a bound on the shutdown to a settings file.
func (s *system) setDrain(file string, drain time.Duration) {
	text, err := os.ReadFile(file)
	if err != nil {
		s.Fatal(err)
	}
	text = []byte(strings.Replace(string(text), "gateway:\n", fmt.Sprintf("gateway:\n  drain: %s\n", drain), 1))
	if err := os.WriteFile(file, text, 0o600); err != nil {
		s.Fatal(err)
	}
}

// localUpstream is the address of an upstream of the instance's failure domain in the declaration.
var localUpstream = regexp.MustCompile(fmt.Sprintf(`127\.%d\.101\.\d+:9000`, network))

// replaceUpstreams makes the domain's upstreams in the declaration those of the test.
func (s *system) replaceUpstreams() {
	file := filepath.Join(s.dir, "declaration.yaml")
	text, err := os.ReadFile(file)
	if err != nil {
		s.Fatal(err)
	}
	text = localUpstream.ReplaceAllFunc(text, func([]byte) []byte {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			s.Fatal(err)
		}
		s.Cleanup(func() { _ = listener.Close() })
		go s.serve(listener)
		return []byte(listener.Addr().String())
	})
	if err := os.WriteFile(file, text, 0o600); err != nil {
		s.Fatal(err)
	}
}

func (s *system) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go s.converse(conn.(*net.TCPConn))
	}
}

// receiveBuffer is the size in bytes of upstreams' receive buffers.
const receiveBuffer = 64 << 10

func (s *system) converse(conn *net.TCPConn) {
	defer conn.Close()
	_ = conn.SetReadBuffer(receiveBuffer)
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	c := &call{TCPConn: conn, Request: request, id: request.Header.Get(header.RequestID)}
	switch {
	case request.URL.Path == engineapi.PathChat, strings.HasPrefix(request.URL.Path, "/sleeplog/"):
		s.mu.Lock()
		script := s.script
		s.runs++
		s.mu.Unlock()
		c.kind = c.Header.Get("X-Test-Kind")
		script(c)
	case request.URL.Path == engineapi.PathOrders:
		c.answer("application/json", `{"version":"v1"}`)
	default:
		c.answer("application/json", `{"version":"v1","decode_rate":60,"prefill_rate":8000,"events":[]}`)
	}
}

// fields returns the fields of an answer that do not frame it, as lines.
func (c *call) fields(contentType string) string {
	return fmt.Sprintf("Content-Type: %s\r\nConnection: close\r\n%s: %s\r\n", contentType, header.RequestID, c.id)
}

func (c *call) answer(contentType, body string) {
	_, _ = io.Copy(io.Discard, c.Body)
	field, sent := rawanswer.WithLength.Encode(body, len(body))
	_, _ = io.WriteString(c.TCPConn, "HTTP/1.1 200 OK\r\n"+c.fields(contentType)+field+"\r\n"+sent)
}

// chunks is the number of chunks of a stream.
const chunks = 6

// whole returns content type and body of the answer to a call.
func (c *call) whole() (contentType, body string) {
	const text = "an answer as it should be"
	choice := func(of string) string { return fmt.Sprintf(`"choices":[{"index":0,%q:{"content":%q}}]`, of, text) }
	switch c.kind {
	case "stream":
		skipped, _ := strconv.Atoi(c.Header.Get(header.ResumeOffset))
		return "text/event-stream", strings.Repeat(fmt.Sprintf("data: {\"id\":%q,%s}\n\n", c.id, choice("delta")), chunks-skipped) + "data: [DONE]\n\n"
	case "chat":
		return "application/json", fmt.Sprintf("{\"id\":%q,%s}", c.id, choice("message"))
	case "large":
		return "text/plain", strings.Repeat(text+" for "+c.id+"\n", 6000)
	default:
		return "text/plain", strings.Repeat(text+" for "+c.id+"\n", 40)
	}
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

func (s *system) run(program, file string) *exec.Cmd {
	s.Helper()
	log := &strings.Builder{}
	command := exec.Command(filepath.Join(s.programs, program), "run", file)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		s.Fatal(err)
	}
	s.Cleanup(func() {
		const tail = 2000
		_ = command.Process.Kill()
		// How it ended is judged by what its callers got.
		_ = command.Wait()
		if s.Failed() {
			s.Logf("%s:\n%s", program, log.String()[max(0, log.Len()-tail):])
		}
	})
	return command
}

func (s *system) await(address, path string) {
	s.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); clock.Sleep(s.Context(), 50*time.Millisecond) {
		response, err := http.Get("http://" + address + path)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return
		}
	}
	s.Fatalf("%s%s did not answer", address, path)
}

// awaitServed waits until a kind of request is served.
func (s *system) awaitServed(kind string) {
	s.Helper()
	end := time.Now().Add(startTimeout)
	for got := s.ask(kind, 0, nil); !got.Succeeded(); got = s.ask(kind, 0, nil) {
		if time.Now().After(end) {
			s.Fatalf("%s is not served: %v", kind, got)
		}
		clock.Sleep(s.Context(), 100*time.Millisecond)
	}
}

// ask sends a request whose first run meets a script, and the others a server that answers whole. It fails the test if
// the answer is a success that is not the server's.
func (s *system) ask(kind string, length int, script func(c *call)) *rawanswer.Reply {
	s.Helper()
	var whole string
	s.mu.Lock()
	s.asked++
	s.runs = 0
	id := fmt.Sprintf("request-%d", s.asked)
	s.script = func(c *call) {
		s.mu.Lock()
		scripted := script != nil && s.runs == 1
		contentType, body := c.whole()
		if s.runs == 1 {
			whole = body
		}
		s.mu.Unlock()
		if scripted {
			script(c)
			return
		}
		c.answer(contentType, body)
	}
	s.mu.Unlock()
	body := bodyOf(kind, length)
	got := s.exchange(fmt.Sprintf("%s%s: %s\r\nX-Test-Kind: %s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", routes[kind], header.RequestID, id, kind, len(body)), body)
	s.mu.Lock()
	defer s.mu.Unlock()
	if got.Succeeded() && got.Body != whole && !(kind == "stream" && !isComplete(got.Body)) {
		s.Errorf("%s: a success with a body that is not the server's: %v", kind, got)
	}
	if s.runs > 1 && (kind == "once" || kind == "large") {
		s.Errorf("%s ran %d times", kind, s.runs)
	}
	return got
}

// TestLateRequestsAreAnsweredInAPlannedStop guards against requests that are taken before a gateway drains, and cut
// without an answer: their last byte comes late, or they run for longer than it may take to stop.
func TestLateRequestsAreAnsweredInAPlannedStop(t *testing.T) {
	const lateBy, work = 3 * time.Second, time.Second
	for name, drain := range map[string]time.Duration{"time for all": time.Minute, "less time than they take": 2 * time.Second} {
		t.Run(name, func(t *testing.T) {
			s := startWith(t, drain)
			s.script = func(c *call) {
				contentType, body := c.whole()
				clock.Sleep(t.Context(), work+lateBy)
				c.answer(contentType, body)
			}
			got := make(chan *rawanswer.Reply)
			for n, wait := range []time.Duration{0, lateBy} {
				go func() {
					head := fmt.Sprintf("%s%s: late-%d\r\nConnection: close\r\nContent-Length: 2\r\n\r\n", routes["once"], header.RequestID, n)
					got <- s.exchangeLate(head+"u", "u", wait)
				}()
			}
			clock.Sleep(t.Context(), arrivalTime)
			_ = s.gateway.Process.Signal(syscall.SIGTERM)
			for range 2 {
				if reply := <-got; !reply.Whole {
					t.Errorf("cut without an answer: %v", reply)
				} else {
					t.Logf("%.300v", reply)
				}
			}
		})
	}
}

// ran returns how often the last request ran.
func (s *system) ran() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs
}

// isComplete reports whether a stream has its end mark. Without it, it is told to be broken.
func isComplete(stream string) bool { return strings.HasSuffix(stream, "data: [DONE]\n\n") }

func (s *system) exchange(head, body string) *rawanswer.Reply { return s.exchangeLate(head, body, 0) }

// exchangeLate sends a request whose second part comes after a time.
func (s *system) exchangeLate(head, body string, wait time.Duration) *rawanswer.Reply {
	conn, err := net.DialTimeout("tcp", s.callers, answerTimeout)
	if err != nil {
		return &rawanswer.Reply{Err: err}
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return &rawanswer.Reply{Err: err}
	}
	var sending sync.WaitGroup
	defer sending.Wait()
	sending.Go(func() {
		if wait > 0 {
			_, _ = io.WriteString(conn, head)
			clock.Sleep(s.Context(), wait)
			head = ""
		}
		_, _ = io.WriteString(conn, head+body)
	})
	return rawanswer.Read(conn)
}

// TestAnswersThatAreNoneAreNotPassedOn guards against an answer whose head is none in the protocol: it is passed on
// with its status or lines, or with a body that is not the upstream's.
func TestAnswersThatAreNoneAreNotPassedOn(t *testing.T) {
	s := start(t)
	for name, bad := range rawanswer.BadHeads {
		for kind := range routes {
			got := s.ask(kind, 0, func(c *call) {
				contentType, body := c.whole()
				_, _ = io.WriteString(c.TCPConn, bad.Answer(c.fields(contentType), body))
				clock.Sleep(c.Context(), arrivalTime)
			})
			if strings.Contains(string(got.Raw), rawanswer.OddEnd) || got.Status < 200 || got.Status > 599 {
				t.Errorf("%s, %s: %v", name, kind, got)
			}
			if (kind == "once" || kind == "large") && got.Succeeded() {
				t.Errorf("%s, %s is a success: %v", name, kind, got)
			}
			s.awaitServed(kind)
		}
	}
}

// headPlaces are places in the head of an answer, as the text before which it is cut off.
var headPlaces = []string{"HTTP", "/1.1", " 200", "OK", "\r\nContent-Type", "-Type", "Connection", "close", "Content-Length", "Transfer-Encoding", "\r\n\r\n"}

// TestHeadsThatAreCutOffAreNoAnswers guards against an upstream that stops in the middle of its answer's head and closes,
// or resets, its connection: the caller gets a success with an empty or short body, framed as whole.
func TestHeadsThatAreCutOffAreNoAnswers(t *testing.T) {
	s := start(t)
	for _, place := range headPlaces {
		for _, reset := range []bool{false, true} {
			for _, f := range []rawanswer.Framing{rawanswer.WithLength, rawanswer.InChunks} {
				for kind := range routes {
					got := s.ask(kind, 0, func(c *call) {
						_, _ = io.Copy(io.Discard, c.Body)
						contentType, body := c.whole()
						field, _ := f.Encode(body, len(body))
						head, _, _ := strings.Cut("HTTP/1.1 200 OK\r\n"+c.fields(contentType)+field+"\r\n", place)
						_, _ = io.WriteString(c.TCPConn, strings.TrimSuffix(head, "\r\n\r\n"))
						clock.Sleep(c.Context(), headTime)
						if reset {
							_ = c.SetLinger(0)
						}
						_ = c.TCPConn.Close()
					})
					if got.Succeeded() && s.ran() == 1 {
						t.Errorf("before %q, %s, reset: %v, %s: %v", place, f, reset, kind, got)
					}
				}
			}
		}
		for kind := range routes {
			s.awaitServed(kind)
		}
	}
}

// headTime is the time that a part of a head takes to arrive, before its connection ends.
const headTime = 5 * time.Millisecond

// TestCutAnswersAreNotPassedOnAsComplete guards against a part of an answer that looks whole to its caller because its
// upstream reset the connection, with all of the request read or while an upload was still being written.
func TestCutAnswersAreNotPassedOnAsComplete(t *testing.T) {
	const upload = 6 << 20
	s := start(t)
	for _, f := range []rawanswer.Framing{rawanswer.WithLength, rawanswer.InChunks, rawanswer.Unframed} {
		for _, length := range []int{0, upload} {
			for kind := range routes {
				s.ask(kind, length, func(c *call) {
					_, _ = io.CopyN(io.Discard, c.Body, receiveBuffer)
					contentType, body := c.whole()
					cut := len(body) / 2
					if kind == "stream" {
						cut = strings.LastIndex(body, "data: {")
					}
					field, sent := f.Encode(body, cut)
					_, _ = io.WriteString(c.TCPConn, "HTTP/1.1 200 OK\r\n"+c.fields(contentType)+field+"\r\n"+sent)
					clock.Sleep(c.Context(), arrivalTime)
					_ = c.SetLinger(0)
					_ = c.TCPConn.Close()
				})
				s.awaitServed(kind)
			}
		}
	}
}

// TestAnswersWithoutTheirEndMarkAreNotPassedOnAsComplete guards against taking an answer in chunks for whole of which all
// data arrived, but not the whole mark of its end. Streams mark their end themselves.
func TestAnswersWithoutTheirEndMarkAreNotPassedOnAsComplete(t *testing.T) {
	s := start(t)
	for _, mark := range []string{"", "0", "0\r\n", "0\r\nA: b\r\n"} {
		for kind := range routes {
			got := s.ask(kind, 0, func(c *call) {
				_, _ = io.Copy(io.Discard, c.Body)
				contentType, body := c.whole()
				field, sent := rawanswer.InChunks.Encode(body, len(body))
				_, _ = io.WriteString(c.TCPConn, "HTTP/1.1 200 OK\r\n"+c.fields(contentType)+field+"\r\n"+strings.TrimSuffix(sent, rawanswer.LastChunk)+mark)
			})
			if kind != "stream" && got.Succeeded() && s.ran() == 1 {
				t.Errorf("%q, %s: %v", mark, kind, got)
			}
			s.awaitServed(kind)
		}
	}
}

// TestAnswersWithoutEndAreBounded guards against a gateway that holds all that an upstream sends in place of an answer.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	s := start(t)
	endless := strings.Repeat("x", 64<<10)
	for name, first := range map[string]string{
		"no head": "", "one field": "HTTP/1.1 200 OK\r\nX-Long: ", "a reason": "HTTP/1.1 200 ",
		"a refusal's body": "HTTP/1.1 503 Busy\r\n" + header.NotStarted + ": true\r\n\r\n", "an error's body": "HTTP/1.1 500 Error\r\n\r\n",
		"a chunk's extension": "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n5;", "a body": "HTTP/1.1 200 OK\r\n%s\r\n",
	} {
		for kind := range routes {
			var sent atomic.Int64
			got := s.ask(kind, 0, func(c *call) {
				contentType, _ := c.whole()
				text := strings.ReplaceAll(first, "%s", c.fields(contentType))
				for end := time.Now().Add(answerTimeout); time.Now().Before(end) && sent.Load() < memory; {
					n, err := io.WriteString(c.TCPConn, text)
					sent.Add(int64(n))
					if err != nil {
						return
					}
					text = endless
				}
			})
			if got.Succeeded() && s.ran() == 1 {
				t.Errorf("%s, %s: %v", name, kind, got)
			}
			s.checkMemory()
			s.awaitServed(kind)
			t.Logf("%s, %s: status %d after %d bytes", name, kind, got.Status, sent.Load())
		}
	}
}

func (s *system) checkMemory() {
	s.Helper()
	usage, err := crowd.UsageOf(s.gateway.Process.Pid)
	if err != nil {
		s.Fatalf("the gateway has ended: %v", err)
	}
	if usage.PeakMemory > memory {
		s.Errorf("the gateway took %d MB, allowed %d", usage.PeakMemory>>20, memory>>20)
	}
}
