package command_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"unicode/utf8"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/lilacweir/lilacweir/pkg/command"
	"github.com/lilacweir/lilacweir/pkg/config"
	"github.com/lilacweir/lilacweir/pkg/platform/platformtest"
)

// exchange is a line and its expected reply.
type exchange struct {
	line    string
	verdict command.Verdict
	want    []string
}

func (e exchange) run(t *testing.T, h *harness) {
	t.Helper()
	is := is.New(t)
	reply := h.executor.Execute(t.Context(), "eleni", e.line)
	is.Equal(reply.Text, strings.Join(e.want, "\n"))
	is.Equal(reply.Verdict, e.verdict)
}

func TestQueryReplies(t *testing.T) {
	tests := []exchange{
		{"st", command.OK, []string{"117 in force 7/7", "lilac-nurse 8/48 busy, 3 wait", "sleeplog-api 0/8 busy, 0 wait"}},
		{"ST lar", command.OK, []string{"larisa-hall in thessalia", "2 instances, 0 silent", "117 in force 2/2", "lilac-nurse 2/16 busy, 1 wait"}},
		{"st kalamaria-hall", command.OK, []string{"kalamaria-hall in makedonia", "kal-1 live, has 117", "kal-2 live, has 117", "kal-3 live, has 117", "lilac-nurse 4/16 busy, 1 wait", "sleeplog-api 0/8 busy, 0 wait"}},
		{"st volos", command.Refused, []string{"col 4: no domain volos"}},
		{"up", command.OK, []string{"lilac-nurse 8/48 busy, 3 wait", "sleeplog-api 0/8 busy, 0 wait"}},
		{"up lilac", command.OK, []string{"lilac-nurse", "kalamaria-hall 2/2 up, 4/16, 1 wait", "larisa-hall 1/1 up, 2/16, 1 wait"}},
		{"up nurse-1", command.OK, []string{"nurse-1 at kalamaria-hall", "serves lilac-nurse v1", "live, told 2 s ago", "3/8 running, 1 queued", "version v1 loaded, 41 tokens/s"}},
		{"up nurse-3", command.OK, []string{"larisa-hall answers eleni: up nurse-3"}},
		{"up nurse", command.Refused, []string{"col 4: nurse may be nurse-1, nurse-2,", "nurse-3"}},
		{"who", command.OK, []string{"you: eleni at kal-1, kalamaria-hall", "clinic-review: thessalia", "residents-app: makedonia attiki"}},
		{"who res", command.OK, []string{"residents-app", "home makedonia", "regions makedonia attiki", "models lilac-nurse", "share 1"}},
		{"why kal-1-77", command.OK, []string{"1 instance gave no answer", "residents-app lilac-nurse", "at nurse-1, complete in 812 ms"}},
		{"why kal-1-78", command.OK, []string{"2 instances gave no answer", "nobody remembers kal-1-78"}},
		{"why 200", command.Refused, []string{"no 200, now 117"}},
		{"log", command.OK, []string{"no such change"}},
		{"drain nurs-1", command.Refused, []string{"col 7: no upstream nurs-1", "nearest: nurse-1"}},
		{"spill lar>att 200%", command.Refused, []string{"col 15: 200% is not 0% to 100%"}},
		{"help", command.OK, []string{
			"st [DOMAIN]: state", "up [POOL|UPSTREAM]: upstreams", "who [CALLER]: callers",
			"log [N] [WORD]: last changes", "why REQUEST|CHANGE|REV: what became", "drain UPSTREAM: no new work",
			"undrain UPSTREAM: back to work", "spill FROM>TO N%: send away", "permit CALLER REGION: allow",
			"forbid CALLER REGION: disallow", "ver MODEL VERSION N%: split", "undo REV: take back"}},
	}
	for _, test := range tests {
		t.Run(test.line, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { test.run(t, newHarness(t)) })
		})
	}
}

