package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// A slowOut blocks until it is released.
type slowOut struct {
	mu   sync.Mutex
	hold chan struct{}
	buf  bytes.Buffer
}

func (out *slowOut) Write(data []byte) (int, error) {
	<-out.hold
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.buf.Write(data)
}

func (out *slowOut) text() string {
	out.mu.Lock()
	defer out.mu.Unlock()
	return out.buf.String()
}

// TestWriter guards against requests that wait for a log that is not read, and
// against lines that vanish without a word.
func TestWriter(t *testing.T) {
	out := &slowOut{hold: make(chan struct{})}
	wri := New(out)
	began := time.Now()
	for range 5000 {
		if _, err := wri.Write([]byte("line\n")); err != nil {
			t.Error(err)
		}
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("5,000 lines took %v while nobody reads", took)
	}
	close(out.hold)
	wri.Close()
	text := out.text()
	if num := strings.Count(text, "line\n"); num == 0 || num > queueLines+lineBurst {
		t.Errorf("%d lines were written", num)
	}
	if !strings.Contains(text, "logs: lines dropped") {
		t.Error("nothing is said of the dropped lines")
	}
}

// TestOrder guards against lines that are mixed up or lost at the end.
func TestOrder(t *testing.T) {
	out := &slowOut{hold: make(chan struct{})}
	close(out.hold)
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
