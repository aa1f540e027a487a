package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/lilacweir/lilacweir/pkg/header"
)

// Parameters of the bad-input verbs.
const (
	// nonsenseSeed fixes the random bytes.
	nonsenseSeed = 7
	nonsenseSize = 64 << 10
	// slowInterval is the interval between bytes on slow connections.
	slowInterval = 250 * time.Millisecond
	// sizePrefix begins an argument that is replaced by that many bytes.
	sizePrefix = "size:"
	// maxShownBody bounds the part of a body that is printed.
	maxShownBody = 400
)

// listeners returns an instance's listen addresses by their names in scripts.
func (d *deployment) listeners(instance string) map[string]string {
	found := d.instances[instance]
	if found == nil {
		return nil
	}
	return map[string]string{
		"callers": found.Gateway.Callers, "peers": found.Gateway.Peers, "control": found.Gateway.Control,
		"mesh": found.Agent.Mesh, "operators": found.Agent.Operators,
	}
}

// expandSize returns N bytes for size:N, and any other text unchanged.
func expandSize(text string) string {
	count, err := strconv.Atoi(strings.TrimPrefix(text, sizePrefix))
	if err != nil || !strings.HasPrefix(text, sizePrefix) {
		return text
	}
	return strings.Repeat("x", count)
}

// web sends an HTTP request: web INSTANCE LISTENER METHOD PATH BODY [HEADER=VALUE …].
// BODY is a file of the script, size:N, literal text, or - for none.
func web(d *deployment, args []string) (string, error) {
	const least = 5
	if len(args) < least || d.listeners(args[0])[args[1]] == "" {
		return "", errUsage
	}
	body := []byte(expandSize(args[4]))
	if data, err := os.ReadFile(d.file(args[4])); err == nil {
		body = data
	} else if args[4] == "-" {
		body = nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	url := "http://" + d.listeners(args[0])[args[1]] + args[3]
	request, err := http.NewRequestWithContext(ctx, args[2], url, bytes.NewReader(body))
	if err != nil {
		return "", fmt.Errorf("web: %w", err)
	}
	for _, field := range args[least:] {
		name, value, _ := strings.Cut(field, "=")
		request.Header.Set(name, expandSize(value))
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return "", fmt.Errorf("web: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	return describeResponse(response)
}

// describeResponse formats the status, typed error, verdict and body of a response.
func describeResponse(response *http.Response) (string, error) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return "", fmt.Errorf("web: %w", err)
	}
	var refusal struct {
		Error struct {
			Type    string `json:"type"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	kind := "none"
	if json.Unmarshal(body, &refusal) == nil {
		kind = refusal.Error.Type + "/" + refusal.Error.Outcome
	}
	return fmt.Sprintf("status=%d error=%s verdict=%s body=%s", response.StatusCode, kind,
		response.Header.Get(header.Verdict), body[:min(len(body), maxShownBody)]), nil
}

// nonsense sends malformed input to all listeners of an instance and counts the
// connections that the instance closed: nonsense INSTANCE.
func nonsense(d *deployment, args []string) (string, error) {
	if len(args) != 1 || d.instances[args[0]] == nil {
		return "", errUsage
	}
	random := make([]byte, nonsenseSize)
	source := rand.New(rand.NewPCG(nonsenseSeed, nonsenseSeed))
	for i := range random {
		random[i] = byte(source.Uint32())
	}
	payloads := [][]byte{
		random,
		nil,
		{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}, // a gob message of eight exabytes
		{0x16, 0x03, 0x01, 0x02, 0x00, 0x01, 0x00},                   // a truncated TLS handshake
		[]byte("POST /v1/command HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n"),
		[]byte("GET /\x00 HTTP/9.9\r\n\r\n\r\n"),
	}
	sent, ended := 0, 0
	for _, address := range d.listeners(args[0]) {
		for _, payload := range payloads {
			sent++
			if err := sendRaw(address, payload); err != nil {
				return "", fmt.Errorf("nonsense at %s: %w", address, err)
			}
			ended++
		}
	}
	return fmt.Sprintf("sent=%d ended=%d", sent, ended), nil
}

// sendRaw sends bytes and waits until the server closes the connection.
func sendRaw(address string, payload []byte) error {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return fmt.Errorf("throw: %w", err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := conn.Write(payload); err == nil {
		_ = conn.(*net.TCPConn).CloseWrite()
	}
	var timeout net.Error
	if _, err := io.Copy(io.Discard, conn); errors.As(err, &timeout) && timeout.Timeout() {
		return err
	}
	return nil
}

// slowSet is a set of connections that send one byte per slowInterval.
type slowSet struct{ open atomic.Int64 }

// slow opens a set of slow connections, or prints how many of an existing set are
// still open: slow NAME INSTANCE LISTENER COUNT FILE. FILE holds the bytes that each
// connection sends first.
func slow(d *deployment, args []string) (string, error) {
	if set := d.slow[args[0]]; set != nil {
		return fmt.Sprintf("open=%d", set.open.Load()), nil
	}
	const all = 5
	if len(args) != all || d.listeners(args[1])[args[2]] == "" {
		return "", errUsage
	}
	begin, err := os.ReadFile(d.file(args[4]))
	if err != nil {
		return "", fmt.Errorf("slow: %w", err)
	}
	begin = bytes.ReplaceAll(bytes.TrimSpace(begin), []byte("\n"), []byte("\r\n"))
	count, err := strconv.Atoi(args[3])
	if err != nil {
		return "", fmt.Errorf("%w: %w", errUsage, err)
	}
	set := new(slowSet)
	d.slow[args[0]] = set
	for range count {
		conn, err := net.Dial("tcp", d.listeners(args[1])[args[2]])
		if err != nil {
			return "", fmt.Errorf("slow: %w", err)
		}
		set.open.Add(1)
		go set.sendSlowly(conn, begin)
	}
	return fmt.Sprintf("open=%d", count), nil
}

// sendSlowly sends until the server closes the connection.
func (s *slowSet) sendSlowly(conn net.Conn, begin []byte) {
	defer s.open.Add(-1)
	defer func() { _ = conn.Close() }()
	ticker := time.NewTicker(slowInterval)
	defer ticker.Stop()
	for _, err := conn.Write(begin); err == nil; _, err = conn.Write([]byte("a")) {
		<-ticker.C
	}
}

// pids prints the running processes and their process IDs.
func pids(d *deployment, _ []string) (string, error) {
	var lines []string
	for name, p := range d.processes {
		if p.running() {
			lines = append(lines, fmt.Sprintf("%s=%d", name, p.command.Process.Pid))
		}
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n"), nil
}

// program runs a short-lived program in the script's directory and prints its exit
// code and output: program NAME ARGS. An argument @INSTANCE is replaced by the
// instance's address for callers.
func program(d *deployment, args []string) (string, error) {
	if len(args) == 0 {
		return "", errUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitTimeout)
	defer cancel()
	for i, arg := range args {
		if instance, ok := d.instances[strings.TrimPrefix(arg, "@")]; ok && arg[0] == '@' {
			args[i] = instance.Gateway.Callers
		}
	}
	command := exec.CommandContext(ctx, d.binary(args[0]), args[1:]...)
	command.Dir = d.directory
	command.Env = append(os.Environ(), "LILACWEIR_KEY="+d.operatorKey())
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return "", fmt.Errorf("program: %w", err)
	}
	return fmt.Sprintf("exit=%d\n%s", command.ProcessState.ExitCode(), output), nil
}
