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

// TestTraces checks the guarantees end to end under reclaimed zones, lost store
// responses, store outages, killed and drained entries, and bad versions.
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

// TestUnmetExpectations guards against checks that never fail: no expectation
// of this trace is met.
func TestUnmetExpectations(t *testing.T) {
	t.Parallel()
	res, err := Run(context.Background(), readTrace(t, "missed.jsonl"), io.Discard)
	if !errors.Is(err, ErrUnmet) {
		t.Fatalf("error is %v, want ErrUnmet", err)
	}
	text := strings.Join(res.Unmet, "\n")
	for _, want := range []string{
		"complete quotes was answered", "complete quotes took", "orders/book k-0 was refused", "share of answered calls",
		"version q1 got", "moves: none is",
	} {
		if !strings.Contains(text, want) {
			t.Errorf("failed expectations lack %q:\n%s", want, text)
		}
	}
}

// TestRead guards against malformed traces, such as misspelt field names, that
// are accepted and so leave expectations unchecked.
func TestRead(t *testing.T) {
	for name, text := range map[string]string{
		"empty":         "",
		"no steps":      `{"name":"x"}`,
		"unknown field": "{\"name\":\"x\"}\n{\"at\":1,\"expects\":[\"answered\"]}",
		"no JSON":       "{\"name\":\"x\"}\nat 1",
	} {
		t.Run(name, func(t *testing.T) {
			if _, err := Read(strings.NewReader(text)); err == nil {
				t.Error("Read accepted a malformed trace")
			}
		})
	}
}
