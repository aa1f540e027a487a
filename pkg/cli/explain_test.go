package cli

import (
	"bytes"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/explain"
)

const (
	routedLine = "time=2026-03-01T10:00:01.000Z level=info event=request-routed instance=a request=r-1 send=1 target=u-1 domain=north-a usable=2\n"
	failedLine = `time=2026-03-01T10:00:02.000Z level=warn event=request-failed instance=a request=r-1 outcome=not-run reason=overloaded sends=1 status=503 detail="the retry budget is used up"` + "\n"
)

// Logs from a file and from standard input are combined.
func TestExplainReadsFilesAndStandardInput(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "a.log")
	is.NoErr(os.WriteFile(file, []byte(failedLine), 0o600))
	var out bytes.Buffer
	session := newSession(&out)
	session.In = io.NopCloser(strings.NewReader(routedLine))
	is.NoErr((&ExplainCommand{Request: "r-1", Logs: []string{file, "-"}, Phone: true}).Run(session))
	is.True(strings.Contains(out.String(), "send 1 to u-1"))
	is.True(strings.Contains(out.String(), "- the retry budget is used up\n"))
	for _, line := range strings.Split(out.String(), "\n") {
		is.True(len([]rune(line)) <= explain.Phone)
	}
}

func TestExplainReportsUnknownRequestAndMissingLog(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	session := newSession(&out)
	session.In = io.NopCloser(strings.NewReader(routedLine))
	var unknown *explain.UnknownRequestError
	is.True(errors.As((&ExplainCommand{Request: "r-2"}).Run(session), &unknown))
	is.Equal(unknown.Read, 1)
	var missing *os.PathError
	is.True(errors.As((&ExplainCommand{Request: "r-1", Logs: []string{"no-such.log"}}).Run(session), &missing))
}
