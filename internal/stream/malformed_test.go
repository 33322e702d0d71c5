package stream

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// acceptReplicated accepts a request at the first entry and returns it with its replica,
// which has all of its events.
func acceptReplicated(t *testing.T, wld *world) (*Request, *simEntry) {
	t.Helper()
	req, err := wld.entries[0].tab.Accept(t.Context(), Head{Customer: "cus", Prompt: wick.Prompt{Text: "kept"}, MaxTokens: 50})
	if err != nil {
		t.Fatal(err)
	}
	req.AwaitReplica(t.Context())
	for _, ent := range wld.entries[1:] {
		if ent.tab.find(req.Head.ID) != nil {
			return req, ent
		}
	}
	t.Fatal("no replica")
	return nil, nil
}

// TestMalformedCounts guards against messages of an entry that state a number of events
// twice, or a negative one: a replica took events at the wrong place, and the handler of a
// handover panicked while it held the lock of the request.
func TestMalformedCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wld := newWorld(1, faults{}, ablation{})
		defer wld.shutdown()
		req, ent := acceptReplicated(t, wld)
		rid := req.Head.ID
		encode := func(val any) []byte {
			data, err := cbor.Marshal(val)
			if err != nil {
				t.Fatal(err)
			}
			return data
		}
		twice := encode(map[string]any{"id": rid, "events": 0, "digest": 0})
		// Another pair "events": 7, and one more in the number of pairs.
		twice[0]++
		twice = append(twice, append(encode("events"), 7)...)
		for name, tst := range map[string]struct {
			to   *simEntry
			typ  wick.MessageType
			body []byte
		}{
			"copy behind a negative number": {ent, wick.MsgStreamCopy, encode(copyBody{1, []copyItem{{ID: rid, After: -2, Texts: []string{"a", "b", "c"}}}})},
			"fetch":                         {ent, wick.MsgStreamFetch, encode(fetchBody{ID: rid, Customer: "cus", Events: -1, WaitMillis: 10})},
			"handover":                      {ent, wick.MsgStreamTakeover, encode(handoverBody{ID: rid, Events: -1})},
			"handover to the holder":        {wld.entries[0], wick.MsgStreamTakeover, encode(handoverBody{ID: rid, Events: -1})},
			"handover with two numbers":     {ent, wick.MsgStreamTakeover, twice},
		} {
			_, err := tst.to.tab.Handlers()[tst.typ](t.Context(), "e0", tst.body)
			if !errors.Is(err, wick.ErrInvalid) {
				t.Errorf("%s: error %v, want %v", name, err, wick.ErrInvalid)
			}
		}
		replica := ent.tab.find(rid)
		replica.mu.Lock()
		defer replica.mu.Unlock()
		for idx, text := range replica.texts {
			if text == "a" || text == "b" || text == "c" {
				t.Errorf("event %d is %q", idx, text)
			}
		}
	})
}

// TestMalformedAcknowledgement guards against a process that ends because the replica of a
// request states a negative number of events.
func TestMalformedAcknowledgement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		wld := newWorld(1, faults{}, ablation{})
		defer wld.shutdown()
		req, ent := acceptReplicated(t, wld)
		for _, num := range []int{-1, 1 << 40} {
			req.applyCopyResult(ent.mem, copyResult{Have: num})
			itm := req.nextItem(maxBatchBytes)
			req.mu.Lock()
			events := len(req.texts)
			req.mu.Unlock()
			if itm.After < 0 || itm.After > events {
				t.Errorf("the replica has %d events, the request %d", itm.After, events)
			}
		}
		time.Sleep(time.Second)
	})
}
