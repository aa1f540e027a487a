package cli

import (
	"fmt"
	"io"
	"os"

	"github.com/lilacweir/lilacweir/pkg/explain"
)

// ExplainCommand explains the path of one request from the logs of instances.
type ExplainCommand struct {
	Request string   `arg:"" help:"The request's ID."`
	Logs    []string `arg:"" optional:"" help:"Logs of the instances, in any order; none or - for standard input."`
	Phone   bool     `help:"Lines of at most 40 characters."`
}

// standardInput is the name of standard input among files.
const standardInput = "-"

// Run implements the command. The error for a request without a log line is an
// *explain.UnknownRequestError.
func (c *ExplainCommand) Run(session *Session) error {
	logs := c.Logs
	if len(logs) == 0 {
		logs = []string{standardInput}
	}
	read := explain.NewLog(c.Request)
	for _, name := range logs {
		if err := addLog(read, name, session.In); err != nil {
			return err
		}
	}
	explanation, err := read.Reconstruct()
	if err != nil {
		return err
	}
	width := explain.Screen
	if c.Phone {
		width = explain.Phone
	}
	if _, err := io.WriteString(session.Out, explanation.Text(width)); err != nil {
		return fmt.Errorf("write the explanation: %w", err)
	}
	return nil
}

func addLog(log *explain.Log, name string, input io.Reader) error {
	if name == standardInput {
		return log.Add(input)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	if err := log.Add(file); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}
