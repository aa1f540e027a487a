package cli

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/chzyer/readline"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// RunCommand sends one line of the operators' language.
type RunCommand struct {
	OperatorFlags
	Line string `arg:"" help:"The line, for example 'st' or 'drain lilac-nurse-1'."`
}

// Run implements the command.
func (c *RunCommand) Run(session *Session) error {
	server, err := c.connect(session)
	if err != nil {
		return err
	}
	reply, err := server.Run(session.Context, c.Line)
	if err != nil {
		session.Code = ExitUnknown
		return outcomeUnknown(err)
	}
	session.show(reply)
	return nil
}

// ApplyCommand changes the declaration to that of a file.
type ApplyCommand struct {
	OperatorFlags
	DryRun bool   `help:"Only show the difference."`
	Force  bool   `help:"Accept a dangerous change, which the difference marks with an exclamation mark."`
	File   string `arg:"" help:"Declaration file."`
}

// Run implements the command.
func (c *ApplyCommand) Run(session *Session) error {
	data, err := yamlfile.ReadFile(c.File)
	if err != nil {
		return err
	}
	if _, err := config.Load(c.File, data); err != nil {
		return err
	}
	server, err := c.connect(session)
	if err != nil {
		return err
	}
	request := ApplyRequest{Declaration: data, File: c.File, Dry: true, Force: c.Force}
	difference, err := server.Apply(session.Context, request)
	if err != nil {
		session.Code = ExitUnknown
		return fmt.Errorf("difference: %w", err)
	}
	session.show(difference)
	if c.DryRun || difference.Verdict != VerdictOK {
		return nil
	}
	request.Dry = false
	request.Seen = difference.Revision
	reply, err := server.Apply(session.Context, request)
	if err != nil {
		session.Code = ExitUnknown
		return outcomeUnknown(err)
	}
	session.show(reply)
	return nil
}

// PromptCommand reads lines and sends each.
type PromptCommand struct {
	OperatorFlags
}

// Lines that end the prompt.
const (
	lineQuit = "quit"
	lineExit = "exit"
)

// Run implements the command. The history is kept for the session only.
func (c *PromptCommand) Run(session *Session) error {
	server, err := c.connect(session)
	if err != nil {
		return err
	}
	reader, err := readline.NewEx(&readline.Config{
		Prompt: server.Operator + "> ",
		Stdin:  session.In,
		Stdout: session.Out,
		Stderr: session.Err,
	})
	if err != nil {
		return fmt.Errorf("prompt: %w", err)
	}
	defer func() { _ = reader.Close() }()
	for {
		line, err := reader.Readline()
		if errors.Is(err, io.EOF) || errors.Is(err, readline.ErrInterrupt) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("prompt: %w", err)
		}
		line = strings.TrimSpace(line)
		if line == lineQuit || line == lineExit {
			return nil
		}
		session.answerLine(server, line)
	}
}

// answerLine sends one prompt line. The exit code is that of the last line.
func (s *Session) answerLine(server *Server, line string) {
	if line == "" {
		return
	}
	reply, err := server.Run(s.Context, line)
	if err != nil {
		s.Code = ExitUnknown
		_, _ = fmt.Fprintln(s.Err, outcomeUnknown(err))
		return
	}
	server.Seen = reply.Revision
	s.show(reply)
}

// outcomeUnknown marks the outcome as unknown, unless nothing was sent.
func outcomeUnknown(err error) error {
	if errors.Is(err, ErrNoServer) {
		return err
	}
	return fmt.Errorf("unknown: %w", err)
}
