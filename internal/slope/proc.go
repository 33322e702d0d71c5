package slope

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A process is a child process of the measurement.
type process struct {
	cmd *exec.Cmd
	// admin is the admin address of an entry, empty for other processes.
	admin   string
	readers sync.WaitGroup

	mu sync.Mutex
	// adopted holds the time at which the process logged the adoption of a
	// version.
	adopted map[wick.BundleVersion]time.Time
	// last is the last other line on standard error.
	last string
}

// startProcess starts the program. If firstLine is set, it waits for the first
// line of standard output and returns it.
func startProcess(ctx context.Context, binary string, firstLine bool, args ...string) (*process, string, error) {
	prc := &process{cmd: exec.CommandContext(ctx, binary, args...), adopted: make(map[wick.BundleVersion]time.Time)}
	stderr, err := prc.cmd.StderrPipe()
	if err != nil {
		return nil, "", eris.Wrap(err, "slope: start process")
	}
	stdout, err := prc.cmd.StdoutPipe()
	if err != nil {
		return nil, "", eris.Wrap(err, "slope: start process")
	}
	if err := prc.cmd.Start(); err != nil {
		return nil, "", eris.Wrap(err, "slope: start process")
	}
	prc.readers.Go(func() { prc.readLog(stderr) })
	out := bufio.NewReader(stdout)
	line := ""
	if firstLine {
		if line, err = out.ReadString('\n'); err != nil {
			prc.stop()
			return nil, "", eris.Wrapf(err, "slope: %s did not start: %s", args[0], prc.lastLine())
		}
	}
	prc.readers.Go(func() { _, _ = io.Copy(io.Discard, out) })
	return prc, strings.TrimSpace(line), nil
}

// readLog records the arrival time of log lines, because their own timestamps
// have a resolution of one second.
func (prc *process) readLog(stderr io.Reader) {
	scn := bufio.NewScanner(stderr)
	for scn.Scan() {
		now := time.Now()
		var line struct {
			Message string             `json:"msg"`
			Version wick.BundleVersion `json:"version"`
		}
		isJSON := json.Unmarshal(scn.Bytes(), &line) == nil
		prc.mu.Lock()
		if isJSON && line.Message == "config: bundle adopted" {
			prc.adopted[line.Version] = now
		} else {
			prc.last = scn.Text()
		}
		prc.mu.Unlock()
	}
}

func (prc *process) lastLine() string {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	return prc.last
}

// adoptedAt returns the time at which the process adopted a version, or false if
// it has not adopted it yet.
func (prc *process) adoptedAt(ver wick.BundleVersion) (time.Time, bool) {
	prc.mu.Lock()
	defer prc.mu.Unlock()
	at, ok := prc.adopted[ver]
	return at, ok
}

// stop kills the process, whose state is not needed any more.
func (prc *process) stop() {
	_ = prc.cmd.Process.Kill()
	prc.readers.Wait()
	_ = prc.cmd.Wait()
}
