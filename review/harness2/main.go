// Command harness2 holds the stand-ins of the review's scripts, and plays the cases.
//
//	harness2 server -id ID -service NAME -listen ADDRESS   one server process
//	harness2 play CASE RECORD                              one case; what was seen goes into the file RECORD
//
// All addresses are loopback addresses.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	switch {
	case len(os.Args) > 2 && os.Args[1] == "server":
		fail(runServer(os.Args[2:]))
	case len(os.Args) == 4 && os.Args[1] == "play":
		os.Exit(play(os.Args[2], os.Args[3]))
	default:
		fail(fmt.Errorf("usage: harness2 server ... | play CASE RECORD"))
	}
}

func fail(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}
