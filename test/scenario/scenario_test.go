// Package scenario runs the scripts of testdata against deployments of real
// processes on loopback addresses. Each script is named for the guarantee that it
// tests. Scripts check the stand-ins' journals and the output of operators' commands.
package scenario

import (
	"fmt"
	"os"
	"os/exec"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// binaries is the directory of the programs under test.
var binaries string

// deploymentSlots bounds the number of concurrent deployments.
var deploymentSlots = make(chan struct{}, 3)

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "lilacweir-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	build := exec.Command("go", "build", "-o", directory, "./cmd/...")
	build.Dir = "../.."
	if output, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, output)
		return 1
	}
	binaries = directory
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                "testdata",
		Cmds:               verbs(),
		RequireUniqueNames: true,
	})
}
