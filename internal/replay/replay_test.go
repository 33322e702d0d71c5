package replay

import (
	"context"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	m.Run()
}

func readTrace(t *testing.T, name string) Trace {
	t.Helper()
	src, err := os.Open(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	defer src.Close()
	trc, err := Read(src)
	if err != nil {
		t.Fatal(err)
	}
	return trc
}

// TestTraces guards the promises over the whole path: reclaimed zones, lost
// answers and outages of the store, killed and drained entries, bad versions.
func TestTraces(t *testing.T) {
	for _, name := range []string{"lachance.jsonl", "association.jsonl"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			res, err := Run(context.Background(), readTrace(t, name), io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("fates: %v", res.Fates)
		})
	}
}

// TestMissed guards against checks of a trace that can't fail: each stated
// outcome of this trace is missed.
func TestMissed(t *testing.T) {
	t.Parallel()
	res, err := Run(context.Background(), readTrace(t, "missed.jsonl"), io.Discard)
	if !errors.Is(err, ErrMissed) {
		t.Fatalf("error is %v, want ErrMissed", err)
	}
	text := strings.Join(res.Missed, "\n")
	for _, want := range []string{
		"complete quotes was answered", "complete quotes took", "orders/book k-0 was refused", "share of answered calls",
		"version q1 got", "moves: none is",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("missing %q in:\n%s", want, text)
		}
	}
}

// TestRead guards against misspelt expectations that would be passed over.
func TestRead(t *testing.T) {
	for name, text := range map[string]string{
		"empty":         "",
		"no steps":      `{"name":"x"}`,
		"unknown field": "{\"name\":\"x\"}\n{\"at\":1,\"expects\":[\"answered\"]}",
		"no JSON":       "{\"name\":\"x\"}\nat 1",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Read(strings.NewReader(text)); err == nil {
				t.Error("trace was accepted")
			}
		})
	}
}
