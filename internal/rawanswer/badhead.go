package rawanswer

import (
	"cmp"
	"fmt"
	"strings"
)

// BadHead is a head that is none in the protocol.
type BadHead struct {
	// status is that of the head, 200 if it is empty.
	status string
	// line is an improper line, and framing the field that frames the body, if the line does not.
	line, framing string
}

// BadHeads are heads that are none in the protocol, by what is wrong with them. The values of odd fields end in OddEnd.
var BadHeads = map[string]BadHead{
	"status 000":                       {status: "000 Trouble", framing: "Content-Length: %d"},
	"status 000 without a body":        {status: "000 Trouble", framing: noBody},
	"status 000, a proper head next":   {status: "000 Trouble", framing: properHead},
	"status 101, a proper head next":   {status: "101 Switching Protocols", framing: properHead},
	"status 099":                       {status: "099 Low", framing: "Content-Length: %d"},
	"status 600":                       {status: "600 High", framing: "Content-Length: %d"},
	"status 999":                       {status: "999 High", framing: "Content-Length: %d"},
	"status with a sign":               {status: "+20 Plus", framing: "Content-Length: %d"},
	"status 101":                       {status: "101 Switching Protocols", framing: "Content-Length: %d"},
	"status of four digits":            {status: "2000 OK", framing: "Content-Length: %d"},
	"a blank in a name":                {line: "X Odd: odd", framing: "Content-Length: %d"},
	"a blank after a name":             {line: "X-Odd : odd", framing: "Content-Length: %d"},
	"a tab after a name":               {line: "X-Odd\t: odd", framing: "Content-Length: %d"},
	"a blank before a name":            {line: " X-Odd: odd", framing: "Content-Length: %d"},
	"a tab before a name":              {line: "\tX-Odd: odd", framing: "Content-Length: %d"},
	"a control byte in a name":         {line: "X-\x01Odd: odd", framing: "Content-Length: %d"},
	"a zero byte in a name":            {line: "X-Odd\x00: odd", framing: "Content-Length: %d"},
	"a delete byte in a name":          {line: "X-\x7fOdd: odd", framing: "Content-Length: %d"},
	"a carriage return in a name":      {line: "X-\rOdd: odd", framing: "Content-Length: %d"},
	"a byte above ASCII in a name":     {line: "X-\xe9Odd: odd", framing: "Content-Length: %d"},
	"an empty name":                    {line: ": odd", framing: "Content-Length: %d"},
	"a line without a colon":           {line: "X-Odd", framing: "Content-Length: %d"},
	"a control byte in a value":        {line: "X-Odd: o\x01dd", framing: "Content-Length: %d"},
	"a zero byte in a value":           {line: "X-Odd: o\x00dd", framing: "Content-Length: %d"},
	"a carriage return in a value":     {line: "X-Odd: o\rdd", framing: "Content-Length: %d"},
	"a blank after Content-Length":     {line: "Content-Length : %d"},
	"a blank in Content-Length":        {line: "Content Length: %d"},
	"a blank before Content-Length":    {line: " Content-Length: %d"},
	"a tab before Content-Length":      {line: "\tContent-Length: %d"},
	"a control byte in Content-Length": {line: "Content-\x02Length: %d"},
	"a blank after Transfer-Encoding":  {line: "Transfer-Encoding : chunked"},
	"a tab after Transfer-Encoding":    {line: "Transfer-Encoding\t: chunked"},
	"a blank before Transfer-Encoding": {line: " Transfer-Encoding: chunked"},
	"Transfer-Encoding in HTTP/1.0":    {line: "Transfer-Encoding: chunked", framing: old},
	"a control byte in TE":             {line: "Transfer-\x1fEncoding: chunked"},
}

// OddEnd ends the values of odd fields.
const OddEnd = "dd\r\n"

const (
	// properHead stands for a proper answer behind the head.
	properHead = "proper"
	noBody     = "Content-Length: 0"
	// old makes a head one of HTTP/1.0.
	old = "HTTP/1.0"
)

// Answer returns the bytes of an answer with the head and a whole body. Fields are the proper ones of the head, as lines.
func (b BadHead) Answer(fields, body string) string {
	status, version, sent, frame := cmp.Or(b.status, "200 OK"), "HTTP/1.1", body, b.framing
	switch {
	case frame == properHead:
		field, sent := WithLength.Encode(body, len(body))
		return fmt.Sprintf("HTTP/1.1 %s\r\n%s\r\nHTTP/1.1 200 OK\r\n%s%s\r\n%s", status, fields, fields, field, sent)
	case frame == noBody:
		sent = ""
	case frame == old:
		version, frame = old, ""
	}
	if strings.Contains(b.line, "chunked") {
		_, sent = InChunks.Encode(body, len(body))
	}
	head := fmt.Sprintf("%s %s\r\n%s", version, status, fields)
	for _, line := range []string{b.line, frame} {
		if strings.Contains(line, "%d") {
			line = fmt.Sprintf(line, len(body))
		}
		if line != "" {
			head += line + "\r\n"
		}
	}
	return head + "\r\n" + sent
}
