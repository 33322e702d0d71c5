package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// A blockedWriter blocks until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	buf     bytes.Buffer
}

func (out *blockedWriter) Write(data []byte) (int, error) {
	<-out.release
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.buf.Write(data)
}

func (out *blockedWriter) text() string {
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.buf.String()
}

// TestWriter guards against requests that block on a stalled log writer, and
// against lines that are dropped without a report.
func TestWriter(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	wri := New(out)
	began := time.Now()
	for range 5000 {
		if _, err := wri.Write([]byte("line\n")); err != nil {
			t.Error(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("5,000 lines took %v while the writer is blocked", took)
	}
	close(out.release)
	wri.Close()
	text := out.text()
	if num := strings.Count(text, "line\n"); num == 0 || num > queueLines+lineBurst {
		t.Errorf("%d lines were written", num)
	}
	if !strings.Contains(text, "logs: lines dropped") {
		t.Error("no report of the dropped lines")
	}
}

// TestOrder guards against lines that are reordered or lost on Close.
func TestOrder(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	close(out.release)
	wri := New(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, _ = wri.Write([]byte(line))
	}
	wri.Close()
	wri.Close()
	if got := out.text(); got != "a\nb\nc\n" {
		t.Errorf("wrote %q", got)
	}
}
