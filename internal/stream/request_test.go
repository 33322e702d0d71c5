package stream

import (
	"context"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// newTestRequest returns a running request of a table without a runner.
func newTestRequest(t *testing.T) *Request {
	t.Helper()
	tab := New(Config{Self: "e1"})
	req := newRequest(tab, Head{ID: "e1.x", Customer: "cus", MaxTokens: 10})
	req.owned, req.state = true, StateRunning
	if err := tab.insert(req); err != nil {
		t.Fatal(err)
	}
	return req
}

func token(att wick.AttemptID, idx int) wick.Token {
	return wick.Token{Attempt: att, Index: wick.Tokens(idx), Text: "t"}
}

// Guards against events that are accepted twice, out of order, from another
// attempt or beyond the bounds of the answer.
func TestAccept(t *testing.T) {
	for name, tst := range map[string]struct {
		tok   wick.Token
		want  error
		count int
	}{
		"next":           {token("one", 2), nil, 3},
		"duplicate":      {token("one", 1), nil, 2},
		"gap":            {token("one", 3), errGap, 2},
		"other attempt":  {token("two", 2), errStale, 2},
		"token too long": {wick.Token{Index: 2, Text: strings.Repeat("x", maxTokenBytes+1)}, wick.ErrTruncated, 2},
	} {
		t.Run(name, func(t *testing.T) {
			req := newTestRequest(t)
			req.begin(0, "one", wick.VM{})
			_ = req.accept("one", token("one", 0))
			_ = req.accept("one", token("one", 1))
			if err := req.accept("one", tst.tok); !errors.Is(err, tst.want) || req.count() != tst.count {
				t.Errorf("got %v and %d events", err, req.count())
			}
		})
	}
}

// Guards against answers that are treated as complete without a correct end
// marker.
func TestSettleChecksEndMarker(t *testing.T) {
	for name, tst := range map[string]struct {
		gen  wick.Generated
		want error
	}{
		"complete":      {wick.Generated{Attempt: "one", Count: 1, Finish: wick.FinishStop}, nil},
		"no marker":     {wick.Generated{Attempt: "one", Count: 1}, wick.ErrTruncated},
		"wrong count":   {wick.Generated{Attempt: "one", Count: 2, Finish: wick.FinishStop}, wick.ErrTruncated},
		"other attempt": {wick.Generated{Attempt: "two", Count: 1, Finish: wick.FinishStop}, wick.ErrTruncated},
	} {
		t.Run(name, func(t *testing.T) {
			req := newTestRequest(t)
			req.begin(0, "one", wick.VM{})
			_ = req.accept("one", token("one", 0))
			err := req.settle("one", tst.gen, nil, phaseMaybeRan)
			if !errors.Is(err, tst.want) || (req.State() == StateDone) != (tst.want == nil) {
				t.Errorf("got %v, state %s", err, req.State())
			}
		})
	}
}

// Guards against an answer that is treated as complete because the engine ends the stream
// of a run that this entry has cancelled like that of a complete one.
func TestSettleAfterCancel(t *testing.T) {
	req := newTestRequest(t)
	req.begin(0, "one", wick.VM{})
	_ = req.accept("one", token("one", 0))
	if !req.detachAttempt("one") {
		t.Fatal("the attempt is not current")
	}
	err := req.settle("one", wick.Generated{Attempt: "one", Count: 1, Finish: wick.FinishLength}, nil, phaseMaybeRan)
	if !errors.Is(err, errStale) || req.State() != StateRunning {
		t.Errorf("got %v, state %s", err, req.State())
	}
}

// Guards against late events that are accepted after the engine call has ended
// while the runner still handles a move (simulation, everything, seed 5).
func TestEventsAfterEndOfAttemptAreStale(t *testing.T) {
	req := newTestRequest(t)
	req.begin(0, "one", wick.VM{})
	req.markAttemptEnded("one")
	if err := req.accept("one", token("one", 0)); !errors.Is(err, errStale) {
		t.Errorf("got %v, want %v", err, errStale)
	}
}

// Guards against a continuation that differs from what the caller has received.
func TestCursorIsChecked(t *testing.T) {
	for name, tst := range map[string]struct {
		id       string
		verified int
		want     error
	}{
		"start":                       {"", 0, nil},
		"matching digest":             {Cursor{1, digestAfter(0, "t"), true}.String(), 0, nil},
		"other digest":                {Cursor{1, digestAfter(0, "u"), true}.String(), -1, ErrDiverged},
		"no digest, before takeover":  {"1", 1, nil},
		"no digest, after a takeover": {"1", 0, ErrDiverged},
	} {
		t.Run(name, func(t *testing.T) {
			req := newTestRequest(t)
			req.begin(0, "one", wick.VM{})
			_ = req.accept("one", token("one", 0))
			_ = req.accept("one", token("one", 1))
			req.verified = tst.verified
			cur, err := ParseCursor(tst.id)
			if err != nil {
				t.Fatal(err)
			}
			_, err = req.Attach(cur).Next(t.Context())
			if !errors.Is(err, tst.want) {
				t.Errorf("got %v, want %v", err, tst.want)
			}
		})
	}
	for _, bad := range []string{"x", "-1", "1-", "1-zz", "99999999999999999999"} {
		if _, err := ParseCursor(bad); !errors.Is(err, wick.ErrInvalid) {
			t.Errorf("%q: got %v", bad, err)
		}
	}
}

// Guards against a table that grows without bound.
func TestTableIsBounded(t *testing.T) {
	wld := newWorld(1, faults{}, ablation{})
	for name, cfg := range map[string]Config{
		"requests": {MaxRequests: 1}, "bytes": {MaxBytes: requestOverhead + 1},
	} {
		t.Run(name, func(t *testing.T) {
			cfg.Admitter = wld
			tab := New(cfg)
			if err := tab.insert(newRequest(tab, Head{ID: "e1.a"})); err != nil {
				t.Fatal(err)
			}
			_, err := tab.Accept(t.Context(), Head{})
			var fai *FailError
			if !errors.As(err, &fai) || !errors.Is(err, wick.ErrBusy) || fai.Executed != ExecutedNo {
				t.Errorf("got %v", err)
			}
		})
	}
}

// addOrphanReplica adds a replica of a request of e0 to e1.
func addOrphanReplica(wld *world) (*simEntry, wick.RequestID) {
	ent := wld.entries[1]
	rid := wick.RequestID("e0.lost")
	ent.tab.applyCopy("e0", 1, &copyItem{ID: rid, Head: &Head{
		ID: rid, Customer: "cus", Prompt: wick.Prompt{Text: "lost"}, MaxTokens: 200,
	}})
	return ent, rid
}

func readAll(ctx context.Context, rdr *Reader) (string, error) {
	defer rdr.Close()
	var bld strings.Builder
	for {
		bat, err := rdr.Next(ctx)
		if err != nil {
			return bld.String(), err
		}
		bld.WriteString(strings.Join(bat.Texts, ""))
		if bat.Done {
			return bld.String(), nil
		}
	}
}

// Guards against requests that no entry runs: an origin that restarts under its
// id within 3 s never exceeds the failure-detection timeout (simulation,
// deaths, seed 7), and a caller that resumed at the replica itself received
// "not found" (simulation, deaths, seed 1).
func TestReplicaTakesOver(t *testing.T) {
	for name, lose := range map[string]func(wld *world){
		"restarted": func(wld *world) { wld.entries[0].mem.Incarnation = 2 },
		"silent":    func(wld *world) { wld.entries[0].lostAt = time.Now() },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wld := newWorld(1, faults{}, ablation{})
				ent, rid := addOrphanReplica(wld)
				wld.mu.Lock()
				lose(wld)
				wld.mu.Unlock()
				got, err := readAll(t.Context(), ent.tab.Resume(rid, "cus", Cursor{}))
				if err != nil || got != answer("lost") {
					t.Errorf("got %q, %v", got, err)
				}
				if _, err := readAll(t.Context(), ent.tab.Resume(rid, "other", Cursor{})); !errors.Is(err, wick.ErrNotFound) {
					t.Errorf("another customer: got %v", err)
				}
				for _, oth := range wld.entries {
					oth.kill()
					oth.tab.Close()
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against requests that continue without a caller, and against finished
// requests that are never removed.
func TestIdleRequestEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wld := newWorld(1, faults{}, ablation{})
		ent := wld.entries[0]
		prompt := "0"
		for answerLen(prompt)%4 != 0 || answerLen(prompt) < 100 {
			prompt += "0"
		}
		req, err := ent.tab.Accept(t.Context(), Head{Prompt: wick.Prompt{Text: prompt}, MaxTokens: 200})
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(idleTimeout + time.Second)
		if _, err = req.Attach(Cursor{Events: req.count(), Digest: req.digestAt(req.count()), HasDigest: true}).
			Next(t.Context()); !errors.Is(err, ErrCancelled) {
			t.Errorf("got %v, want %v", err, ErrCancelled)
		}
		time.Sleep(retention + time.Second)
		if num, size := ent.tab.Size(); num != 0 || size != 0 {
			t.Errorf("%d requests and %d bytes left in the table", num, size)
		}
		for _, oth := range wld.entries {
			oth.kill()
			oth.tab.Close()
		}
	})
}
