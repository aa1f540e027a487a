package command

import (
	"errors"
	"fmt"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"github.com/lilacweir/lilacweir/pkg/yamlfile"
)

// MaxLine is the length limit of a line, in bytes.
const MaxLine = 256

// usage lists the words in the order of the help screen, with their arguments.
var usage = []struct{ word, arguments, purpose string }{
	{"st", "[DOMAIN]", "state"},
	{"up", "[POOL|UPSTREAM]", "upstreams"},
	{"who", "[CALLER]", "callers"},
	{"log", "[N] [WORD]", "last changes"},
	{"why", "REQUEST|CHANGE|REV", "what became"},
	{"drain", "UPSTREAM", "no new work"},
	{"undrain", "UPSTREAM", "back to work"},
	{"spill", "FROM>TO N%", "send away"},
	{"permit", "CALLER REGION", "allow"},
	{"forbid", "CALLER REGION", "disallow"},
	{"ver", "MODEL VERSION N%", "split"},
	{"undo", "REV", "take back"},
	{"help", "", ""},
}

// SyntaxError reports a line that is not valid.
type SyntaxError struct {
	// Column counts characters from 1.
	Column int
	// Problem describes the error there.
	Problem string
	// Nearest is the most similar word; empty for none.
	Nearest string
	// Usage is the usage of the command; empty when the word is unknown.
	Usage string
}

// Error implements error, with the nearest word and the usage on further lines.
func (e *SyntaxError) Error() string {
	text := fmt.Sprintf("col %d: %s", e.Column, e.Problem)
	if e.Nearest != "" {
		text += "\nnearest: " + e.Nearest
	}
	if e.Usage != "" {
		text += "\nuse: " + e.Usage
	}
	return text
}

// Parse parses a line. The error is a *SyntaxError.
func Parse(text string) (*Line, error) {
	if len(text) > MaxLine {
		return nil, &SyntaxError{Column: columnOf(text, MaxLine), Problem: "line is too long"}
	}
	if !utf8.ValidString(text) {
		return nil, &SyntaxError{Column: 1, Problem: "not UTF-8 text"}
	}
	start, end := firstWord(text)
	if start == end {
		return nil, &SyntaxError{Column: columnOf(text, start), Problem: "a word is missing", Nearest: "help"}
	}
	word, err := expand(text[start:end], columnOf(text, start))
	if err != nil {
		return nil, err
	}
	line, err := parseWords(text, word)
	if err != nil {
		return nil, syntaxError(err, text, word)
	}
	return line, nil
}

// parseWords parses the text with its first word replaced by its full form.
func parseWords(text, word string) (*Line, error) {
	inner, err := tokens.LexString("", text)
	if err != nil {
		return nil, err
	}
	symbols := tokens.Symbols()
	outer := &firstWordLexer{inner: inner, kind: symbols["Word"], word: word}
	peeking, err := lexer.Upgrade(outer, symbols["Space"])
	if err != nil {
		return nil, err
	}
	return grammar.ParseFromLexer(peeking)
}

// firstWordLexer replaces the first word by its full form at the same position.
type firstWordLexer struct {
	inner lexer.Lexer
	kind  lexer.TokenType
	word  string
}

// Next implements lexer.Lexer.
func (l *firstWordLexer) Next() (lexer.Token, error) {
	token, err := l.inner.Next()
	if err == nil && l.word != "" && token.Type == l.kind {
		token.Value = l.word
		l.word = ""
	}
	return token, err
}

// firstWord returns the start and end of the first word, in bytes.
func firstWord(text string) (start, end int) {
	trimmed := strings.TrimLeftFunc(text, unicode.IsSpace)
	start = len(text) - len(trimmed)
	length := strings.IndexFunc(trimmed, func(r rune) bool {
		return unicode.IsSpace(r) || strings.ContainsRune(">%!", r)
	})
	if length < 0 {
		length = len(trimmed)
	}
	return start, start + length
}

// columnOf converts a byte offset to a column.
func columnOf(text string, offset int) int { return utf8.RuneCountInString(text[:offset]) + 1 }

// expand returns the command word with the given prefix.
func expand(given string, column int) (string, error) {
	given = strings.ToLower(given)
	var matches, words []string
	for _, entry := range usage {
		if entry.word == given {
			return given, nil
		}
		if strings.HasPrefix(entry.word, given) {
			matches = append(matches, entry.word)
		}
		words = append(words, entry.word)
	}
	if len(matches) == 1 {
		return matches[0], nil
	}
	if len(matches) > 1 {
		problem := fmt.Sprintf("%s may be %s", given, strings.Join(matches, ", "))
		return "", &SyntaxError{Column: column, Problem: problem}
	}
	problem := fmt.Sprintf("no word %s", clip(given))
	return "", &SyntaxError{Column: column, Problem: problem, Nearest: yamlfile.Nearest(given, words)}
}

// syntaxError translates the parser's error.
func syntaxError(err error, text, word string) error {
	failure := &SyntaxError{Column: columnOf(text, len(text)), Problem: "not understood", Usage: usageOf(word)}
	var parse participle.Error
	if !errors.As(err, &parse) {
		return failure
	}
	failure.Column = parse.Position().Column
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return failure
	}
	failure.Problem = clip(unexpected.Unexpected.Value) + " does not belong here"
	if unexpected.Unexpected.EOF() {
		failure.Problem = "more is expected"
	}
	return failure
}

// usageOf returns the usage of a command.
func usageOf(word string) string {
	for _, entry := range usage {
		if entry.word == word {
			return strings.TrimSpace(entry.word + " " + entry.arguments)
		}
	}
	return ""
}

// maxClip is the length limit, in characters, of input that a reply quotes.
const maxClip = 16

// clip shortens input that a reply quotes.
func clip(text string) string {
	runes := []rune(text)
	if len(runes) <= maxClip {
		return text
	}
	return string(runes[:maxClip]) + "~"
}
