// Package procs tests the built program as separate processes that are killed,
// paused and drained, which tests inside one process can't do.
package procs

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binary is the built program.
var binary string

// sites bounds the sites that run at once: each is 14 processes.
var sites = make(chan struct{}, 6)

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
	// Without the race detector: the test checks outcomes of the program as it
	// is shipped, and the detector slows it about tenfold.
	out, err := exec.Command("go", "build", "-o", binary, "../../cmd/wagtailwick").CombinedOutput()
	if err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}
