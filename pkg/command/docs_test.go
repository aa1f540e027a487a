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

// TestOperatorsPage runs every line of the operators' page that begins with "> "
// against the wellness deployment's declaration, one after the other, and
// compares the lines that follow it with the reply. Comments set the scene.
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
		r := rigOf(t, decl)
		for _, step := range readSteps(string(page)) {
			r.scene(step.scene)
			got := r.executor.Execute(t.Context(), "eleni", step.line).Text
			if got != step.want {
				t.Errorf("> %s\ngot:\n%s\nwant:\n%s", step.line, got, step.want)
			}
		}
	})
}

// step is a line of the page with its reply, and what happened before it.
type step struct{ scene, line, want string }

func readSteps(page string) []step {
	var steps []step
	scene, inside := "", false
	for _, text := range strings.Split(page, "\n") {
		comment, isComment := strings.CutPrefix(text, "<!-- ")
		line, isLine := strings.CutPrefix(text, "> ")
		switch {
		case isComment:
			scene = strings.TrimSuffix(comment, " -->")
		case strings.HasPrefix(text, "```"):
			inside = false
		case isLine:
			steps = append(steps, step{scene: scene, line: line})
			scene, inside = "", true
		case inside:
			last := &steps[len(steps)-1]
			last.want = strings.TrimPrefix(last.want+"\n"+text, "\n")
		}
	}
	return steps
}

// scene brings about what a comment of the page says.
func (r *rig) scene(name string) {
	revision := r.board.Config.Load().Revision
	switch name {
	case "platform down":
		r.kv.SetDown(true)
		r.board.Platform.Store(platformSilent(40 * time.Second))
	case "answer lost":
		r.kv.SetDown(false)
		r.kv.FailWrites(platformtest.StopAfterWrite)
	case "platform up":
		r.kv.SetDown(false)
		r.spread(r.stored())
		r.board.Platform.Store(platformSilent(0))
	case "larisa silent":
		r.remote.down, r.cut = true, true
		r.domains(revision, 2, 40*time.Second)
		r.executor.Accepted = func(head *config.Head) {
			r.board.Config.Store(head)
			r.members(head.Revision)
			r.domains(head.Revision, 0, 40*time.Second)
		}
	case "":
		if !r.cut {
			r.members(revision) // everyone was heard just now
			r.domains(revision, 2, 0)
		}
	default:
		panic("no scene " + name)
	}
}
