package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"github.com/lilacweir/lilacweir/pkg/header"
)

// minRefusals is the number of refused connections after which an agent that did
// not wait for open requests would have stopped.
const minRefusals = 2000

// A request that an operator has begun to send is answered although the agent
// stops.
func TestStoppingAgentAnswersRequestsInProgress(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 7, 1)
	r.write(acceptedHead(1))
	r.start("a-1")
	r.wait("a-1", "revision 1 in force", func(a *Agent) bool { return inForce(a, 1) == 1 })
	address := r.nodes["a-1"].settings.Agent.Operators
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(testWait)))
	_, err = fmt.Fprintf(conn, "POST /v1/command HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "HTTP/1.1 100 Continue\r\n") // the handler reads the body
	_, err = reader.ReadString('\n')
	is.NoErr(err)

	r.nodes["a-1"].cancel()
	for refused := 0; refused < minRefusals; {
		probe, err := net.Dial("tcp", address)
		if err != nil {
			refused++
			continue
		}
		_ = probe.Close()
	}
	is.Equal(len(r.nodes["a-1"].ended), 0) // the agent waits for the open request
	_, err = fmt.Fprint(conn, "st")
	is.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusUnauthorized)
	is.NoErr(response.Body.Close())
}

// The body of an unauthenticated apply is neither waited for nor held in memory.
func TestUnauthenticatedDeclarationIsNotRead(t *testing.T) {
	is := is.New(t)
	r := newHarness(t, 8, 1)
	r.write(acceptedHead(1))
	r.start("a-1")
	r.wait("a-1", "revision 1 in force", func(a *Agent) bool { return inForce(a, 1) == 1 })
	conn, err := net.Dial("tcp", r.nodes["a-1"].settings.Agent.Operators)
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.SetDeadline(time.Now().Add(testWait)))
	_, err = fmt.Fprintf(conn, "POST /v1/apply HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\nregions", maxDeclaration)
	is.NoErr(err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusUnauthorized)
	is.NoErr(response.Body.Close())
}

func TestCommandBodyMustBeReadWhole(t *testing.T) {
	tests := []struct {
		name string
		body io.Reader
		want int
	}{
		{"too long", strings.NewReader(strings.Repeat("x", maxLine+1)), http.StatusRequestEntityTooLarge},
		{"broken off", iotest.ErrReader(io.ErrUnexpectedEOF), http.StatusBadRequest},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			recorder := httptest.NewRecorder()
			c := echo.New().NewContext(httptest.NewRequest(http.MethodPost, "/v1/command", test.body), recorder)
			a := &Agent{guard: newGuard(&Options{Log: zerolog.Nop(), Registry: metrics.NewRegistry()})}
			is.NoErr(a.serveCommand(c))
			is.Equal(recorder.Code, test.want)
			is.Equal(recorder.Header().Get(header.Verdict), "refused")
		})
	}
}
