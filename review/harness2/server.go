package main

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"
)

// server is a server of one service. It answers GET and POST under /plain/ in one piece and streams events
// under /ask/. The query says how long it works: ms for the whole answer, events and gap for a stream.
type server struct {
	id, service string
	// unframed is the number of events from which a stream has neither a length nor chunks, zero for never.
	unframed int
	bornAt   int64
}

// runServer serves until the process is killed. Its standard output has a line for each run.
func runServer(args []string) error {
	flags := flag.NewFlagSet("server", flag.ContinueOnError)
	s := &server{bornAt: time.Now().UnixMilli()}
	flags.StringVar(&s.id, "id", "", "instance ID")
	flags.StringVar(&s.service, "service", "", "service")
	flags.IntVar(&s.unframed, "unframed", 0, "events from which a stream is unframed")
	listen := flags.String("listen", "127.0.0.1:0", "address")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		return err
	}
	fmt.Printf("listening %s %d\n", listener.Addr(), s.bornAt)
	return http.Serve(listener, http.HandlerFunc(s.serve))
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Lilacweir-Instance-Id", s.id)
		return
	case "/report":
		fmt.Fprintf(w, `{"born":%d,"busy":false,"queued":0,"running":0}`, s.bornAt)
		return
	}
	id := r.Header.Get("X-Lilacweir-Request-Id")
	w.Header().Set("X-Lilacweir-Request-Id", id)
	if expected := r.Header.Get("X-Lilacweir-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Lilacweir-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.record(id, "arrives")
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.Header().Set("X-Lilacweir-Server-Seal", "seal."+s.id+"."+id)
	if events := number(r, "events"); events > 0 {
		s.stream(w, r, id, events)
		return
	}
	s.record(id, "begins")
	if !sleep(r, number(r, "ms")) {
		s.record(id, "is given up")
		return
	}
	fmt.Fprintf(w, "answer to %s\n", id)
	s.record(id, "answers 200")
}

// stream writes the events after Last-Event-Id.
func (s *server) stream(w http.ResponseWriter, r *http.Request, id string, events int) {
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	framing := "framed"
	if s.unframed > 0 && events >= s.unframed {
		framing = "unframed"
		w.Header().Set("Transfer-Encoding", "identity")
	}
	s.record(id, fmt.Sprintf("begins a stream of %d events after %d, %s", events, after, framing))
	for n := after + 1; n <= events; n++ {
		if !sleep(r, number(r, "gap")) {
			s.record(id, "is given up")
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %d of %d of %s\n\n", n, n, events, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		s.record(id, fmt.Sprintf("event %d", n))
	}
	s.record(id, "ends the stream")
}

func (s *server) record(id, what string) {
	fmt.Fprintf(os.Stdout, "%d server %s: %s %s\n", time.Now().UnixMicro(), s.id, id, what)
}

func number(r *http.Request, name string) int {
	n, _ := strconv.Atoi(r.URL.Query().Get(name))
	return n
}

// sleep waits, and reports whether the caller is still there.
func sleep(r *http.Request, ms int) bool {
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	case <-r.Context().Done():
		return false
	}
}
