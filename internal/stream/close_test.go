package stream

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Guards against goroutines that start while Close waits: a WaitGroup that
// grows from zero during Wait panics.
func TestCloseRejectsNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wld := newWorld(1, faults{}, ablation{})
		sim := &simPlain{claims: make(map[wick.IdempotencyKey]wick.ClaimResult)}
		tab := New(Config{Router: wld, Admitter: wld, Plain: sim, Ledger: sim, Invar: &wld.chk})
		tab.Close()
		if tab.spawn(func() {}) {
			t.Error("a goroutine was started after Close")
		}
		_, err := tab.Call(t.Context(), PlainQuery{Key: "k"})
		var fai *FailError
		if !errors.As(err, &fai) || fai.Executed != ExecutedNo {
			t.Errorf("call after Close: got %v", err)
		}
		if _, err := tab.Accept(t.Context(), Head{MaxTokens: 1}); err == nil {
			t.Error("a request was accepted after Close")
		}
		if got := tab.calls.Load(); sim.sent != 0 || got != 0 {
			t.Errorf("%d calls sent, %d counted", sim.sent, got)
		}
		for _, oth := range wld.entries {
			oth.kill()
		}
	})
}

// Guards against rejected plain calls that are never subtracted from the number
// of calls in flight, after which the table would reject every call.
func TestRefusedCallsAreNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wld := newWorld(1, faults{}, ablation{})
		sim := &simPlain{delay: time.Second, claims: make(map[wick.IdempotencyKey]wick.ClaimResult)}
		tab := New(Config{Router: wld, Admitter: wld, Plain: sim, Ledger: sim, Invar: &wld.chk, MaxRequests: 1})
		go func() { _, _ = tab.Call(context.Background(), PlainQuery{Idempotent: true}) }()
		synctest.Wait()
		for range 5 {
			if _, err := tab.Call(t.Context(), PlainQuery{Idempotent: true}); !errors.Is(err, wick.ErrBusy) {
				t.Errorf("call over the limit: got %v", err)
			}
		}
		time.Sleep(time.Minute)
		if _, err := tab.Call(t.Context(), PlainQuery{Idempotent: true}); err != nil {
			t.Errorf("call after the table emptied: %v", err)
		}
		tab.Close()
		for _, oth := range wld.entries {
			oth.kill()
		}
	})
}

// Guards against a replica that takes over while the origin still runs the
// request and waits for its first token: 40 of 40 requests ran twice at 40
// entries when takeover depended on heartbeats alone.
func TestWaitingRequestIsNotTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wld := newWorld(1, faults{prefill: 12 * time.Second, noHeartbeats: true}, ablation{})
		req, err := wld.entries[0].tab.Accept(t.Context(), Head{Customer: "cus", Prompt: wick.Prompt{Text: "waits"}, MaxTokens: 200})
		if err != nil {
			t.Fatal(err)
		}
		got, err := readAll(t.Context(), req.Attach(Cursor{}))
		if err != nil || got != answer("waits") {
			t.Errorf("got %q, %v", got, err)
		}
		if num := wld.ran["waits"]; num != 1 {
			t.Errorf("the request ran %d times", num)
		}
		for _, oth := range wld.entries {
			oth.kill()
			oth.tab.Close()
		}
		time.Sleep(time.Minute)
	})
}
