// Command ci reads the output of `go test -json` on standard input and decides whether
// continuous integration passes.
//
// Every failure fails the run, except for the tests that KNOWN-RED.txt lists, which are
// printed. The run also fails for a package that fails without a failed test, a panic, a
// test that did not finish or was skipped, and a line of KNOWN-RED.txt that names no test
// that ran.
package main

import (
	"flag"
	"fmt"
	"os"
)

func main() { os.Exit(run()) }

func run() int {
	knownFile := flag.String("known", "KNOWN-RED.txt", "file that lists tests known to fail")
	module := flag.String("module", "github.com/lilacweir/lilacweir", "module path, cut from package names")
	status := flag.Int("status", 0, "exit status of go test")
	flag.Parse()
	known, err := readKnown(*knownFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ci:", err)
		return 1
	}
	results, err := readEvents(os.Stdin, *module)
	if err != nil {
		fmt.Fprintln(os.Stderr, "ci:", err)
		return 1
	}
	if !evaluate(results, known, *status).print(os.Stdout) {
		return 1
	}
	return 0
}
