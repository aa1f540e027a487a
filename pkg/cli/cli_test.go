package cli

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/header"
)

// fakeAgent answers every line with the same reply, and records the lines.
type fakeAgent struct {
	*httptest.Server
	lines []string
	// seen holds the seen parameter of each line; revision is what the agent returns
	// as its own.
	seen     []string
	revision string
}

func newFakeAgent(t *testing.T, verdict, text string) *fakeAgent {
	fake := &fakeAgent{}
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/v1/command", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		fake.seen = append(fake.seen, r.URL.Query().Get("seen"))
		w.Header().Set(header.Revision, fake.revision)
		fake.lines = append(fake.lines, r.Header.Get(header.Operator)+" "+r.Header.Get("Authorization")+" "+string(body))
		w.Header().Set(header.Verdict, verdict)
		_, _ = io.WriteString(w, text)
	})
	fake.Server = httptest.NewServer(mux)
	t.Cleanup(fake.Close)
	return fake
}

func (f *fakeAgent) address() string { return strings.TrimPrefix(f.URL, "http://") }

func newSession(out *bytes.Buffer) *Session {
	return &Session{
		Context: context.Background(), Out: out, Err: io.Discard,
		Env: func(name string) string { return map[string]string{EnvOperatorKey: "key-eleni"}[name] },
	}
}

func TestRunExitCode(t *testing.T) {
	cases := []struct {
		verdict, text string
		want          int
	}{
		{"ok", "7 instances", ExitOK},
		{"accepted", "accepted as 118, in force 7/7", ExitOK},
		{"accepted", "118 in force 5/7, larisa-hall silent 40 s", ExitUnknown},
		{"refused", "no such upstream", ExitRefused},
		{"unknown", "unknown: ask why 12", ExitUnknown},
		{"", "", ExitRefused},
	}
	for _, test := range cases {
		t.Run(test.verdict+" "+test.text, func(t *testing.T) {
			is := is.New(t)
			agent := newFakeAgent(t, test.verdict, test.text)
			var out bytes.Buffer
			session := newSession(&out)
			command := RunCommand{Line: "st", OperatorFlags: OperatorFlags{Server: []string{agent.address()}, Operator: "eleni"}}
			is.NoErr(command.Run(session))
			is.Equal(session.Code, test.want)
			is.Equal(strings.TrimSpace(out.String()), test.text)
			is.Equal(agent.lines, []string{"eleni Bearer key-eleni st"})
		})
	}
}

func TestRunFallsBackOnlyBeforeSending(t *testing.T) {
	is := is.New(t)
	down, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(down.Close())
	good := newFakeAgent(t, "ok", "fine")
	lossy := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			panic(http.ErrAbortHandler) // takes the change, loses the answer
		}
	}))
	defer lossy.Close()

	var out bytes.Buffer
	session := newSession(&out)
	command := RunCommand{Line: "undo 118", OperatorFlags: OperatorFlags{Operator: "eleni"}}
	command.Server = []string{down.Addr().String(), good.address()}
	is.NoErr(command.Run(session))
	is.Equal(len(good.lines), 1) // the first did not answer, so the second was used

	command.Server = []string{strings.TrimPrefix(lossy.URL, "http://"), good.address()}
	is.True(command.Run(session) != nil)
	is.Equal(session.Code, ExitUnknown)
	is.Equal(len(good.lines), 1) // the change was not sent a second time
}

// After a lost answer the change is looked up by its ID, and never sent a second
// time.
func TestLostAnswerIsLookedUpByChangeID(t *testing.T) {
	is := is.New(t)
	lossy := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/healthz":
		case "/readyz":
			_, _ = io.WriteString(w, `{"state":"serving","revision":117}`)
		default:
			panic(http.ErrAbortHandler) // takes the change, loses the answer
		}
	}))
	defer lossy.Close()
	good := newFakeAgent(t, "accepted", "accepted as 118\n118 in force 7/7")
	var out bytes.Buffer
	session := newSession(&out)
	command := RunCommand{Line: "undo 117", OperatorFlags: OperatorFlags{Operator: "eleni"}}
	command.Server = []string{strings.TrimPrefix(lossy.URL, "http://"), good.address()}
	is.NoErr(command.Run(session))
	is.Equal(session.Code, ExitOK)
	is.Equal(len(good.lines), 1)
	is.True(strings.HasPrefix(good.lines[0], "eleni Bearer key-eleni why c117-"))

	command.Server = command.Server[:1]
	err := command.Run(session)
	var lost *LostError
	is.True(errors.As(err, &lost)) // no server could be queried
	is.True(strings.HasPrefix(lost.ID, "c117-"))
	is.Equal(session.Code, ExitUnknown)
}

// A change typed at the prompt is compared with the changes accepted since the last
// reply that the operator saw.
func TestPromptSendsTheRevisionLastSeen(t *testing.T) {
	is := is.New(t)
	agent := newFakeAgent(t, "ok", "fine")
	session := newSession(new(bytes.Buffer))
	server := &Server{Addresses: []string{agent.address()}, Operator: "eleni", Key: "key-eleni", HTTP: http.DefaultClient, Scheme: "http"}
	session.answerLine(server, "drain nurse-1")
	agent.revision = "117"
	session.answerLine(server, "st")
	agent.revision = "118" // a change that this operator has not seen
	session.answerLine(server, "drain nurse-1")
	session.answerLine(server, "drain nurse-1")
	is.Equal(agent.seen, []string{"", "", "117", "118"})
}

func TestSettingsFileAndFlags(t *testing.T) {
	is := is.New(t)
	agent := newFakeAgent(t, "ok", "fine")
	directory := t.TempDir()
	file := filepath.Join(directory, "operator.yaml")
	is.NoErr(os.WriteFile(file, []byte("servers: ["+agent.address()+"]\noperator: eleni\n"), 0o600))
	var out bytes.Buffer
	command := RunCommand{Line: "st", OperatorFlags: OperatorFlags{Settings: file}}
	is.NoErr(command.Run(newSession(&out)))
	is.Equal(len(agent.lines), 1)

	is.NoErr(os.WriteFile(file, []byte("servers: ["+agent.address()+"]\noperatr: eleni\n"), 0o600))
	is.True(command.Run(newSession(&out)) != nil) // an unknown key is refused
	is.Equal(len(agent.lines), 1)
}

func TestCheckNamesEveryFault(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "declaration.yaml")
	is.NoErr(os.WriteFile(file, []byte("regions: []\nmodel: 3\ncallers:\n  - name: UPPER\n"), 0o600))
	var out bytes.Buffer
	err := (&CheckCommand{File: file}).Run(newSession(&out))
	is.True(err != nil)
	for _, place := range []string{"regions", "model", "callers"} {
		is.True(strings.Contains(err.Error(), place)) // all faults at once
	}
	is.NoErr((&CheckCommand{File: "../../deploy/wellness/declaration.yaml"}).Run(newSession(&out)))
	is.NoErr((&CheckCommand{File: "../../deploy/wellness/kal-1.yaml"}).Run(newSession(&out)))
	is.NoErr((&CheckCommand{File: "../../deploy/wellness/operator.yaml"}).Run(newSession(&out)))
}
