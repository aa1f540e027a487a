// Package cli implements the operators' command line. It sends lines of the
// operators' language to an agent and shows the replies, applies declarations, and
// sends requests as a caller.
//
// A change is sent at most once, to one agent. Another agent is tried only before
// anything has been sent. After a lost answer the agents are queried for the
// decision, and if none answers, the change is reported as unknown.
package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"regexp"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/command"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/header"
)

// Paths of the operators' HTTP interface.
const (
	pathCommand = "/v1/command"
	pathApply   = "/v1/apply"
)

// Bounds of the calls to agents.
const (
	probeTimeout = time.Second
	callTimeout  = 30 * time.Second
	maxReply     = 1 << 20
)

// Verdict is the result of a line.
type Verdict string

// The verdicts, as agents return them.
const (
	VerdictOK       Verdict = "ok"
	VerdictAccepted Verdict = "accepted"
	VerdictRefused  Verdict = "refused"
	VerdictUnknown  Verdict = "unknown"
)

// ErrNoServer reports that no server answered, so that nothing was sent.
var ErrNoServer = errors.New("no server answered; nothing was sent")

// Reply is an agent's answer to an operator.
type Reply struct {
	Text    string
	Verdict Verdict
	// Revision is the one of a difference, or the agent's when it answered a line;
	// empty when the agent did not return one.
	Revision string
}

// inForce matches the number of instances that follow a change.
var inForce = regexp.MustCompile(`in force (\d+)/(\d+)`)

// InForceEverywhere reports whether the change is in force on every instance,
// according to the reply.
func (r Reply) InForceEverywhere() bool {
	counts := inForce.FindStringSubmatch(r.Text)
	return counts != nil && counts[1] == counts[2]
}

// Server is a client of the first agent that answers.
type Server struct {
	// Addresses are tried in order.
	Addresses []string
	Operator  string
	Key       string
	HTTP      *http.Client
	// Scheme is https or http.
	Scheme string
	// Seen is the revision of the last reply that the operator saw. Changes are
	// compared with those accepted since. Empty means the agent's present one.
	Seen string
}

// LostError reports that the answer to a change was lost and that no server
// returned the decision.
type LostError struct {
	// ID is the change's identity; empty when it is not known.
	ID string
	// Address is the server to which the change was sent.
	Address string
	Err     error
}

// Error implements error, and includes the command to ask again.
func (e *LostError) Error() string {
	if e.ID == "" {
		return fmt.Sprintf("%s gave no answer, ask `log` whether it took effect: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("%s gave no answer, ask later: why %s: %v", e.Address, e.ID, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// Run sends one line of the operators' language. When the answer to a change is
// lost, it queries the servers for the decision and returns that.
func (s *Server) Run(ctx context.Context, line string) (Reply, error) {
	address, err := s.firstReachable(ctx)
	if err != nil {
		return Reply{Verdict: VerdictUnknown}, err
	}
	query := url.Values{}
	parsed, err := command.Parse(line)
	if err == nil && parsed.Changes() {
		query.Set("id", s.newChangeID(ctx, address))
		query.Set("seen", s.Seen)
	}
	return s.send(ctx, address, pathCommand, query, []byte(line))
}

// ApplyRequest is a declaration to apply.
type ApplyRequest struct {
	Declaration []byte
	// File is the file's name.
	File string
	// Dry requests only the difference.
	Dry bool
	// Seen is the revision of the difference that was shown, or "".
	Seen string
	// Force accepts a dangerous change.
	Force bool
}

// Apply sends a declaration. It handles a lost answer like Run.
func (s *Server) Apply(ctx context.Context, request ApplyRequest) (Reply, error) {
	address, err := s.firstReachable(ctx)
	if err != nil {
		return Reply{Verdict: VerdictUnknown}, err
	}
	query := url.Values{"file": {request.File}}
	if request.Force {
		query.Set("force", "1")
	}
	if request.Dry {
		query.Set("dry", "1")
	} else {
		query.Set("seen", request.Seen)
		query.Set("id", s.newChangeID(ctx, address))
	}
	return s.send(ctx, address, pathApply, query, request.Declaration)
}

// newChangeID returns the identity for a change, or "" when the server does not
// return its revision. The server then generates one itself.
func (s *Server) newChangeID(ctx context.Context, address string) string {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var ready struct {
		Revision config.Revision `json:"revision"`
	}
	response, err := s.get(ctx, address, "/readyz")
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReply)).Decode(&ready); err != nil {
		return ""
	}
	id, err := config.NewID(ready.Revision, rand.Reader)
	if err != nil {
		return ""
	}
	return id
}

// send posts to one server. When the answer to a change with an identity is lost,
// it queries the servers for the decision.
func (s *Server) send(ctx context.Context, address, path string, query url.Values, body []byte) (Reply, error) {
	reply, err := s.post(ctx, address, path+"?"+query.Encode(), body)
	if err == nil {
		return reply, nil
	}
	lost := &LostError{ID: query.Get("id"), Address: address, Err: err}
	if lost.ID == "" {
		return Reply{Verdict: VerdictUnknown}, lost
	}
	for _, other := range s.Addresses {
		if s.probe(ctx, other) != nil {
			continue
		}
		reply, err := s.post(ctx, other, pathCommand, []byte("why "+lost.ID))
		if err == nil {
			return reply, nil
		}
	}
	return Reply{Verdict: VerdictUnknown}, lost
}

func (s *Server) post(ctx context.Context, address, path string, body []byte) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, s.Scheme+"://"+address+path, bytes.NewReader(body))
	if err != nil {
		return Reply{Verdict: VerdictUnknown}, fmt.Errorf("make request: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+s.Key)
	request.Header.Set(header.Operator, s.Operator)
	response, err := s.HTTP.Do(request)
	if err != nil {
		return Reply{Verdict: VerdictUnknown}, fmt.Errorf("post: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	return readReply(response)
}

func readReply(response *http.Response) (Reply, error) {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return Reply{Verdict: VerdictUnknown}, fmt.Errorf("read reply: %w", err)
	}
	verdict := Verdict(response.Header.Get(header.Verdict))
	if verdict == "" && response.StatusCode < http.StatusInternalServerError {
		verdict = VerdictRefused
	}
	if verdict == "" {
		verdict = VerdictUnknown
	}
	return Reply{
		Text:     strings.TrimRight(string(text), "\n"),
		Verdict:  verdict,
		Revision: response.Header.Get(header.Revision),
	}, nil
}

// firstReachable returns the first server that answers a probe.
func (s *Server) firstReachable(ctx context.Context) (string, error) {
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
	response, err := s.get(ctx, address, "/healthz")
	if err != nil {
		return err
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxReply))
	return response.Body.Close()
}

func (s *Server) get(ctx context.Context, address, path string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, s.Scheme+"://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("make request: %w", err)
	}
	response, err := s.HTTP.Do(request)
	if err != nil {
		return nil, fmt.Errorf("get: %w", err)
	}
	return response, nil
}
