package command

import (
	"fmt"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Columns and Rows are the largest size of a reply, that of a phone held upright.
const (
	Columns = 40
	Rows    = 12
)

// Verdict classifies a reply.
type Verdict string

// The verdicts of a reply.
const (
	// OK means that a query was answered.
	OK Verdict = "ok"
	// Accepted means that the change has a revision. The text has its rollout.
	Accepted Verdict = "accepted"
	// Refused means that nothing was changed, or the query was invalid.
	Refused Verdict = "refused"
	// Unknown means that the change may or may not have been accepted.
	Unknown Verdict = "unknown"
)

// Reply answers a line.
type Reply struct {
	Verdict Verdict
	// Text is at most Rows lines of at most Columns characters, without a newline
	// at the end.
	Text string
}

// reply formats lines. It wraps long ones, and replaces those after the last row by
// their number.
func reply(verdict Verdict, lines ...string) Reply {
	var rows []string
	for _, line := range lines {
		for _, part := range strings.Split(line, "\n") {
			rows = append(rows, wrap(part)...)
		}
	}
	if len(rows) > Rows {
		over := len(rows) - Rows + 1
		rows = append(rows[:Rows-1], fmt.Sprintf("... %d more", over))
	}
	return Reply{Verdict: verdict, Text: strings.Join(rows, "\n")}
}

// wrap breaks a line at spaces, and inside words that are too long.
func wrap(line string) []string {
	line = strings.Map(printable, line)
	var rows []string
	row := ""
	for _, word := range strings.Fields(line) {
		for utf8.RuneCountInString(word) > Columns {
			rows, row = flush(rows, row)
			runes := []rune(word)
			rows = append(rows, string(runes[:Columns]))
			word = string(runes[Columns:])
		}
		if row != "" && utf8.RuneCountInString(row)+1+utf8.RuneCountInString(word) > Columns {
			rows, row = flush(rows, row)
		}
		row = strings.TrimPrefix(row+" "+word, " ")
	}
	rows, _ = flush(rows, row)
	return rows
}

func flush(rows []string, row string) ([]string, string) {
	if row == "" {
		return rows, ""
	}
	return append(rows, row), ""
}

// printable replaces characters that a phone's screen might interpret.
func printable(r rune) rune {
	if unicode.IsPrint(r) || r == ' ' {
		return r
	}
	return '?'
}

// age formats a duration with one unit, like "40 s", "12 min" or "3 h".
func age(span time.Duration) string {
	switch {
	case span < 2*time.Minute:
		return fmt.Sprintf("%d s", max(0, int(span.Seconds())))
	case span < 2*time.Hour:
		return fmt.Sprintf("%d min", int(span.Minutes()))
	default:
		return fmt.Sprintf("%d h", int(span.Hours()))
	}
}

// instances formats a number of instances.
func instances(count int) string {
	if count == 1 {
		return "1 instance"
	}
	return fmt.Sprintf("%d instances", count)
}
