package client

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/lilacweir/lilacweir/internal/rawanswer"
	"github.com/lilacweir/lilacweir/pkg/outcome"
)

// serveRaw answers each request with bytes and ends the connection.
func serveRaw(t *testing.T, answer string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = io.Copy(io.Discard, request.Body)
				_, _ = io.WriteString(conn, answer)
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// TestCutAnswersAreNotComplete guards against telling a caller that a call is complete of whose answer it got a part: one
// whose end nothing marks, one that ends early, or one that is longer than is read.
func TestCutAnswersAreNotComplete(t *testing.T) {
	body := strings.Repeat("answer ", 300)
	long := strings.Repeat("a", maxAnswer+1)
	for name, c := range map[string]struct {
		framing rawanswer.Framing
		body    string
		cut     int
		whole   bool
	}{
		"whole, with a length":     {rawanswer.WithLength, body, len(body), true},
		"whole, in chunks":         {rawanswer.InChunks, body, len(body), true},
		"cut, with a length":       {rawanswer.WithLength, body, len(body) / 2, false},
		"cut, in chunks":           {rawanswer.InChunks, body, len(body) / 2, false},
		"without either":           {rawanswer.Unframed, body, len(body) / 2, false},
		"as long as is read":       {rawanswer.WithLength, long[:maxAnswer], maxAnswer, true},
		"longer than what is read": {rawanswer.WithLength, long, len(long), false},
	} {
		t.Run(name, func(t *testing.T) {
			field, sent := c.framing.Encode(c.body, c.cut)
			address := serveRaw(t, "HTTP/1.1 200 OK\r\n"+field+"\r\n"+sent)
			got := New("key", nil).Call(t.Context(), address, http.MethodPost, "/x", []byte("call"), Options{})
			if whole := got.Outcome == outcome.Complete && got.Err == nil; whole != c.whole {
				t.Errorf("outcome %s, error %v, %d bytes", got.Outcome, got.Err, len(got.Body))
			}
			if !c.whole && (got.Outcome != outcome.Unknown || got.Err == nil) {
				t.Errorf("outcome %s, error %v", got.Outcome, got.Err)
			}
		})
	}
}
