//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// rawServer is a stand-in for a plain server that keeps its channels in hand. It answers with a length, but requests
// whose id begins with "unframed" without one: such an answer ends with its channel.
type rawServer struct {
	id       string
	born     int64
	record   *record
	listener net.Listener

	mu sync.Mutex
	// channels holds the open channels in the order in which they were opened, used when each last brought an answer.
	channels []net.Conn
	used     map[net.Conn]time.Time
	silent   net.Conn
	// begun receives the id of each answer without a length whose first half is written.
	begun chan string
}

// workTime is the time that the server works on a request.
const workTime = 100 * time.Millisecond

// startRawServer starts a server of the plain service and writes its entry.
func (d *deployment) startRawServer(zone string) (*rawServer, error) {
	n := len(d.raw)
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:8660", d.subnet, 150+n))
	if err != nil {
		return nil, err
	}
	s := &rawServer{
		id: fmt.Sprintf("i-%08x", 0x61000000+n), born: time.Now().UnixMilli(), record: d.record, listener: listener,
		used: map[net.Conn]time.Time{}, begun: make(chan string, 1),
	}
	d.raw = append(d.raw, s)
	go s.serve()
	entry, err := json.Marshal(map[string]any{
		"service": "sleeplog-api", "address": listener.Addr().String(), "zone": zone, "version": "1", "slots": 32,
		"state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": s.born,
	})
	if err != nil {
		return nil, err
	}
	d.store.Put("servers/"+s.id, string(entry))
	return s, nil
}

func (s *rawServer) serve() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.channels = append(s.channels, conn)
		s.mu.Unlock()
		go s.serveChannel(conn)
	}
}

func (s *rawServer) serveChannel(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			s.close(conn)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			s.close(conn)
			return
		}
		if !s.answer(conn, r) {
			return
		}
	}
}

// close closes a channel, unless it is silent.
func (s *rawServer) close(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if conn != s.silent {
		_ = conn.Close()
	}
}

// answer answers a request, and reports whether its channel can bring another one.
func (s *rawServer) answer(conn net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Lilacweir-Request-Id")
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Lilacweir-Request-Id: %s\r\nX-Lilacweir-Server-Seal: seal-%s-%s\r\n", id, s.id, id)
	body := wholeAnswer(id)
	switch {
	case r.URL.Path == "/report":
		head, body = "HTTP/1.1 200 OK\r\n", fmt.Sprintf(`{"born":%d}`, s.born)
	case r.URL.Path == "/healthz":
		head, body = "HTTP/1.1 200 OK\r\nX-Lilacweir-Instance-Id: "+s.id+"\r\n", ""
	case r.Header.Get("X-Lilacweir-Expect-Instance") != s.id:
		head, body = "HTTP/1.1 421 Misdirected Request\r\nX-Lilacweir-Request-Id: "+id+"\r\nX-Lilacweir-Not-Executed: 1\r\n", ""
	case strings.HasPrefix(id, "unframed"):
		s.record.add("server %s runs %s and writes the first half of its answer, which has no length", s.id, id)
		_, _ = io.WriteString(conn, head+"Connection: close\r\n\r\n"+body[:len(body)/2])
		s.begun <- id
		return false
	default:
		time.Sleep(workTime)
	}
	_, err := fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	s.mu.Lock()
	s.used[conn] = time.Now()
	s.mu.Unlock()
	return err == nil
}

// wholeAnswer is the server's whole body for a request.
func wholeAnswer(id string) string {
	return fmt.Sprintf("night of %s: asleep 23:10 to 02:40, awake 20 minutes, asleep 03:00 to 06:30\n", id)
}

// silence has the channel that has been idle for longest go silent: nothing that the server does to it is seen any
// more at the other end.
func (s *rawServer) silence() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn, at := range s.used {
		if s.silent == nil || at.Before(s.used[s.silent]) {
			s.silent = conn
		}
	}
	if s.silent == nil {
		return fmt.Errorf("server %s has no idle channel", s.id)
	}
	s.record.add("one of %d channels to server %s goes silent", len(s.channels), s.id)
	return nil
}

// crash ends the server: its listener and all its channels are closed.
func (s *rawServer) crash() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for _, conn := range s.channels {
		if conn != s.silent {
			_ = conn.Close()
		}
	}
}

// end closes what is left.
func (s *rawServer) end() {
	s.crash()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.silent != nil {
		_ = s.silent.Close()
	}
}
