package command_test

import (
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"go.yaml.in/yaml/v3"

	"github.com/lilacweir/lilacweir/pkg/command"
	"github.com/lilacweir/lilacweir/pkg/config"
)

// file returns the declaration as YAML, after an edit.
func file(t *testing.T, edit func(*config.Declaration)) []byte {
	t.Helper()
	decl := declaration()
	edit(decl)
	data, err := yaml.Marshal(decl)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func TestApplyShowsThenChangesOnlyTheDifference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		request := command.ApplyRequest{Operator: "eleni", File: "deploy/d.yaml", DryRun: true, Data: file(t, func(d *config.Declaration) {
			d.Upstreams[1].Concurrency = 16
			d.Callers[1].Share = 2
			d.Policy.CostWeight = 0.5
		})}
		shown := h.executor.Apply(t.Context(), request)
		is.Equal(shown.Text, "difference to 117:\n~ upstream nurse-1 concurrency: 8 -> 16\n~ caller residents-app share: none -> 2\n~ policy cost_weight: 0 -> 0.5")
		is.Equal(shown.Revision, config.Revision(117))

		// Another operator drains nurse-2 before the file is applied, and the file
		// must not revert that.
		exchange{"drain nurse-2", command.Accepted, []string{"118 in force 7/7"}}.run(t, h)
		request.DryRun, request.Seen = false, shown.Revision
		is.Equal(h.executor.Apply(t.Context(), request).Text, "119 in force 7/7")
		now := h.board.Config.Load().Declaration
		is.True(now.Upstreams[2].Drained)
		is.Equal(now.Upstreams[1].Concurrency, 16)
		exchange{"log 1", command.OK, []string{"119 eleni apply d.yaml"}}.run(t, h)

		// The same file again, seen at 117, conflicts with its first apply.
		repeated := h.executor.Apply(t.Context(), request)
		is.Equal(repeated.Text, "refused, nothing changed\nin the way: 119 by eleni\napply d.yaml")

		request.Seen = 0
		request.DryRun = true
		again := h.executor.Apply(t.Context(), request)
		is.Equal(again.Text, "difference to 119:\n~ upstream nurse-2 drained: true -> none")
	})
}

func TestApplyRefusesDangerAndFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		request := command.ApplyRequest{Operator: "eleni", File: "d.yaml", DryRun: true, Data: file(t, func(d *config.Declaration) {
			d.Upstreams = d.Upstreams[:3]
		})}
		is.Equal(h.executor.Apply(t.Context(), request).Text, "difference to 117:\n- upstream nurse-3\n! leaves larisa-hall no lilac-nurse")
		request.DryRun = false
		is.Equal(h.executor.Apply(t.Context(), request).Verdict, command.Refused)
		request.Force = true
		is.Equal(h.executor.Apply(t.Context(), request).Text, "118 in force 7/7\nit leaves larisa-hall no lilac-nurse")

		request.Data = []byte("regions: 5\n")
		faults := h.executor.Apply(t.Context(), request)
		is.Equal(faults.Verdict, command.Refused)
		is.Equal(faults.Text, "d.yaml:1: regions: got \"5\", expected a list\nd.yaml:1: operators: missing, expected at least one operator")
	})
}

func TestFirstApplyAuthenticatesByTheFile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.kv.Remove(config.HeadKey)
		h.board.Config.Store(nil)
		data := file(t, func(*config.Declaration) {})
		is.True(h.executor.VerifyKey("eleni", "key-eleni", data))
		is.True(!h.executor.VerifyKey("eleni", "key-linh", data))
		is.True(!h.executor.VerifyKey("linh", "key-linh", data))
		first := h.executor.Apply(t.Context(), command.ApplyRequest{Operator: "eleni", File: "d.yaml", Data: data})
		is.Equal(first.Text, "1 in force 7/7")
		is.True(!h.executor.VerifyKey("eleni", "key-linh", data)) // now checked against the configuration

		// A second first apply, by an operator who also saw no configuration.
		late := h.executor.Apply(t.Context(), command.ApplyRequest{Operator: "eleni", File: "e.yaml", First: true, Data: file(t, func(d *config.Declaration) {
			d.Policy.CostWeight = 1
		})})
		is.Equal(late.Text, "0 is too old to compare, now 1")
		exchange{"undo 1", command.Refused, []string{"1 is the first and cannot be undone"}}.run(t, h)
	})
}
