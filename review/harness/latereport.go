//go:build review

package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["late-report"] = lateReport }

// Times of the case, counted from the store's confirmation that the server is draining.
const (
	// drainTime is the bound drain_ms.
	drainTime = 3000 * time.Millisecond
	// lateAt is when the report that was held up reaches the store.
	lateAt = 3100 * time.Millisecond
	// servesFor is how long the server serves on: drain_ms and a little longer.
	servesFor  = 3700 * time.Millisecond
	uploadWork = 150 * time.Millisecond
	// uploadPause is a client's pause between two uploads.
	uploadPause = 350 * time.Millisecond
)

// lateReport has a server leave. The bytes of its last report before that, ready, are held up on its way to the
// store, so that it gets no response, and reach the store seconds later. With TROUBLE=0 nothing is held up.
func lateReport(d *deployment, trouble bool) (int, error) {
	if err := d.bringUp(uploadWork); err != nil {
		return failed, err
	}
	// A second server of the zone goes on.
	if _, err := d.addServer(zones[0].name, "sleeplog-api", uploadWork); err != nil {
		return failed, err
	}
	time.Sleep(time.Second)
	leaving := d.servers[0]
	var mu sync.Mutex
	arrivals := map[string]time.Time{}
	leaving.arrived = func(id string) {
		mu.Lock()
		defer mu.Unlock()
		arrivals[id] = time.Now()
	}
	answers := map[string]answer{}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	// Four clients of the zone at each of its machines, together 20 to 25 uploads a second.
	for n := range 12 {
		clients.Go(func() {
			time.Sleep(time.Duration(n) * uploadPause / 12)
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(uploadPause):
				}
				machine := d.instances[n%3]
				q := upload(fmt.Sprintf("upload-%d-%03d", n, k))
				c, err := open(machine.callers())
				if err != nil {
					continue
				}
				d.record.add("client %d sends %s to %s", n, q.id, machine.name)
				a := c.exchange(q)
				_ = c.Close()
				d.record.add("client %d: %s: %v", n, q.id, a)
				mu.Lock()
				answers[q.id] = a
				mu.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	release := func() {}
	if trouble {
		release = leaving.link.holdNext()
		d.record.add("the next report of server %s is held up on its link to the store", leaving.id)
	}
	err := leaving.report()
	if trouble == (err == nil) {
		return failed, fmt.Errorf("the report before the leaving: %v", err)
	}
	leaving.setState("draining")
	if err := leaving.report(); err != nil {
		return failed, fmt.Errorf("the report of the leaving: %w", err)
	}
	confirmed := time.Now()
	time.Sleep(time.Until(confirmed.Add(lateAt)))
	if trouble {
		d.record.add("the report that was held up reaches the store")
	}
	release()
	time.Sleep(time.Until(confirmed.Add(servesFor)))
	d.record.add("server %s ends", leaving.id)
	if err := leaving.leave(); err != nil {
		return failed, fmt.Errorf("the removal of the server's entry: %w", err)
	}
	leaving.close()
	time.Sleep(time.Second)
	close(stop)
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	late, lost := 0, 0
	for id, at := range arrivals {
		after := at.Sub(confirmed)
		if after <= drainTime {
			continue
		}
		late++
		began, finished := d.runs(id)
		if began > finished && answers[id].status != 200 {
			lost++
		}
		d.record.add("%s reached server %s %d ms after the confirmation; its client: %v", id, leaving.id, after.Milliseconds(), answers[id])
	}
	d.record.add("%d uploads reached the server later than drain_ms, 3,000 ms, after the confirmation, and %d of them were cut off at its end; DRAIN allows none", late, lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
