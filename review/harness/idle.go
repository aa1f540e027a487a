//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"
)

func init() { cases["idle-channels"] = idleChannels }

const (
	// idleTimeout is idle_timeout_ms of the configuration, contactTime the bound contact_ms.
	idleTimeout = 15 * time.Second
	contactTime = 5 * time.Second
	// questionsPerSecond is a machine's part of the sheet's requests, 425 a second at seven machines.
	questionsPerSecond = 60
	// fillTime bounds the time for which residents ask. They stop once none was answered for quietTime.
	fillTime  = 72 * time.Second
	quietTime = 2 * time.Second
	// maxDescriptors is the machine's number of descriptors.
	maxDescriptors = 4100
	// residents try at the end, for tryTime.
	residents = 10
	tryTime   = 8 * time.Second
	// minTries is the least number of tries that the rule asks for.
	minTries = 7
)

// limitDescriptors gives a process the machine's number of descriptors.
func limitDescriptors(pid int) error {
	limit := syscall.Rlimit{Cur: maxDescriptors, Max: maxDescriptors}
	_, _, errno := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(pid), syscall.RLIMIT_NOFILE, uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if errno != 0 {
		return errno
	}
	return nil
}

// hasDescriptors returns an error unless this process, which plays the residents, may have so many descriptors.
func hasDescriptors(n uint64) error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if limit.Cur < n {
		return fmt.Errorf("the clients may have %d descriptors, and need %d", limit.Cur, n)
	}
	return nil
}

// idleChannels has residents ask one question each, on a channel of their own that they keep. As the disruption, they
// do not close it once it has been idle for idle_timeout_ms. With TROUBLE=0 they close it then.
func idleChannels(d *deployment, trouble bool) (int, error) {
	if err := d.bringUp(30 * time.Millisecond); err != nil {
		return failed, err
	}
	if err := d.addModels(20 * time.Millisecond); err != nil {
		return failed, err
	}
	if err := hasDescriptors(2 * maxDescriptors); err != nil {
		return failed, err
	}
	machine := d.instances[0]
	if err := limitDescriptors(machine.command.Process.Pid); err != nil {
		return failed, err
	}
	platform := newProbe(machine)
	if !platform.ready() {
		return failed, fmt.Errorf("%s is not ready", machine.name)
	}
	var kept sync.Mutex
	var channels []*channel
	defer func() {
		kept.Lock()
		defer kept.Unlock()
		for _, c := range channels {
			_ = c.Close()
		}
	}()
	var asked, answered, unanswered, answeredAt atomic.Int64
	begin := time.Now()
	answeredAt.Store(begin.UnixNano())
	d.record.add("residents ask %s, %d a second, each on a channel of its own", machine.name, questionsPerSecond)
	var all sync.WaitGroup
	ticker := time.NewTicker(time.Second / questionsPerSecond)
	defer ticker.Stop()
	for n := 0; time.Since(begin) < fillTime && time.Since(time.Unix(0, answeredAt.Load())) < quietTime; n++ {
		<-ticker.C
		all.Go(func() {
			asked.Add(1)
			c, err := open(machine.callers())
			if err != nil {
				unanswered.Add(1)
				return
			}
			kept.Lock()
			channels = append(channels, c)
			kept.Unlock()
			q := question(fmt.Sprintf("question-%d", n))
			a := c.exchange(q)
			runs, _ := d.runs(q.id)
			d.record.add("%s: %d, run %d times, %v", q.id, a.status, runs, a.err)
			if a.err != nil || a.status != http.StatusOK {
				unanswered.Add(1)
				return
			}
			answered.Add(1)
			answeredAt.Store(time.Now().UnixNano())
			if !trouble {
				time.AfterFunc(idleTimeout, func() { _ = c.Close() })
			}
		})
		if n%(10*questionsPerSecond) == 0 {
			d.record.add("%d questions asked, %d answered", asked.Load(), answered.Load())
		}
	}
	if time.Since(begin) < fillTime {
		d.record.add("none was answered for %v", quietTime)
	}
	all.Wait()
	d.record.add("after %.0f s: %d questions asked, %d answered, %d not", time.Since(begin).Seconds(), asked.Load(), answered.Load(), unanswered.Load())
	return d.tryNewChannels(machine, platform)
}

// tryNewChannels has residents try new channels for a while, and reports whether the machine took none of them while
// it said that it was ready.
func (d *deployment) tryNewChannels(machine *instance, platform *probe) (int, error) {
	var served, tried atomic.Int64
	var all sync.WaitGroup
	end := time.Now().Add(tryTime)
	for n := range residents {
		all.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				c, err := open(machine.callers())
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				tried.Add(1)
				q := question(fmt.Sprintf("try-%d-%d", n, k))
				d.record.add("resident %d sends %s to %s on a new channel", n, q.id, machine.name)
				_, _ = io.WriteString(c, q.head()+q.body)
				a := c.read(q.method, q.deadline)
				d.record.add("resident %d: %s: %v", n, q.id, a)
				if a.err == nil {
					served.Add(1)
				}
				_ = c.Close()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	ready := 0
	for time.Now().Before(end) {
		if platform.ready() {
			ready++
		}
		time.Sleep(time.Second)
	}
	all.Wait()
	d.record.add("the directory of %s names %s: %v", d.instances[1].name, machine.name, d.directoryNames(d.instances[1], machine))
	d.record.add("/readyz answered 200 %d times in %v, on the platform's kept channel", ready, tryTime)
	d.record.add("%d residents tried %d new channels in %v, and %d were taken; RECOVER allows a ready machine no %v without one", residents, tried.Load(), tryTime, served.Load(), contactTime)
	if tried.Load() < minTries {
		return failed, fmt.Errorf("only %d channels could be tried", tried.Load())
	}
	if served.Load() == 0 && ready >= int(contactTime/time.Second) {
		return broken, nil
	}
	return held, nil
}

// directoryNames reports whether an instance's directory names another one for clients of its zone.
func (d *deployment) directoryNames(asked, named *instance) bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:8143/resolve?name=ficu95.example&region=%s&zone=%s", asked.host, named.region, named.zone))
	if err != nil {
		return false
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return err == nil && strings.Contains(string(body), named.callers())
}

// probe is the platform's, which asks a machine on a channel that it keeps.
type probe struct {
	client http.Client
	url    string
}

func newProbe(i *instance) *probe {
	return &probe{client: http.Client{Timeout: time.Second}, url: "http://" + i.host + ":8140/readyz"}
}

func (p *probe) ready() bool {
	response, err := p.client.Get(p.url)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
