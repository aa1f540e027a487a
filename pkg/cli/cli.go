package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/lilacweir/lilacweir/pkg/outcome"
	"github.com/lilacweir/lilacweir/pkg/settings"
)

// Exit codes of the program.
const (
	// ExitOK means answered, or accepted and in force on every instance.
	ExitOK = 0
	// ExitRefused means refused, or invalid input; nothing was changed or run.
	ExitRefused = 1
	// ExitUnknown means unknown, or accepted but not yet in force everywhere.
	ExitUnknown = 2
)

// Environment variables that hold keys.
const (
	// EnvOperatorKey holds the operator's key.
	EnvOperatorKey = "LILACWEIR_KEY"
	// EnvCallerKey holds the caller's key.
	EnvCallerKey = "LILACWEIR_CALLER_KEY"
)

// Session holds what the commands of one run of the program share.
type Session struct {
	// Context is cancelled by a signal.
	Context context.Context
	Out     io.Writer
	Err     io.Writer
	In      io.ReadCloser
	// Env reads an environment variable.
	Env func(string) string
	// Code becomes the program's exit code.
	Code int
}

// Program is the command line.
type Program struct {
	Check  CheckCommand  `cmd:"" help:"Check a settings file or a declaration without starting anything; shows every fault."`
	Apply  ApplyCommand  `cmd:"" help:"Show what a declaration would change, then change it."`
	Run    RunCommand    `cmd:"" help:"Send one line of the operators' language. Exit code: 0 done, 1 refused, 2 unknown or not yet everywhere."`
	Prompt PromptCommand `cmd:"" help:"Send lines from an interactive prompt with history."`
	Ask    AskCommand    `cmd:"" help:"Send a chat request as a caller, and print the answer as it arrives."`
	Wait   WaitCommand   `cmd:"" help:"Wait until gateways serve."`
	Call   CallCommand   `cmd:"" help:"Call a plain service as a caller."`

	Explain ExplainCommand `cmd:"" help:"Tell a request's way and why it ended so, from the logs of lilacweir-edge."`
}

// KeyError reports that no key was given.
type KeyError struct {
	// Variable is the environment variable that may hold it.
	Variable string
	// File is the file that was named; empty when none was.
	File string
	// Err is why the file could not be read.
	Err error
}

// Error implements error.
func (e *KeyError) Error() string {
	if e.File != "" {
		return fmt.Sprintf("key file %s: %v", e.File, e.Err)
	}
	return "no key: set " + e.Variable + " or name a key file"
}

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Err }

// readKey reads a key from a file, or else from the environment.
func (s *Session) readKey(file, variable string) (string, error) {
	if file == "" {
		if key := s.Env(variable); key != "" {
			return key, nil
		}
		return "", &KeyError{Variable: variable}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return "", &KeyError{Variable: variable, File: file, Err: err}
	}
	return strings.TrimSpace(string(data)), nil
}

// OperatorFlags select the agents to connect to and the operator.
type OperatorFlags struct {
	Settings string   `short:"c" help:"Client settings file (operator.yaml)." type:"path"`
	Server   []string `short:"s" sep:"none" help:"Operators' address of an agent; repeat for fallbacks."`
	Operator string   `short:"o" help:"Operator's name."`
	KeyFile  string   `help:"File with the operator's key; otherwise LILACWEIR_KEY holds it." type:"path"`
	AuthorityFlag
}

// MissingFlagError reports a value that neither a flag nor the settings file has.
type MissingFlagError struct {
	Flag string
}

// Error implements error.
func (e *MissingFlagError) Error() string {
	return "give " + e.Flag + " or a settings file that has it (--settings)"
}

// connect returns a Server, with flags that override the settings file.
func (f *OperatorFlags) connect(session *Session) (*Server, error) {
	merged := settings.Client{Servers: f.Server, Operator: f.Operator, KeyFile: f.KeyFile, Authority: f.Authority}
	if f.Settings != "" {
		file, err := loadClient(f.Settings)
		if err != nil {
			return nil, err
		}
		merged = overlay(*file, merged)
	}
	if len(merged.Servers) == 0 {
		return nil, &MissingFlagError{Flag: "--server"}
	}
	if merged.Operator == "" {
		return nil, &MissingFlagError{Flag: "--operator"}
	}
	key, err := session.readKey(merged.KeyFile, EnvOperatorKey)
	if err != nil {
		return nil, err
	}
	transport, scheme, err := AuthorityFlag{Authority: merged.Authority}.transport()
	if err != nil {
		return nil, err
	}
	return &Server{Addresses: merged.Servers, Operator: merged.Operator, Key: key, HTTP: transport, Scheme: scheme}, nil
}

func overlay(base, over settings.Client) settings.Client {
	if len(over.Servers) > 0 {
		base.Servers = over.Servers
	}
	if over.Operator != "" {
		base.Operator = over.Operator
	}
	if over.KeyFile != "" {
		base.KeyFile = over.KeyFile
	}
	if over.Authority != "" {
		base.Authority = over.Authority
	}
	return base
}

// show prints a reply and sets the exit code from its verdict.
func (s *Session) show(reply Reply) {
	if reply.Text != "" {
		_, _ = fmt.Fprintln(s.Out, reply.Text)
	}
	s.Code = exitCode(reply)
}

func exitCode(reply Reply) int {
	switch reply.Verdict {
	case VerdictOK:
		return ExitOK
	case VerdictRefused:
		return ExitRefused
	case VerdictAccepted:
		if reply.InForceEverywhere() {
			return ExitOK
		}
	}
	return ExitUnknown
}

func exitCodeOf(result outcome.Outcome) int {
	switch result {
	case outcome.Complete:
		return ExitOK
	case outcome.NotRun:
		return ExitRefused
	default:
		return ExitUnknown
	}
}
