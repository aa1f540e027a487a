// Package cli is the operators' command line: it sends lines of the operators'
// language to an agent and shows the replies, applies declarations, and sends
// requests as a caller.
//
// Guarantee: a change is sent to one agent once. Another agent is tried only
// while nothing has been sent; after that, silence is reported as unknown.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"time"
)

// Headers between operators and agents.
const (
	headerOperator = "X-Lilacweir-Operator"
	headerVerdict  = "X-Lilacweir-Verdict"
)

// Bounds of the calls to agents.
const (
	probeTimeout = time.Second
	callTimeout  = 30 * time.Second
	maxReply     = 1 << 20
)

// Verdict is what became of a line.
type Verdict string

// The verdicts, as agents give them.
const (
	VerdictOK       Verdict = "ok"
	VerdictAccepted Verdict = "accepted"
	VerdictRefused  Verdict = "refused"
	VerdictUnknown  Verdict = "unknown"
)

// ErrNoServer: none of the servers answered, so nothing was sent.
var ErrNoServer = errors.New("no server answered; nothing was sent")

// Reply is an agent's answer to an operator.
type Reply struct {
	Text    string
	Verdict Verdict
}

// inForce reads how many instances follow a change.
var inForce = regexp.MustCompile(`in force (\d+)/(\d+)`)

// InForceEverywhere tells whether the reply says that a change is in force on
// every instance.
func (r Reply) InForceEverywhere() bool {
	counts := inForce.FindStringSubmatch(r.Text)
	return counts != nil && counts[1] == counts[2]
}

// Server talks to the first agent that answers.
type Server struct {
	// Addresses are tried in order.
	Addresses []string
	Operator  string
	Key       string
	HTTP      *http.Client
}

// Run sends one line of the operators' language.
func (s *Server) Run(ctx context.Context, line string) (Reply, error) {
	return s.post(ctx, "/v1/command", "text/plain", []byte(line))
}

// Apply sends a declaration; dry asks only for the difference.
func (s *Server) Apply(ctx context.Context, declaration []byte, file string, dry bool) (Reply, error) {
	query := url.Values{"file": {file}}
	if dry {
		query.Set("dry", "1")
	}
	return s.post(ctx, "/v1/apply?"+query.Encode(), "application/yaml", declaration)
}

func (s *Server) post(ctx context.Context, path, contentType string, body []byte) (Reply, error) {
	address, err := s.answering(ctx)
	if err != nil {
		return Reply{Verdict: VerdictUnknown}, err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(string(body)))
	if err != nil {
		return Reply{Verdict: VerdictUnknown}, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Content-Type", contentType)
	request.Header.Set("Authorization", "Bearer "+s.Key)
	request.Header.Set(headerOperator, s.Operator)
	response, err := s.HTTP.Do(request)
	if err != nil {
		return Reply{Verdict: VerdictUnknown}, fmt.Errorf("%s gave no answer, ask `log` whether it took effect: %w", address, err)
	}
	defer func() { _ = response.Body.Close() }()
	return readReply(response)
}

func readReply(response *http.Response) (Reply, error) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return Reply{Verdict: VerdictUnknown}, fmt.Errorf("read reply: %w", err)
	}
	verdict := Verdict(response.Header.Get(headerVerdict))
	if verdict == "" && response.StatusCode < http.StatusInternalServerError {
		verdict = VerdictRefused
	}
	if verdict == "" {
		verdict = VerdictUnknown
	}
	return Reply{Text: strings.TrimRight(string(text), "\n"), Verdict: verdict}, nil
}

// answering returns the first server that answers a probe.
func (s *Server) answering(ctx context.Context) (string, error) {
	var failures []error
	for _, address := range s.Addresses {
		err := s.probe(ctx, address)
		if err == nil {
			return address, nil
		}
		failures = append(failures, err)
	}
	return "", fmt.Errorf("%w: %w", ErrNoServer, errors.Join(failures...))
}

func (s *Server) probe(ctx context.Context, address string) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/healthz", nil)
	if err != nil {
		return fmt.Errorf("make probe: %w", err)
	}
	response, err := s.HTTP.Do(request)
	if err != nil {
		return fmt.Errorf("probe: %w", err)
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReply))
	return response.Body.Close()
}
