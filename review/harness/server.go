//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Times of a server's reports to the store.
const (
	heartbeat     = 1200 * time.Millisecond
	reportTimeout = time.Second
)

// server is a stand-in for one start of a plain server. It reports to the store through a link of its own, answers
// for its id alone, and seals what it answers.
type server struct {
	id, service, zone, address string
	born                       int64
	record                     *record
	http                       *http.Server
	link                       *link
	// work is the time that it works on a request.
	work time.Duration
	// quiet leaves its runs out of the record.
	quiet bool
	// arrived, if it is not nil, is called for each request that reaches the server for it.
	arrived func(id string)

	mu sync.Mutex
	// runs counts the runs that it began, by request, and finished those that it ended.
	runs, finished map[string]int
	state          string
	sequence       int
	// reported receives a value for each report, after which the next one is due a heartbeat later.
	reported chan struct{}
	stop     chan struct{}
}

// addServer starts a server, which reports that it is ready.
func (d *deployment) addServer(zone, service string, work time.Duration) (*server, error) {
	n := len(d.servers)
	listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:8660", d.subnet, 100+n))
	if err != nil {
		return nil, err
	}
	l, err := newLink(fmt.Sprintf("%s.%d:8142", d.subnet, 100+n), d.storeAddress())
	if err != nil {
		return nil, err
	}
	s := &server{
		id: fmt.Sprintf("i-%08x", 0x7f3a0000+n), service: service, zone: zone, address: listener.Addr().String(),
		born: time.Now().UnixMilli(), record: d.record, link: l, work: work, state: "ready",
		runs: map[string]int{}, finished: map[string]int{}, stop: make(chan struct{}), reported: make(chan struct{}, 1),
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve)}
	go func() { _ = s.http.Serve(listener) }()
	d.servers = append(d.servers, s)
	if err := s.report(); err != nil {
		return nil, err
	}
	go s.beat()
	return s, nil
}

// close ends the server at once.
func (s *server) close() {
	select {
	case <-s.stop:
	default:
		close(s.stop)
	}
	_ = s.http.Close()
	s.link.close()
}

// setState sets what the next reports say.
func (s *server) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// beat reports until the server ends.
func (s *server) beat() {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			_ = s.report()
		case <-s.reported:
			ticker.Reset(heartbeat)
		case <-s.stop:
			return
		}
	}
}

// report writes the server's entry. Without a response the write may have been made, or be made later.
func (s *server) report() error {
	s.mu.Lock()
	s.sequence++
	sequence, state := s.sequence, s.state
	s.mu.Unlock()
	entry, err := json.Marshal(map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": "1", "slots": 32, "state": state,
		"warmup_left_ms": 0, "sequence": sequence, "born": s.born,
	})
	if err != nil {
		return err
	}
	type put struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
	}
	select {
	case s.reported <- struct{}{}:
	default:
	}
	err = s.transact(map[string]any{"puts": []put{{Key: s.key(), Value: entry}}})
	s.note("server %s: report %d, %s: %s", s.id, sequence, state, outcome(err))
	return err
}

func outcome(err error) string {
	if err != nil {
		return "no response: " + err.Error()
	}
	return "confirmed by the store"
}

// key is the key of the server's entry.
func (s *server) key() string { return "servers/" + s.id }

// leave removes the server's entry.
func (s *server) leave() error { return s.transact(map[string]any{"remove": []string{s.key()}}) }

// transact makes one write at the store, on a connection of its own.
func (s *server) transact(body map[string]any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.link.listener.Addr().String()+"/kv-txn", bytes.NewReader(data))
	if err != nil {
		return err
	}
	request.Header.Set("Content-Type", "application/json")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/report":
		fmt.Fprintf(w, `{"born":%d}`, s.born)
		return
	case "/healthz":
		w.Header().Set("X-Lilacweir-Instance-Id", s.id)
		return
	}
	id := r.Header.Get("X-Lilacweir-Request-Id")
	w.Header().Set("X-Lilacweir-Request-Id", id)
	if expected := r.Header.Get("X-Lilacweir-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Lilacweir-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if s.arrived != nil {
		s.arrived(id)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.record.add("server %s: request %s did not arrive whole", s.id, id)
		return
	}
	s.note("server %s runs %s (%s, %d bytes)", s.id, id, r.URL.Path, len(body))
	s.mu.Lock()
	s.runs[id]++
	s.mu.Unlock()
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		s.record.add("server %s: the run of %s ended early, its channel is closed", s.id, id)
		return
	}
	s.mu.Lock()
	s.finished[id]++
	s.mu.Unlock()
	w.Header().Set("X-Lilacweir-Server-Seal", "seal-"+s.id+"-"+id)
	s.note("server %s answers %s", s.id, id)
	if s.service == modelService {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprintf(w, "id: 1\ndata: answer\n\nid: 2\ndata: to %s\n\n", id)
		return
	}
	fmt.Fprintf(w, "answer to %s\n", id)
}

// note records a step of a run.
func (s *server) note(format string, args ...any) {
	if !s.quiet {
		s.record.add(format, args...)
	}
}

// runs returns how often servers began to work on a request, and how often they ended that.
func (d *deployment) runs(id string) (began, finished int) {
	for _, s := range d.servers {
		s.mu.Lock()
		began += s.runs[id]
		finished += s.finished[id]
		s.mu.Unlock()
	}
	return began, finished
}
