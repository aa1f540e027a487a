package cli

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestPromptSendsEachLine(t *testing.T) {
	is := is.New(t)
	agent := newFakeAgent(t, "refused", "no such upstream")
	var out bytes.Buffer
	session := newSession(&out)
	session.In = io.NopCloser(strings.NewReader("st\n\ndrain x\nquit\nnever sent\n"))
	command := PromptCommand{OperatorFlags: OperatorFlags{Server: []string{agent.address()}, Operator: "eleni"}}
	is.NoErr(command.Run(session))
	is.Equal(agent.lines, []string{"eleni Bearer key-eleni st", "eleni Bearer key-eleni drain x"})
	is.Equal(strings.Count(out.String(), "no such upstream"), 2)
	is.Equal(session.Code, ExitRefused) // the code of the last line
}
