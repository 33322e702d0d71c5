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

// TestEntryEndsAtStart guards against a site that waits in vain, and says
// nothing of the cause, when one of its entries ended at its start: here its
// port was taken by an outgoing connection between the search and the listener.
func TestEntryEndsAtStart(t *testing.T) {
	sit, err := Start(Plan{Entries: []wick.Zone{"a"}})
	if err != nil {
		t.Fatal(err)
	}
	defer sit.Close()
	set, err := sit.settings("b1", "b")
	if err != nil {
		t.Fatal(err)
	}
	taken, err := net.Listen("tcp", set.Listen.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	sit.run(set)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	err = sit.WaitVersion(ctx, 1)
	if !errors.Is(err, wick.ErrStopped) || !strings.Contains(err.Error(), "b1") {
		t.Errorf("error is %v, want ErrStopped that names b1", err)
	}
}

// TestCloseAtStart guards against an entry that is stopped in its first moments
// and never ends.
func TestCloseAtStart(t *testing.T) {
	for range 5 {
		sit, err := Start(Plan{Entries: []wick.Zone{"a", "b"}})
		if err != nil {
			t.Fatal(err)
		}
		sit.Close()
	}
}
