package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases by name. Each returns what broke the rule, empty if it held.
var cases = map[string]func(d *deployment, trouble bool) ([]string, error){
	"spot":   playSpot,
	"cold":   playCold,
	"silent": playSilent,
}

// play plays a case from the repository's root and returns the exit status.
func play(name, record string) int {
	run := cases[name]
	if run == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitFailed
	}
	d, err := newDeployment(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		d.close()
		os.Exit(exitFailed)
	}()
	broken, err := run(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		d.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, line := range broken {
		d.log("BROKEN %s", line)
		fmt.Println("BROKEN", line)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	d.log("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
