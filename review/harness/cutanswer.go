//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

func init() { cases["cut-answer"] = cutAnswer }

const (
	// crashes is the number of servers that crash, one after the other, sideClients that of clients whose
	// uploads give the machine channels to a server.
	crashes     = 5
	sideClients = 4
	// silentFor is the time for which a channel has been silent when the server crashes.
	silentFor = 600 * time.Millisecond
)

// cutAnswer has servers crash in the middle of answers that have no length. As the disruption, one of the channels that
// the machine keeps to the server has gone silent before. With TROUBLE=0 the servers crash, and no channel is silent.
func cutAnswer(d *deployment, trouble bool) (int, error) {
	if err := d.bringUp(30 * time.Millisecond); err != nil {
		return failed, err
	}
	defer func() {
		for _, s := range d.raw {
			s.end()
		}
	}()
	// The region's only server is one that crashes.
	if err := d.servers[0].leave(); err != nil {
		return failed, err
	}
	d.servers[0].close()
	wrong := 0
	for n := range crashes {
		looksWhole, err := d.crashInAnswer(n, trouble)
		if err != nil {
			return failed, err
		}
		if looksWhole {
			wrong++
		}
	}
	d.record.add("%d of %d answers that their server's crash cut off looked complete; MIXED allows none", wrong, crashes)
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

// crashInAnswer starts a server that crashes in the middle of an answer, and reports whether that answer looks whole.
func (d *deployment) crashInAnswer(n int, trouble bool) (looksWhole bool, err error) {
	server, err := d.startRawServer(zones[0].name)
	if err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	machine := d.instances[n%3]
	// Other clients' uploads, of which the machine keeps channels to the server.
	var all sync.WaitGroup
	for k := range sideClients {
		all.Go(func() {
			time.Sleep(time.Duration(k) * 10 * time.Millisecond)
			o, err := open(machine.callers())
			if err != nil {
				return
			}
			defer o.Close()
			q := upload(fmt.Sprintf("other-%d-%d", n, k))
			d.record.add("another client's %s: %v", q.id, o.exchange(q))
		})
	}
	all.Wait()
	if trouble {
		if err := server.silence(); err != nil {
			return false, err
		}
	}
	c, err := open(machine.callers())
	if err != nil {
		return false, err
	}
	defer c.Close()
	q := upload(fmt.Sprintf("unframed-%d", n))
	d.record.add("a client sends %s to %s", q.id, machine.name)
	_, _ = io.WriteString(c, q.head()+q.body)
	select {
	case <-server.begun:
	case <-time.After(2 * time.Second):
		return false, fmt.Errorf("%s did not reach server %s: %v", q.id, server.id, c.read(q.method, time.Second))
	}
	time.Sleep(silentFor)
	server.crash()
	d.record.add("server %s crashes", server.id)
	a := c.read(q.method, 3*time.Second)
	d.record.add("the client of %s: %v, Content-Length %q; the server's whole body has %d bytes", q.id, a, a.header.Get("Content-Length"), len(wholeAnswer(q.id)))
	d.store.Drop("servers/" + server.id)
	time.Sleep(300 * time.Millisecond)
	return a.err == nil && a.status == http.StatusOK && a.body != wholeAnswer(q.id), nil
}
