package command_test

import (
	"errors"
	"testing"
	"unicode/utf8"

	"github.com/matryer/is"

	"github.com/lilacweir/lilacweir/pkg/command"
)

func TestParseErrors(t *testing.T) {
	tests := []struct {
		name, line, want string
	}{
		{"empty", "", "col 1: a word is missing\nnearest: help"},
		{"blank", "   ", "col 4: a word is missing\nnearest: help"},
		{"unknown word", "drian nurse-1", "col 1: no word drian\nnearest: drain"},
		{"nothing near", " xyzzy", "col 2: no word xyzzy"},
		{"ambiguous", "u nurse-1", "col 1: u may be up, undrain, undo"},
		{"missing argument", "dr", "col 3: more is expected\nuse: drain UPSTREAM"},
		{"too much", "who is there", "col 8: there does not belong here\nuse: who [CALLER]"},
		{"no percent", "spill a>b 20", "col 11: 20 does not belong here\nuse: spill FROM>TO N%"},
		{"no arrow", "sp a b 20%", "col 6: b does not belong here\nuse: spill FROM>TO N%"},
		{"double force", "drain a !!", "col 10: ! does not belong here\nuse: drain UPSTREAM"},
		{"lone percent", "st %", "col 4: % does not belong here\nuse: st [DOMAIN]"},
		{"not text", "st \xff", "col 1: not UTF-8 text"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := command.Parse(test.line)
			var syntax *command.SyntaxError
			is.True(errors.As(err, &syntax)) // typed
			is.Equal(syntax.Error(), test.want)
		})
	}
}

func TestParseAccepts(t *testing.T) {
	is := is.New(t)
	line, err := command.Parse("SP larisa>peri 20% !")
	is.NoErr(err)
	is.Equal(line.Spill.From.Text, "larisa")
	is.Equal(line.Spill.To.Text, "peri")
	is.Equal(line.Spill.Percent.Text, "20%")
	is.True(line.Force)
	line, err = command.Parse("drain nurse-1!")
	is.NoErr(err)
	is.Equal(line.Drain.Upstream.Text, "nurse-1")
	is.True(line.Force)
}

// FuzzParse checks that any line gives a command or a typed error with a column in
// the line or directly after it.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{"st", "drain nurse-1 !", "spill a>b 20%", "log 5 drain", "why c1-00000000", "ver m v 5%", "% > !", "\xff"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		line, err := command.Parse(text)
		if err == nil {
			if line == nil {
				t.Fatalf("%q: neither line nor error", text)
			}
			return
		}
		var syntax *command.SyntaxError
		if !errors.As(err, &syntax) {
			t.Fatalf("%q: untyped %T", text, err)
		}
		if syntax.Column < 1 || syntax.Column > utf8.RuneCountInString(text)+1 {
			t.Fatalf("%q: column %d", text, syntax.Column)
		}
	})
}
