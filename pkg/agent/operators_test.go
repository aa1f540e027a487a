package agent

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// refusals is how many connections must have been refused for the agent to have
// had the time to end, had it not waited.
const refusals = 2000

// A request that an operator has begun is answered although the agent stops.
func TestStoppingAgentAnswersWhatWasBegun(t *testing.T) {
	is := is.New(t)
	r := newRig(t, 7, 1)
	r.store.write(t, accepted(1))
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
	is.Equal(line, "HTTP/1.1 100 Continue\r\n") // the handler reads
	_, err = reader.ReadString('\n')
	is.NoErr(err)

	r.nodes["a-1"].cancel()
	for refused := 0; refused < refusals; {
		probe, err := net.Dial("tcp", address)
		if err != nil {
			refused++
			continue
		}
		_ = probe.Close()
	}
	is.Equal(len(r.nodes["a-1"].ended), 0) // it waits for what was begun
	_, err = fmt.Fprint(conn, "st")
	is.NoErr(err)
	response, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(response.StatusCode, http.StatusUnauthorized)
	is.NoErr(response.Body.Close())
}
