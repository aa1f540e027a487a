package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Bounds of cold servers of the small site: cold_per_s x cold_overage + cold_slack.
const (
	warmUp    = 3 * time.Second
	coldBound = 9.7*1.5 + 3
)

// playCold has the servers of a region down for a second and back together, cold, during a burst.
func playCold(d *deployment, trouble bool) ([]string, error) {
	const servers, burst, pause = 5, 65, 100 * time.Millisecond
	store, err := d.serveStore()
	if err != nil {
		return nil, err
	}
	d.configure(3,
		map[string]any{"name": "app-question", "hostname": host, "prefix": "/ask/", "kind": "streaming", "timeout_ms": 4000, "target_latency_ms": 1200, "gap_aim_ms": 300, "priority": 0, "service": "lilac-nurse", "max_attempts": 1, "sticky": true, "allowed_regions": []string{"makedonia"}},
	)
	for n := range servers {
		if _, err := d.startServer(fmt.Sprintf("i-before-%d", n), "lilac-nurse", "kalamaria-hall"); err != nil {
			return nil, err
		}
	}
	if err := d.startEdges(func(string) string { return store }); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)

	var sent sync.WaitGroup
	c := newClient(d)
	stop := time.Now().Add(8 * time.Second)
	sent.Go(func() {
		for round := 0; time.Now().Before(stop); round++ {
			for n := range burst {
				id := fmt.Sprintf("q-%02d-%03d", round, n)
				front := fmt.Sprintf("front-kalamaria-hall-%d", n%3+1)
				sent.Go(func() {
					c.send(front, "POST", "/ask/q?events=6&gap=10", id, 4*time.Second, map[string]string{"X-Lilacweir-Model": "m", "X-Lilacweir-Token-Usage": "290,96", "X-Lilacweir-Prompt-Prefix": "5c1e07a2:92," + fmt.Sprintf("%x", id) + ":198"}, "question "+id)
				})
			}
			time.Sleep(pause)
		}
	})
	time.Sleep(2 * time.Second)
	if trouble {
		for n := range servers {
			d.kill(d.servers[fmt.Sprintf("i-before-%d", n)])
			d.store.Drop(fmt.Sprintf("servers/i-before-%d", n))
		}
		time.Sleep(time.Second)
		d.cold = warmUp
		for n := range servers {
			if _, err := d.startServer(fmt.Sprintf("i-after-%d", n), "lilac-nurse", "kalamaria-hall"); err != nil {
				return nil, err
			}
		}
	}
	sent.Wait()

	var broken []string
	for n := range servers {
		s := d.servers[fmt.Sprintf("i-after-%d", n)]
		if s == nil {
			continue
		}
		most := d.mostInASecond(s.id, s.registered.Add(warmUp))
		d.log("%s got at most %d requests in one second while it was cold; allowed %.2f", s.id, most, coldBound)
		if float64(most) > coldBound {
			broken = append(broken, fmt.Sprintf("cold server %s got %d requests in one second; allowed %.2f", s.id, most, coldBound))
		}
	}
	return broken, nil
}

// mostInASecond returns the largest number of requests that were sent to the machines and reached a server inside
// one second, until a time.
func (d *deployment) mostInASecond(server string, until time.Time) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	arrivals := slices.Clone(d.arrivals[server])
	slices.SortFunc(arrivals, func(a, b arrival) int { return a.at.Compare(b.at) })
	most := 0
	for last := range arrivals {
		if arrivals[last].at.After(until) {
			break
		}
		from, count := arrivals[last].at.Add(-time.Second), 0
		for _, a := range arrivals[:last+1] {
			if a.at.After(from) && d.sentAt[strings.TrimSpace(a.request)].After(from) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}
