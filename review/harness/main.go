//go:build review

// Command harness plays the cases of the review: it starts the system's own program as separate processes on
// loopback addresses, beside stand-ins for clients, servers and the platform's store.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(d *deployment, trouble bool) (int, error){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// maxTime bounds a case.
const maxTime = 100 * time.Second

var errEnded = errors.New("the case took too long or was interrupted")

// bounded runs a case until it ends, its time is over, or a signal ends it.
func bounded(run func() (int, error)) (code int, err error) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan struct{})
	var result int
	var failure error
	go func() {
		defer close(ended)
		result, failure = run()
	}()
	select {
	case <-ended:
		return result, failure
	case <-time.After(maxTime):
	case <-signals:
	}
	return failed, errEnded
}

func play(name, path string, trouble bool) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return failed
	}
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.file.Close()
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer d.close()
	code, err := bounded(func() (int, error) { return run(d, trouble) })
	if err != nil {
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	verdict := map[int]string{held: "the rule held", broken: "the rule was broken", failed: "the case could not run"}[code]
	r.add("%s", verdict)
	fmt.Println(verdict)
	return code
}
