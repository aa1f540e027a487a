// Package responsehead checks the heads of HTTP/1.1 responses as they are read. net/http accepts heads that are none
// in the protocol: a status below 100, names of fields with a blank, folded lines. A field that frames the body is not
// found under such a name, so that the body is read wrongly, and other lines would be passed on.
package responsehead

import (
	"fmt"
	"net/http"
)

// Error reports a response that is none in the protocol.
type Error struct{ Problem string }

// Error implements error.
func (e *Error) Error() string { return "malformed response: " + e.Problem }

// position is where in a head the next byte stands.
type position int

const (
	inStatusLine position = iota
	inReason
	atLineStart
	inName
	inValue
	// atLineEnd and atHeadEnd stand after the carriage return of a line, and after that of the empty line.
	atLineEnd
	atHeadEnd
	// inBody stands after the head, where nothing is checked.
	inBody
)

// Scanner checks the head of a response, and the interim responses before it. The zero value stands before a head.
type Scanner struct {
	at position
	// column is the number of bytes of the status line, or of a name as far as it is that of framingField.
	column int
	status int
	// isHTTP10 is true for HTTP/1.0, which has no Transfer-Encoding: net/http drops the field, and would take the
	// chunks for the body.
	isHTTP10 bool
	err      error
}

// framingField is a name in lower case.
const framingField = "transfer-encoding"

// Begin makes the next byte the first one of a head.
func (s *Scanner) Begin() { *s = Scanner{} }

// Scan checks the next bytes of the connection; those after the head are ignored. The error is an *Error, and is
// returned by all further calls until Begin.
func (s *Scanner) Scan(p []byte) error {
	for i := 0; i < len(p) && s.at != inBody && s.err == nil; i++ {
		s.next(p[i])
	}
	return s.err
}

func (s *Scanner) next(c byte) {
	switch s.at {
	case inStatusLine:
		s.statusLine(c)
	case inReason, inValue:
		s.text(c)
	case atLineStart:
		s.lineStart(c)
	case inName:
		s.name(c)
	case atLineEnd:
		s.require(c == '\n', "a carriage return inside a line")
		s.at = atLineStart
	case atHeadEnd:
		s.require(c == '\n', "a carriage return inside a line")
		s.endHead()
	}
}

// require records a problem unless ok is true.
func (s *Scanner) require(ok bool, problem string) {
	if !ok && s.err == nil {
		s.err = &Error{Problem: problem}
	}
}

const (
	// statusStart begins each status line. Zeros stand for digits; the last three are the status.
	statusStart = "HTTP/1.0 000"
	// versionColumn is the column of the minor version, from 1 on.
	versionColumn = len("HTTP/1.0")
)

func (s *Scanner) statusLine(c byte) {
	if s.column == len(statusStart) {
		if !IsStatus(s.status) {
			s.require(false, fmt.Sprintf("status %03d", s.status))
		}
		s.require(c == ' ' || c == '\r' || c == '\n', "no status line")
		s.at = inReason
		s.text(c)
		return
	}
	expected := statusStart[s.column]
	s.column++
	if expected != '0' {
		s.require(c == expected, "no status line")
		return
	}
	s.require(c >= '0' && c <= '9', "no status line")
	if s.column == versionColumn {
		s.isHTTP10 = c == '0'
	}
	// The digit of the version comes first and drops out.
	s.status = (10*s.status + int(c-'0')) % 1000
}

// text checks a byte of a reason or a value.
func (s *Scanner) text(c byte) {
	switch c {
	case '\n':
		s.at = atLineStart
	case '\r':
		s.at = atLineEnd
	default:
		s.require(c >= ' ' && c != 0x7f || c == '\t', "a control byte in a value")
	}
}

func (s *Scanner) lineStart(c byte) {
	switch c {
	case '\n':
		s.endHead()
	case '\r':
		s.at = atHeadEnd
	case ' ', '\t':
		s.require(false, "a folded line")
	case ':':
		s.require(false, "a field without a name")
	default:
		s.at, s.column = inName, 0
		s.name(c)
	}
}

func (s *Scanner) name(c byte) {
	if c == ':' {
		s.require(!s.isHTTP10 || s.column != len(framingField), "Transfer-Encoding in HTTP/1.0")
		s.at = inValue
		return
	}
	if !isTokenByte(c) {
		s.require(false, fmt.Sprintf("byte %#02x in the name of a field", c))
	}
	if s.column >= 0 && s.column < len(framingField) && c|0x20 == framingField[s.column] {
		s.column++
	} else {
		s.column = -1
	}
}

// endHead ends a head. The response itself follows an interim one.
func (s *Scanner) endHead() {
	s.at = inBody
	if s.status < http.StatusOK {
		s.at, s.column, s.status = inStatusLine, 0, 0
	}
}

// isTokenByte reports whether a byte may stand in the name of a field (RFC 9110, 5.6.2).
func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	switch c {
	case '!', '#', '$', '%', '&', '\'', '*', '+', '-', '.', '^', '_', '`', '|', '~':
		return true
	}
	return false
}

// IsStatus reports whether a status is one of the protocol (RFC 9110, 15). No request asks for another protocol, so
// that 101 is none.
func IsStatus(status int) bool {
	return status >= http.StatusContinue && status <= 599 && status != http.StatusSwitchingProtocols
}
