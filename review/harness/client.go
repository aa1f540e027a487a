//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// channel is a client's channel to one instance.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

func open(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// request is what a client sends.
type request struct {
	id, method, path string
	deadline         time.Duration
	header           []string
	body             string
}

func (q *request) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: ficu95.example\r\nX-Lilacweir-Request-Id: %s\r\n", q.method, q.path, q.id)
	if q.deadline > 0 {
		fmt.Fprintf(&b, "X-Lilacweir-Deadline-Ms: %d\r\n", q.deadline.Milliseconds())
	}
	for _, line := range q.header {
		b.WriteString(line + "\r\n")
	}
	if q.body != "" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n"
}

// answer is what a client received: an answer with its whole body, or the error that ended it.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer (status %d, %d bytes): %v", a.status, len(a.body), a.err)
	}
	return fmt.Sprintf("%d, seal %q, %q", a.status, a.header.Get("X-Lilacweir-Server-Seal"), a.body)
}

// read reads an answer within a time.
func (c *channel) read(method string, within time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(within))
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// exchange sends a request and reads its answer.
func (c *channel) exchange(q request) answer {
	if _, err := io.WriteString(c, q.head()+q.body); err != nil {
		return answer{err: err}
	}
	return c.read(q.method, q.deadline+2*time.Second)
}
