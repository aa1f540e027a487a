package cli

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/lilacweir/lilacweir/pkg/client"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// CallerFlags select the gateways to send through and the caller.
type CallerFlags struct {
	Gateway  []string      `short:"g" sep:"none" required:"" help:"Callers' address of a gateway; repeat for fallbacks."`
	KeyFile  string        `help:"File with the caller's key; otherwise LILACWEIR_CALLER_KEY holds it." type:"path"`
	Deadline time.Duration `help:"When the answer is no longer of use, from now; for example 20s."`
	AuthorityFlag
	Verbose bool `short:"v" help:"Print on standard error where the request was processed."`
}

// AskCommand sends a chat request.
type AskCommand struct {
	CallerFlags
	Model     string `short:"m" required:"" help:"Model."`
	MaxTokens int    `short:"n" default:"64" help:"Longest answer in tokens."`
	File      string `short:"f" help:"File to read more of the prompt from." type:"existingfile"`
	Prompt    string `arg:"" help:"The prompt."`
}

// Run implements the command.
func (c *AskCommand) Run(session *Session) error {
	messages := []client.Message{}
	if c.File != "" {
		data, err := os.ReadFile(c.File)
		if err != nil {
			return fmt.Errorf("ask: %w", err)
		}
		messages = append(messages, client.Message{Role: "system", Content: string(data)})
	}
	messages = append(messages, client.Message{Role: "user", Content: c.Prompt})
	chat := client.ChatRequest{Model: c.Model, MaxTokens: c.MaxTokens, Messages: messages}
	printText := func(text string) { _, _ = fmt.Fprint(session.Out, text) }
	return c.send(session, func(ctx context.Context, caller *client.Client, gateway string) *client.Answer {
		return caller.Chat(ctx, gateway, chat, client.Options{Deadline: c.Deadline}, printText)
	})
}

// CallCommand calls a plain service.
type CallCommand struct {
	CallerFlags
	Key    bool   `help:"Send under a new idempotency key, so that it runs at most once even if repeated."`
	Method string `arg:"" help:"HTTP method."`
	Path   string `arg:"" help:"Path, with the service's prefix."`
	Body   string `arg:"" optional:"" help:"Body; @FILE reads a file."`
}

// Run implements the command.
func (c *CallCommand) Run(session *Session) error {
	body, err := c.body()
	if err != nil {
		return err
	}
	return c.send(session, func(ctx context.Context, caller *client.Client, gateway string) *client.Answer {
		options := client.Options{Deadline: c.Deadline}
		if c.Key {
			list, err := caller.Instances(ctx, gateway)
			if err != nil {
				return &client.Answer{Outcome: outcome.NotRun, Err: err}
			}
			options.IdempotencyKey = list.NewKey()
		}
		answer := caller.Call(ctx, gateway, strings.ToUpper(c.Method), c.Path, body, options)
		if answer.Outcome == outcome.Complete {
			_, _ = session.Out.Write(answer.Body)
		}
		return answer
	})
}

func (c *CallCommand) body() ([]byte, error) {
	file, isFile := strings.CutPrefix(c.Body, "@")
	if !isFile {
		return []byte(c.Body), nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("call: %w", err)
	}
	return data, nil
}

// send tries the gateways in order until one can be reached.
func (f *CallerFlags) send(session *Session, request func(context.Context, *client.Client, string) *client.Answer) error {
	key, err := session.readKey(f.KeyFile, EnvCallerKey)
	if err != nil {
		return err
	}
	caller, err := f.caller(key)
	if err != nil {
		return err
	}
	var answer *client.Answer
	for _, gateway := range f.Gateway {
		answer = request(session.Context, caller, gateway)
		if answer.Status != 0 || answer.Outcome != outcome.NotRun {
			break
		}
	}
	f.report(session, answer)
	return nil
}

// report ends the answer's line and prints the outcome on standard error.
func (f *CallerFlags) report(session *Session, answer *client.Answer) {
	if answer.Outcome == outcome.Complete && answer.Chunks > 0 {
		_, _ = fmt.Fprintln(session.Out)
	}
	session.Code = exitCodeOf(answer.Outcome)
	if f.Verbose {
		_, _ = fmt.Fprintf(session.Err, "outcome=%s status=%d domain=%s upstream=%s request=%s chunks=%d\n",
			answer.Outcome, answer.Status, answer.Domain, answer.Upstream, answer.RequestID, answer.Chunks)
	}
	if answer.Outcome == outcome.Complete && answer.Status < http.StatusBadRequest {
		return
	}
	_, _ = fmt.Fprintf(session.Err, "%s: status %d %s %s", answer.Outcome, answer.Status, answer.Refusal.Type, answer.Refusal.Message)
	if wait := answer.Refusal.RetryAfter(); wait > 0 {
		_, _ = fmt.Fprintf(session.Err, " (come back in %s)", wait)
	}
	if answer.Err != nil {
		_, _ = fmt.Fprintf(session.Err, ": %v", answer.Err)
	}
	_, _ = fmt.Fprintln(session.Err)
}
