package procs

import (
	"context"
	"errors"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestExample guards against an example script that fails or loses a call.
func TestExample(t *testing.T) {
	t.Parallel()
	siteSlots <- struct{}{}
	defer func() { <-siteSlots }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, "../../examples/site.sh", binary)
	// On SIGTERM the script stops its own processes.
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 10 * time.Second
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("site.sh: %v\n%s", err, out)
	}
	for _, want := range []string{"entry c1 serving version 1 confirmed", "entry a2 has ended", "all calls were answered"} {
		if !strings.Contains(string(out), want) {
			t.Errorf("output lacks %q:\n%s", want, out)
		}
	}
}

// output runs a command, checks its exit code and returns its output.
func (wld *world) output(code int, args ...string) string {
	wld.t.Helper()
	out, err := exec.CommandContext(wld.t.Context(), binary, args...).CombinedOutput()
	got := 0
	var ext *exec.ExitError
	if errors.As(err, &ext) {
		got = ext.ExitCode()
	}
	if got != code {
		wld.t.Errorf("wagtailwick %s: exit code %d, want %d\n%s", strings.Join(args, " "), got, code, out)
	}
	return string(out)
}

// TestOperatorCommands guards against commands that misreport the state of a
// running site or hide failed calls.
func TestOperatorCommands(t *testing.T) {
	wld := start(t)
	wantOutput := func(out, text string) {
		t.Helper()
		if !strings.Contains(out, text) {
			t.Errorf("output lacks %q:\n%s", text, out)
		}
	}
	out := wld.output(0, "bundle", "status", "--store", wld.store, "--wait", "1", "--entries", "5")
	wantOutput(out, "zone b entry b2 serving version 1 confirmed\n")
	out = wld.output(1, "bundle", "status", "--store", wld.store, "--wait", "2", "--timeout", "300ms")
	wantOutput(out, "version 2 not in force on 1 entries after 300ms")
	admin := wld.entries["c1"].Listen.Admin
	out = wld.output(0, "dump", "--admin", admin, "--part", "entry")
	wantOutput(out, `"state": "serving"`)
	if strings.Contains(out, `"storeUrl"`) {
		t.Errorf("dump of part entry includes the settings: %s", out)
	}
	wantOutput(wld.output(1, "dump", "--admin", admin, "--part", "nosuch"), `no part "nosuch", there are [config entry`)
	load := []string{
		"load", "--entry", "http://" + wld.entries["c1"].Listen.Callers, "--key", "site-key", "--model", "quotes",
		"--rate", "10", "--duration", "1s", "--max-tokens", "5", "--deadline", "3s", "--strict",
	}
	wld.signal("c1", syscall.SIGKILL)
	wantOutput(wld.output(1, load...), "calls were broken or their outcome is unknown")
}

// TestDirectLoad guards against calls that bypass the entries being counted with
// those through entries.
func TestDirectLoad(t *testing.T) {
	wld := start(t)
	file := wld.file("gpu-x.addr")
	wld.spawn("gpu-x", "standin", "engine", "--model-version", "v1", "--addr-file", file)
	out := wld.output(0, "load", "--entry", "http://"+wld.entries["a1"].Listen.Callers, "--key", "site-key", "--model", "quotes",
		"--rate", "10", "--duration", "1s", "--max-tokens", "5", "--strict", "--direct", wld.address(file), "--model-version", "v1")
	direct, proxied, ok := strings.Cut(out, "through entries:")
	if !ok || !strings.Contains(direct, "answered   5\n") || !strings.Contains(proxied, "answered   5\n") {
		t.Errorf("want 5 direct calls and 5 through entries:\n%s", out)
	}
}
