package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// playSpot takes a server away at short notice while it writes streams that end with their channel.
func playSpot(d *deployment, trouble bool) ([]string, error) {
	const longEvents, gap, notice = 12, 280, 2 * time.Second
	store, err := d.serveStore()
	if err != nil {
		return nil, err
	}
	d.configure(3,
		map[string]any{"name": "app-question", "hostname": host, "prefix": "/ask/", "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 1200, "gap_aim_ms": 300, "priority": 0, "service": "lilac-nurse", "max_attempts": 1, "sticky": true},
	)
	for _, zone := range zones {
		for n := range 2 {
			if _, err := d.startServer(fmt.Sprintf("i-%s-%d", zone.name, n+1), "lilac-nurse", zone.name, "-unframed", fmt.Sprint(longEvents)); err != nil {
				return nil, err
			}
		}
	}
	if err := d.startEdges(func(string) string { return store }); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)

	var mu sync.Mutex
	var all []answer
	var sent sync.WaitGroup
	c := newClient(d)
	ask := func(id string, events, gap int) {
		sent.Go(func() {
			path := fmt.Sprintf("/ask/q?events=%d&gap=%d", events, gap)
			front := fmt.Sprintf("front-kalamaria-hall-%d", len(id)%3+1)
			seen := c.send(front, "POST", path, id, 4*time.Second, map[string]string{"X-Lilacweir-Model": "m", "X-Lilacweir-Token-Usage": "290,96", "X-Lilacweir-Prompt-Prefix": "5c1e07a2:92," + fmt.Sprintf("%x", id) + ":198"}, "question "+id)
			mu.Lock()
			all = append(all, seen)
			mu.Unlock()
		})
	}
	// Short questions, of which the long ones are one in fifty.
	short := func(from, to int) {
		for n := from; n < to; n++ {
			ask(fmt.Sprintf("short-%04d", n), 6, 20)
			time.Sleep(20 * time.Millisecond)
		}
	}
	short(0, 150)
	for n := range 8 {
		ask(fmt.Sprintf("long-%d", n)+strings.Repeat("x", n%3), longEvents, gap)
		time.Sleep(30 * time.Millisecond)
	}
	leaving := d.servers["i-kalamaria-hall-1"]
	if trouble {
		d.register(leaving, "draining", notice)
		over := time.AfterFunc(notice, func() { d.kill(leaving) })
		defer over.Stop()
	}
	short(150, 400)
	sent.Wait()
	return truncated(all), nil
}

// truncated returns the streams that looked complete to their clients without their last event.
func truncated(all []answer) []string {
	var broken []string
	for _, seen := range all {
		if seen.status != 200 || !seen.whole {
			continue
		}
		events := strings.Split(strings.TrimSuffix(seen.body, "\n\n"), "\n\n")
		var n, last int
		var of string
		_, data, _ := strings.Cut(events[len(events)-1], "\ndata: ")
		if _, err := fmt.Sscanf(data, "%d of %d of %s", &n, &last, &of); err != nil || n != last || of != seen.id {
			broken = append(broken, fmt.Sprintf("%s: 200, sealed %v, looks complete, but its last event is %q", seen.id, seen.sealed, events[len(events)-1]))
		}
	}
	return broken
}
