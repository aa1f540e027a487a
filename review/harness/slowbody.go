//go:build review

package main

import (
	"fmt"
	"io"
	"sync"
	"syscall"
	"time"
)

func init() { cases["slow-body"] = slowBody }

const (
	// routeTimeout is timeout_ms of the route, and answerSlack the time after it within which an answer is due.
	routeTimeout = 1200 * time.Millisecond
	answerSlack  = 500 * time.Millisecond
	// bodyPause is how long the rest of a body is held up on its way from the client.
	bodyPause = 4 * time.Second
	// shortPause replaces it without the disruption.
	shortPause = 200 * time.Millisecond
)

// leaveWithHalfABody records how long a machine takes to leave while a body never ends. It is no part of the verdict.
func (d *deployment) leaveWithHalfABody(machine *instance) error {
	c, err := open(machine.callers())
	if err != nil {
		return err
	}
	defer c.Close()
	q := upload("upload-without-end")
	_, _ = io.WriteString(c, q.head()+q.body[:len(q.body)/2])
	time.Sleep(routeTimeout + answerSlack)
	terminated := time.Now()
	machine.signal(syscall.SIGTERM)
	<-machine.exited
	d.record.add("beside the verdict: %s ended %.1f s after SIGTERM, with one request whose body never ends", machine.name, time.Since(terminated).Seconds())
	return nil
}

// slowBody has ten clients upload. The second half of each body is held up on the client's way for four seconds.
// With TROUBLE=0 it is held up for a fifth of a second.
func slowBody(d *deployment, trouble bool) (int, error) {
	if err := d.bringUp(30 * time.Millisecond); err != nil {
		return failed, err
	}
	pause := shortPause
	if trouble {
		pause = bodyPause
	}
	machine := d.instances[0]
	const clients = 10
	answeredAfter := make([]time.Duration, clients)
	var all sync.WaitGroup
	for n := range clients {
		c, err := open(machine.callers())
		if err != nil {
			return failed, err
		}
		defer c.Close()
		all.Go(func() {
			q := upload(fmt.Sprintf("upload-%d", n))
			sent := time.Now()
			d.record.add("client %d sends %s to %s, half of its body", n, q.id, machine.name)
			_, _ = io.WriteString(c, q.head()+q.body[:len(q.body)/2])
			go func() {
				time.Sleep(time.Until(sent.Add(pause)))
				d.record.add("client %d: the rest of the body of %s goes on", n, q.id)
				_, _ = io.WriteString(c, q.body[len(q.body)/2:])
			}()
			a := c.read(q.method, pause+5*time.Second)
			answeredAfter[n] = time.Since(sent)
			began, _ := d.runs(q.id)
			d.record.add("client %d: %s: %v after %d ms; run %d times", n, q.id, a, answeredAfter[n].Milliseconds(), began)
		})
	}
	all.Wait()
	late := 0
	for _, after := range answeredAfter {
		if after > routeTimeout+answerSlack {
			late++
		}
	}
	if trouble {
		if err := d.leaveWithHalfABody(machine); err != nil {
			return failed, err
		}
	}
	d.record.add("%d of %d requests had no answer 500 ms after their route's timeout_ms, 1,200 ms; CONFIG allows seven, or a quarter", late, clients)
	if late >= 8 && 4*late > clients {
		return broken, nil
	}
	return held, nil
}
