package command_test

import (
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

const operatorsPage = "../../docs/OPERATORS.md"

// TestOperatorsPage executes every line of the operators' page that begins with
// "> " in order, with the wellness deployment's declaration, and compares the
// reply with the lines that follow. Comments of the page name the setup.
func TestOperatorsPage(t *testing.T) {
	page, err := os.ReadFile(operatorsPage)
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile("../../deploy/wellness/declaration.yaml")
	if err != nil {
		t.Fatal(err)
	}
	decl, err := config.Load("declaration.yaml", data)
	if err != nil {
		t.Fatal(err)
	}
	synctest.Test(t, func(t *testing.T) {
		h := newHarnessWith(t, decl)
		for _, step := range readSteps(string(page)) {
			h.setup(step.setup)
			got := h.executor.Execute(t.Context(), "eleni", step.line).Text
			if got != step.want {
				t.Errorf("> %s\ngot:\n%s\nwant:\n%s", step.line, got, step.want)
			}
		}
	})
}

// step is a line of the page with its reply and the setup before it.
type step struct{ setup, line, want string }

func readSteps(page string) []step {
	var steps []step
	setup, inside := "", false
	for _, text := range strings.Split(page, "\n") {
		comment, isComment := strings.CutPrefix(text, "<!-- ")
		line, isLine := strings.CutPrefix(text, "> ")
		switch {
		case isComment:
			setup = strings.TrimSuffix(comment, " -->")
		case strings.HasPrefix(text, "```"):
			inside = false
		case isLine:
			steps = append(steps, step{setup: setup, line: line})
			setup, inside = "", true
		case inside:
			last := &steps[len(steps)-1]
			last.want = strings.TrimPrefix(last.want+"\n"+text, "\n")
		}
	}
	return steps
}

// setup establishes the conditions that a comment of the page names.
func (h *harness) setup(name string) {
	revision := h.board.Config.Load().Revision
	switch name {
	case "platform down":
		h.kv.SetDown(true)
		h.board.Platform.Store(platformSilent(40 * time.Second))
	case "answer lost":
		h.kv.SetDown(false)
		h.kv.FailWrites(platformtest.StopAfterWrite)
	case "platform up":
		h.kv.SetDown(false)
		h.publish(h.stored())
		h.board.Platform.Store(platformSilent(0))
	case "larisa silent":
		h.remote.down, h.partitioned = true, true
		h.domains(revision, 2, 40*time.Second)
		h.executor.Accepted = func(head *config.Head) {
			h.board.Config.Store(head)
			h.members(head.Revision)
			h.domains(head.Revision, 0, 40*time.Second)
		}
	case "":
		if !h.partitioned {
			h.members(revision) // all instances reported just now
			h.domains(revision, 2, 0)
		}
	default:
		panic("no setup " + name)
	}
}
