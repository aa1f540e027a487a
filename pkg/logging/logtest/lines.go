// Package logtest collects log lines for tests.
package logtest

import (
	"slices"
	"strings"
	"sync"
)

// Lines collects the lines that are written to it. The zero value is empty. It is safe for
// concurrent use.
type Lines struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (l *Lines) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(line)
}

// With returns the lines that contain all of the texts.
func (l *Lines) With(texts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range strings.Split(l.text.String(), "\n") {
		if !slices.ContainsFunc(texts, func(text string) bool { return !strings.Contains(line, text) }) {
			found = append(found, line)
		}
	}
	return found
}

// Has reports whether a line contains all of the texts.
func (l *Lines) Has(texts ...string) bool { return len(l.With(texts...)) > 0 }

// Count returns the number of lines that contain all of the texts.
func (l *Lines) Count(texts ...string) int { return len(l.With(texts...)) }
