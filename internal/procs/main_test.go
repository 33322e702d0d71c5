// Package procs tests the built program as separate processes that are killed,
// paused and drained, which is not possible in tests within one process.
package procs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the path of the built program.
var binary string

// siteSlots is a semaphore that limits concurrent sites to 6, as each runs 14
// processes.
var siteSlots = make(chan struct{}, 6)

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "procs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binary = filepath.Join(dir, "wagtailwick")
	// Built without the race detector: the tests check the program as shipped, and
	// the detector slows it down about tenfold.
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/wagtailwick").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
