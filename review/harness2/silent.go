package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// silencer is a proxy before the store. Channels that are open when it is told so stay open and carry nothing
// any more; new ones work.
type silencer struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	era      int
}

func newSilencer(target string) (*silencer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &silencer{listener: listener, target: target}
	go s.accept()
	return s, nil
}

func (s *silencer) address() string { return s.listener.Addr().String() }

// silence makes all open channels silent.
func (s *silencer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
}

func (s *silencer) silentSince(era int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era != era
}

func (s *silencer) accept() {
	for {
		near, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		era := s.era
		s.mu.Unlock()
		far, err := net.Dial("tcp", s.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		go s.pump(near, far, era)
		go s.pump(far, near, era)
	}
}

func (s *silencer) pump(from, to net.Conn, era int) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !s.silentSince(era) {
			_, _ = to.Write(buffer[:n])
		}
		if err != nil {
			if !s.silentSince(era) || err != io.EOF {
				_ = to.Close()
			}
			return
		}
	}
}

// Bounds of the small site.
const (
	contact = 5 * time.Second
	drain   = 3 * time.Second
	// allowance covers the time from a request's sending to its record.
	allowance = 50 * time.Millisecond
)

// playSilent removes the entry of a server, as of one that leaves without a word, just after the channels to
// the store have gone silent.
func playSilent(d *deployment, trouble bool) ([]string, error) {
	store, err := d.serveStore()
	if err != nil {
		return nil, err
	}
	proxy, err := newSilencer(store)
	if err != nil {
		return nil, err
	}
	d.closers = append(d.closers, func() { _ = proxy.listener.Close() })
	d.configure(3,
		map[string]any{"name": "export-fetch", "hostname": host, "prefix": "/fetch/", "kind": "safe", "timeout_ms": 1200, "target_latency_ms": 400, "priority": 2, "service": "sleeplog-api", "max_attempts": 2},
	)
	for _, zone := range zones {
		for n := range 2 {
			if _, err := d.startServer(fmt.Sprintf("i-%s-%d", zone.name, n+1), "sleeplog-api", zone.name); err != nil {
				return nil, err
			}
		}
	}
	if err := d.startEdges(func(string) string { return proxy.address() }); err != nil {
		return nil, err
	}
	time.Sleep(contact + time.Second)

	var sent sync.WaitGroup
	c := newClient(d)
	stop := time.Now().Add(12 * time.Second)
	sent.Go(func() {
		for n := 0; time.Now().Before(stop); n++ {
			id := fmt.Sprintf("f-%05d", n)
			front := fmt.Sprintf("front-kalamaria-hall-%d", n%3+1)
			sent.Go(func() { c.send(front, "GET", "/fetch/x?ms=30", id, 2500*time.Millisecond, nil, "") })
			time.Sleep(14 * time.Millisecond)
		}
	})
	time.Sleep(2 * time.Second)
	// An entry changes, as the entries of servers do.
	d.register(d.servers["i-peristeri-hall-2"], "ready", 0)
	time.Sleep(300 * time.Millisecond)
	silent := time.Now()
	if trouble {
		proxy.silence()
		d.log("the open channels to the store go silent")
	}
	time.Sleep(200 * time.Millisecond)
	gone := "i-kalamaria-hall-1"
	d.store.Drop("servers/" + gone)
	removed := time.Now()
	d.log("store: servers/%s is removed; the server serves on", gone)
	sent.Wait()

	bound := removed.Add(drain)
	if inTouch := silent.Add(contact); trouble && inTouch.After(bound) {
		bound = inTouch
	}
	d.mu.Lock()
	late := []string{}
	last := time.Time{}
	for _, a := range d.arrivals[gone] {
		if a.at.After(bound.Add(allowance)) {
			late = append(late, a.request)
			last = a.at
		}
	}
	d.mu.Unlock()
	d.log("%d requests reached %s later than %v after its removal and %v after the channels went silent", len(late), gone, drain, contact)
	if len(late) == 0 {
		return nil, nil
	}
	return []string{fmt.Sprintf("%d requests (%s ... %s) reached %s up to %.2f s after its entry was removed, %.2f s after the channels went silent", len(late), late[0], late[len(late)-1], gone, last.Sub(removed).Seconds(), last.Sub(silent).Seconds())}, nil
}
