package site

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestEntryExitsAtStart guards against a site that waits until its timeout and
// doesn't report the cause when an entry has exited at startup. An entry does so
// if an outgoing connection occupies its port between the search for a free port
// and the call to listen.
func TestEntryExitsAtStart(t *testing.T) {
	sit, err := Start(Plan{Entries: []wick.Zone{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	defer sit.Close()
	set, err := sit.settings("b1", "b")
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", set.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	sit.run(set)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err = sit.WaitVersion(ctx, 1)
	if !errors.Is(err, wick.ErrStopped) || !strings.Contains(err.Error(), "b1") {
		t.Errorf("error is %v, want ErrStopped naming b1", err)
	}
}

// TestCloseAtStart guards against an entry that never exits when it is stopped
// during startup.
func TestCloseAtStart(t *testing.T) {
	for range 5 {
		sit, err := Start(Plan{Entries: []wick.Zone{"a", "b"}})
		if err != nil {
			t.Fatal(err)
		}
		sit.Close()
	}
}