func TestChangeReplies(t *testing.T) {
	tests := []struct {
		name      string
		exchanges []exchange
	}{
		{"drain and back", []exchange{
			{"dr nurse-1", command.Accepted, []string{"118 in force 7/7"}},
			{"dr nurse-1", command.Refused, []string{"refused, nothing changed", "nothing to do: nurse-1 is drained"}},
			{"up lilac", command.OK, []string{"lilac-nurse", "kalamaria-hall 1/2 up, 1/8, 0 wait", "larisa-hall 1/1 up, 2/16, 1 wait"}},
			{"undrain nurse-1", command.Accepted, []string{"119 in force 7/7"}},
			{"log 5", command.OK, []string{"119 eleni undrain nurse-1", "118 eleni drain nurse-1"}},
			{"log undrain", command.OK, []string{"119 eleni undrain nurse-1"}},
			{"log 1 drain", command.OK, []string{"119 eleni undrain nurse-1"}},
		}},
		{"last upstream", []exchange{
			{"drain nurse-3", command.Refused, []string{"refused, nothing changed", "it leaves larisa-hall no lilac-nurse", "to do it:", "drain nurse-3 !"}},
			{"drain nurse-3 !", command.Accepted, []string{"118 in force 7/7", "it leaves larisa-hall no lilac-nurse"}},
			{"undo 118", command.Accepted, []string{"119 in force 7/7"}},
			{"undo 119", command.Refused, []string{"refused, nothing changed", "it leaves larisa-hall no lilac-nurse", "to do it:", "undo 119 !"}},
			{"undo 118", command.Refused, []string{"refused, nothing changed", "in the way: 119 by eleni", "undo 118"}},
		}},
		{"regions of a caller", []exchange{
			{"permit clinic mak", command.Accepted, []string{"118 in force 7/7"}},
			{"forbid clinic thes", command.Refused, []string{"refused, nothing changed", "thessalia is the home of clinic-review", "apply a file with another home first"}},
			{"forbid clinic mak", command.Accepted, []string{"119 in force 7/7"}},
			{"forbid clinic mak", command.Refused, []string{"refused, nothing changed", "nothing to do: it is so"}},
			{"forbid clinic thes", command.Refused, []string{"refused, nothing changed", "it leaves clinic-review no region", "to do it:", "forbid clinic-review thessalia !"}},
			{"forbid clinic thes!", command.Accepted, []string{"120 in force 7/7", "it leaves clinic-review no region"}},
			{"who clinic", command.OK, []string{"clinic-review", "home thessalia", "regions nowhere", "models all", "share 1"}},
			{"permit clinic mak", command.Refused, []string{"refused, nothing changed", "the result would be invalid:", `callers[0].home: got "thessalia",`, "expected one of the caller's regions"}},
			{"permit clinic thes", command.Accepted, []string{"121 in force 7/7"}},
		}},
		{"spill and versions", []exchange{
			{"spill larisa>peristeri 20%", command.Accepted, []string{"118 in force 7/7"}},
			{"sp thessalia>attiki 20%", command.Refused, []string{"refused, nothing changed", "nothing to do: it is so"}},
			{"sp larisa>larisa-hall 20%", command.Refused, []string{"refused, nothing changed", "the result would be invalid:", `spill[1].to: got "thessalia", expected`, "another value than from"}},
			{"ver lilac v2 10%", command.Refused, []string{"refused, nothing changed", "it leaves lilac-nurse v2 no upstream", "to do it:", "ver lilac-nurse v2 10% !"}},
			{"why 118", command.OK, []string{"118 01-01 00:00 by eleni", "spill thessalia>attiki 20%", "seen 117, c117-0s3ge1o7"}},
			{"why c117-0s3ge1o7", command.Accepted, []string{"accepted as 118", "118 in force 7/7"}},
			{"why c117-00000000", command.Refused, []string{"not accepted, and never will be"}},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t)
				for _, exchange := range test.exchanges {
					exchange.run(t, h)
				}
			})
		})
	}
}

// Another operator's change was accepted through another instance, and this one
// has not received it yet.
func TestUnseenChangeConflicts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		op := config.Op{Drain: &config.DrainOp{Upstream: "nurse-1", Drained: true}}
		is.Equal(h.store.Change(t.Context(), config.Proposal{
			ID: "c117-00000001", Operator: "linh", Line: op.String(), Seen: 117, Build: config.Fixed([]config.Op{op}),
		}).State, config.Accepted)
		exchange{"undrain nurse-1", command.Refused, []string{"refused, nothing changed", "in the way: 118 by linh", "drain nurse-1"}}.run(t, h)
		exchange{"drain nurse-2", command.Refused, []string{"refused, nothing changed", "in the way: 118 by linh", "drain nurse-1", "together it leaves kalamaria-hall no", "lilac-nurse", "to do it:", "drain nurse-2 !"}}.run(t, h)
		exchange{"spill lar>att 5%", command.Accepted, []string{"119 in force 7/7"}}.run(t, h)
	})
}

func TestInForceReplyNamesWhatIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		h.executor.Accepted = func(head *config.Head) {
			h.board.Config.Store(head)
			h.members(head.Revision)
			h.domains(head.Revision, 0, 40*time.Second)
		}
		start := time.Now()
		exchange{"drain nurse-1", command.Accepted, []string{"118 in force 5/7", "larisa-hall silent 43 s"}}.run(t, h)
		is.Equal(time.Since(start), command.InForceBound) // waited for no longer than the bound

		h.domains(118, 1, 0)
		exchange{"st", command.OK, []string{"118 in force 6/7", "larisa-hall 1/2", "lilac-nurse 5/40 busy, 2 wait", "sleeplog-api 0/8 busy, 0 wait"}}.run(t, h)
		go func() {
			time.Sleep(time.Second) // synctest's clock
			h.domains(119, 2, 0)
		}()
		start = time.Now()
		exchange{"undrain nurse-1", command.Accepted, []string{"119 in force 7/7"}}.run(t, h)
		is.Equal(time.Since(start), time.Second) // replied as soon as all had reported
	})
}

func TestPlatformDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.remote.down = true
		h.kv.SetDown(true)
		exchange{"drain nurse-1", command.Refused, []string{"refused, nothing changed", "the platform gives no answer"}}.run(t, h)
		exchange{"log", command.Refused, []string{"the platform gives no answer", "log needs it; st does not"}}.run(t, h)
		exchange{"up nurse-3", command.OK, []string{"nurse-3 at larisa-hall", "serves lilac-nurse v1", "larisa-hall gives no answer now"}}.run(t, h)

		h.kv.SetDown(false)
		h.kv.FailWrites(platformtest.StopAfterWrite)
		exchange{"drain nurse-1", command.Unknown, []string{"unknown: the platform gave no answer", "ask later:", "why c117-1040g208"}}.run(t, h)
		exchange{"why c117-1040g208", command.Unknown, []string{"still unknown, ask again:", "why c117-1040g208"}}.run(t, h)
		h.kv.SetDown(false)
		h.domains(117, 2, 0)
		exchange{"why c117-1040g208", command.Accepted, []string{"accepted as 118", "118 in force 0/7", "kal-1 has 117", "kal-2 has 117", "kal-3 has 117", "larisa-hall 0/2", "peristeri-hall 0/2"}}.run(t, h)
	})
}

// A domain without a report has at least one instance, so the count must not look
// complete.
func TestDomainWithoutReportIsMissing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.board.Domains.Store(nil)
		exchange{"st", command.OK, []string{"117 in force 3/5", "larisa-hall not heard yet", "peristeri-hall not heard yet", "lilac-nurse 4/16 busy, 1 wait", "sleeplog-api 0/8 busy, 0 wait"}}.run(t, h)
	})
}

// The notes on many missing domains leave rows for the pools.
func TestManyMissingDomains(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		decl := declaration()
		for i := range 30 {
			decl.Regions[1].Domains = append(decl.Regions[1].Domains, fmt.Sprintf("makedonia-%02d", i))
		}
		h.board.Config.Store(&config.Head{Revision: 117, Declaration: decl})
		exchange{"st", command.OK, []string{"117 in force 7/37", "makedonia-00 not heard yet", "makedonia-01 not heard yet", "makedonia-02 not heard yet", "makedonia-03 not heard yet", "makedonia-04 not heard yet", "and 25 more", "lilac-nurse 8/48 busy, 3 wait", "sleeplog-api 0/8 busy, 0 wait"}}.run(t, h)
	})
}

func TestForwardedLinesAreNotForwardedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t)
		forwarded := command.Request{Operator: "eleni", Line: "up nurse-3", Forwarded: true}
		is.Equal(h.executor.ExecuteRequest(t.Context(), forwarded).Text, "nurse-3 at larisa-hall\nserves lilac-nurse v1\nbut its domain passed this on")
		forwarded.Line = "drain nurse-1"
		is.Equal(h.executor.ExecuteRequest(t.Context(), forwarded).Verdict, command.Refused)
		is.Equal(h.board.Config.Load().Revision, config.Revision(117))
	})
}

func TestNoConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t)
		h.board.Config.Store(&config.Head{})
		exchange{"st", command.Refused, []string{"no configuration here", "first: lilacweir apply FILE"}}.run(t, h)
	})
}

// A reply fits the screen for any input and any names.
func TestRepliesFitTheScreen(t *testing.T) {
	h := newHarness(t)
	decl := declaration()
	for i := range decl.Callers {
		decl.Callers[i].Name = strings.Repeat("c", 39) + string(rune('a'+i))
	}
	h.board.Config.Store(&config.Head{Revision: 117, Declaration: decl})
	words := rapid.SampledFrom([]string{"st", "up", "who", "log", "why", "help", "drain", "undrain", "spill", "permit", "forbid", "ver", "undo", "nurse-1", "c", "larisa", "thessalia", "20%", ">", "!", "v2", "118", "kal-1-77", strings.Repeat("x", 90)})
	rapid.Check(t, func(rt *rapid.T) {
		line := strings.Join(rapid.SliceOfN(words, 0, 5).Draw(rt, "words"), " ")
		if rapid.Bool().Draw(rt, "free") {
			line += rapid.String().Draw(rt, "text")
		}
		text := h.executor.Execute(t.Context(), "eleni", line).Text
		rows := strings.Split(text, "\n")
		if text == "" || len(rows) > command.Rows {
			rt.Fatalf("%q: %d rows", line, len(rows))
		}
		for _, row := range rows {
			if utf8.RuneCountInString(row) > command.Columns {
				rt.Fatalf("%q: %q is too wide", line, row)
			}
		}
	})
}
