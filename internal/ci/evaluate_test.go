package main

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
)

const passing = `{"Action":"run","Package":"m/p","Test":"TestA"}
{"Action":"pass","Package":"m/p","Test":"TestA"}
`

func TestEvaluate(t *testing.T) {
	const failingSub = `{"Action":"run","Package":"m/p","Test":"TestB"}
{"Action":"run","Package":"m/p","Test":"TestB/one"}
{"Action":"output","Package":"m/p","Test":"TestB/one","Output":"expected 1\n"}
{"Action":"fail","Package":"m/p","Test":"TestB/one"}
{"Action":"fail","Package":"m/p","Test":"TestB"}
{"Action":"fail","Package":"m/p"}
`
	cases := []struct {
		name, events, known string
		passed              bool
		want                string
	}{
		{"all pass", "", "", true, "GREEN: 1 passed, 0 failed\n"},
		{"failure", failingSub, "", false, "RED failed: p:TestB/one\nexpected 1"},
		{"known failure", failingSub, "p:TestB/one | a cause | issue 5", true, "passed over: p:TestB/one: a cause (issue 5)"},
		{"other failure beside a known one", failingSub, "p:TestA | a cause | issue 5", false, "RED failed: p:TestB/one"},
		{"known test passes", "", "p:TestA | a cause | issue 5", true, "but PASSED"},
		{"known test is gone", "", "p:TestX | a cause | issue 5", false, "did not run: p:TestX"},
		{"skipped", `{"Action":"skip","Package":"m/p","Test":"TestC"}`, "", false, "skipped: p:TestC"},
		{"unfinished", `{"Action":"run","Package":"m/p","Test":"TestC"}`, "", false, "did not finish"},
		{"build failure", `{"Action":"build-output","ImportPath":"m/q","Output":"syntax error\n"}{"Action":"fail","Package":"m/q"}`, "", false, "syntax error"},
		{"panic of a known test", failingSub + `{"Action":"output","Package":"m/p","Test":"TestB/one","Output":"panic: x\n"}`, "p:TestB/one | a cause | issue 5", false, "panic in p:TestB/one"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			known, err := parseKnown("KNOWN-RED.txt", test.known)
			is.NoErr(err)
			all, err := readEvents(strings.NewReader(passing+test.events), "m")
			is.NoErr(err)
			var out bytes.Buffer
			is.Equal(evaluate(all, known, 0).print(&out), test.passed)
			is.True(strings.Contains(out.String(), test.want)) // the report names the finding
		})
	}
}

func TestUnexplainedStatusFails(t *testing.T) {
	is := is.New(t)
	all, err := readEvents(strings.NewReader(passing), "m")
	is.NoErr(err)
	is.Equal(evaluate(all, nil, 2).print(&bytes.Buffer{}), false)
}

func TestKnownFailuresAreLimited(t *testing.T) {
	is := is.New(t)
	_, err := parseKnown("f", strings.Repeat("p:T | c | i\n", maxKnown+1))
	is.True(err != nil)
	_, err = parseKnown("f", "p:T cause\n")
	is.True(err != nil)
	_, err = parseKnown("f", "p:T | | issue 1\n")
	is.True(err != nil)
}
