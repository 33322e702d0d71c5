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
	sites <- struct{}{}
	defer func() { <-sites }()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Second)
	defer cancel()
	cmd := exec.CommandContext(ctx, "../../examples/site.sh", binary)
	// The script ends its processes itself when it gets SIGTERM.
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

// output runs a command that must end with the given exit code.
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

// TestOperators guards against commands that show a running site wrongly, or
// that hide calls which failed.
func TestOperators(t *testing.T) {
	wld := start(t)
	want := func(out, text string) {
		t.Helper()
		if !strings.Contains(out, text) {
			t.Errorf("output lacks %q:\n%s", text, out)
		}
	}
	out := wld.output(0, "bundle", "status", "--store", wld.store, "--wait", "1", "--entries", "5")
	want(out, "zone b entry b2 serving version 1 confirmed\n")
	out = wld.output(1, "bundle", "status", "--store", wld.store, "--wait", "2", "--timeout", "300ms")
	want(out, "version 2 not in force on 1 entries after 300ms")
	admin := wld.entries["c1"].Listen.Admin
	out = wld.output(0, "dump", "--admin", admin, "--part", "entry")
	want(out, `"state": "serving"`)
	if strings.Contains(out, `"storeUrl"`) {
		t.Errorf("part entry shows the settings: %s", out)
	}
	want(wld.output(1, "dump", "--admin", admin, "--part", "nosuch"), `no part "nosuch", there are [config entry`)
	load := []string{
		"load", "--entry", "http://" + wld.entries["c1"].Listen.Callers, "--key", "site-key", "--model", "quotes",
		"--rate", "10", "--duration", "1s", "--max-tokens", "5", "--deadline", "3s", "--strict",
	}
	wld.signal("c1", syscall.SIGKILL)
	want(wld.output(1, load...), "calls were broken or their outcome is unknown")
}

// TestDirect guards against calls without an entry that are counted with the
// others.
func TestDirect(t *testing.T) {
	wld := start(t)
	file := wld.file("gpu-x.addr")
	wld.spawn("gpu-x", "standin", "engine", "--model-version", "v1", "--addr-file", file)
	out := wld.output(0, "load", "--entry", "http://"+wld.entries["a1"].Listen.Callers, "--key", "site-key", "--model", "quotes",
		"--rate", "10", "--duration", "1s", "--max-tokens", "5", "--strict", "--direct", wld.address(file), "--model-version", "v1")
	direct, through, ok := strings.Cut(out, "through entries:")
	if !ok || !strings.Contains(direct, "answered   5\n") || !strings.Contains(through, "answered   5\n") {
		t.Errorf("want 5 calls each way:\n%s", out)
	}
}
