package fake_test

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/cloud"
	"github.com/wagtailwick/wagtailwick/internal/engine"
	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/plain"
	"github.com/wagtailwick/wagtailwick/internal/store"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// startedAddr returns the server's address and closes the server at the end of
// the test.
func startedAddr(tb testing.TB, srv *fake.Server, err error) string {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if err := srv.Close(); err != nil {
			tb.Error(err)
		}
	})
	return srv.Addr()
}

func setFaults(tb testing.TB, addr, doc string, want int) {
	tb.Helper()
	cli := &wire.Client{}
	defer cli.Close()
	ans, err := cli.Exchange(tb.Context(), wire.Call{Method: http.MethodPut, URL: "http://" + addr + "/faults", Body: []byte(doc)}, 1<<16)
	if err != nil || ans.Status != want {
		tb.Fatalf("faults %s: status %d, error %v", doc, ans.Status, err)
	}
}

func checkErrorIs(tb testing.TB, what string, got, want error) {
	tb.Helper()
	if !errors.Is(got, want) {
		tb.Errorf("%s: error %v, want %v", what, got, want)
	}
}

// TestStoreServer guards against a client or server that loses preconditions,
// revisions or errors.
func TestStoreServer(t *testing.T) {
	sto := &fake.Store{}
	srv, err := fake.ServeStore("127.0.0.1:0", sto)
	addr := startedAddr(t, srv, err)
	cli := &store.Client{URL: "http://" + addr, Timeout: time.Second, WatchWait: time.Second}
	defer cli.HTTP.Close()
	ctx := t.Context()
	key := wick.ObjectKey{Kind: wick.KindMove, Name: "7-a/b c%"}
	_, err = cli.Get(ctx, key)
	checkErrorIs(t, "get of none", err, wick.ErrNotFound)
	rev, err := cli.Put(ctx, key, []byte(`{"n":1}`), 0)
	checkErrorIs(t, "create", err, nil)
	_, err = cli.Put(ctx, key, []byte(`{"n":2}`), 0)
	checkErrorIs(t, "create again", err, wick.ErrConflict)
	_, err = cli.Put(ctx, key, []byte(`{`), rev)
	checkErrorIs(t, "put of no JSON", err, wick.ErrInvalid)
	obj, err := cli.Get(ctx, key)
	if err != nil || string(obj.Data) != `{"n":1}` || obj.Revision != rev || obj.Key != key {
		t.Errorf("got %+v, error %v", obj, err)
	}
	objs, at, err := cli.List(ctx, wick.KindMove)
	if err != nil || len(objs) != 1 || objs[0].Key != key || at != rev {
		t.Errorf("list %+v at %d, error %v", objs, at, err)
	}
	objs, at, err = cli.Watch(ctx, wick.KindMove, rev)
	if err != nil || len(objs) != 0 || at != rev {
		t.Errorf("watch without change: %+v at %d, error %v", objs, at, err)
	}
	go func() {
		time.Sleep(50 * time.Millisecond)
		cli.Delete(ctx, key, rev)
	}()
	objs, at, err = cli.Watch(ctx, wick.KindMove, rev)
	if err != nil || len(objs) != 1 || !objs[0].Deleted || at != rev+1 {
		t.Errorf("watch: %+v at %d, error %v", objs, at, err)
	}
	checkErrorIs(t, "delete of none", cli.Delete(ctx, key, rev), wick.ErrNotFound)
	setFaults(t, addr, `{"loseAnswers":1,"seed":3}`, http.StatusNoContent)
	before := sto.Calls().Writes
	_, err = cli.Put(ctx, key, []byte(`{"n":3}`), 0)
	checkErrorIs(t, "lost response", err, wick.ErrUnavailable)
	if got := sto.Calls().Writes - before; got != 1 {
		t.Errorf("%d writes after a lost response, want 1", got)
	}
	obj, err = cli.Get(ctx, key)
	if err != nil || string(obj.Data) != `{"n":3}` {
		t.Errorf("after the lost response: %+v, error %v", obj, err)
	}
	for _, doc := range []string{`{"down":true}`, `{"partition":true}`, `{"latencyMillis":1500}`} {
		setFaults(t, addr, doc, http.StatusNoContent)
		_, err = cli.Get(ctx, key)
		checkErrorIs(t, doc, err, wick.ErrUnavailable)
	}
	setFaults(t, addr, `{"misspelt":true}`, http.StatusBadRequest)
}

// TestStaleReads guards against a stale list that carries the new revision, so
// that a watcher misses the change for good.
func TestStaleReads(t *testing.T) {
	sto := &fake.Store{}
	sto.SetFaults(fake.StoreFaults{StaleReads: 1}, 1)
	key := wick.ObjectKey{Kind: wick.KindMove, Name: "m"}
	rev, err := sto.Put(t.Context(), key, []byte("1"), 0)
	checkErrorIs(t, "create", err, nil)
	_, err = sto.Put(t.Context(), key, []byte("2"), rev)
	checkErrorIs(t, "put", err, nil)
	objs, at, err := sto.List(t.Context(), wick.KindMove)
	if err != nil || len(objs) != 1 || string(objs[0].Data) != "1" || at != rev {
		t.Errorf("list %+v at %d, error %v", objs, at, err)
	}
}

// TestCloudServer guards against duplicate starts, and against a list that
// ignores its lag or omits reclaims.
func TestCloudServer(t *testing.T) {
	cld := &fake.Cloud{}
	srv, err := fake.ServeCloud("127.0.0.1:0", cld)
	addr := startedAddr(t, srv, err)
	cli := &cloud.Client{URL: "http://" + addr}
	defer cli.HTTP.Close()
	ctx := t.Context()
	setFaults(t, addr, `{"loseAnswers":1}`, http.StatusNoContent)
	ord := wick.StartOrder{Token: "tok", Zone: "a", Service: "quotes", Version: "v1", Reclaimable: true}
	_, err = cli.Start(ctx, ord)
	checkErrorIs(t, "lost response", err, wick.ErrUnavailable)
	setFaults(t, addr, `{}`, http.StatusNoContent)
	vm, err := cli.Start(ctx, ord)
	vms, listErr := cli.VMs(ctx)
	if err != nil || listErr != nil || len(vms) != 1 || vms[0].ID != vm.ID || vms[0].State != wick.VMLive {
		t.Errorf("started %+v, list %+v, errors %v, %v", vm, vms, err, listErr)
	}
	setFaults(t, addr, `{"refuseStarts":1}`, http.StatusNoContent)
	_, err = cli.Start(ctx, wick.StartOrder{Token: "other"})
	checkErrorIs(t, "refused start", err, wick.ErrBusy)
	setFaults(t, addr, `{"listLagMillis":60000,"reclaim":{"zone":"a","noticeMillis":200}}`, http.StatusNoContent)
	vms, err = cli.VMs(ctx)
	if err != nil || len(vms) != 0 {
		t.Errorf("lagging list %+v, error %v", vms, err)
	}
	setFaults(t, addr, `{}`, http.StatusNoContent)
	vms, err = cli.VMs(ctx)
	if err != nil || len(vms) != 1 || vms[0].State != wick.VMLeaving || vms[0].ReclaimAt.IsZero() {
		t.Errorf("list in the notice period %+v, error %v", vms, err)
	}
	time.Sleep(300 * time.Millisecond)
	checkErrorIs(t, "stop of a VM that is gone", cli.Stop(ctx, vm.ID), wick.ErrNotFound)
	checkErrorIs(t, "register", cli.Register(ctx, wick.VM{ID: "vm-9", Zone: "b"}), nil)
	checkErrorIs(t, "stop", cli.Stop(ctx, "vm-9"), nil)
}

// TestPlainServer guards against wrong counts of executions, which the tests
// of at-most-once execution rely on.
func TestPlainServer(t *testing.T) {
	tests := []struct {
		name, faults string
		want         error
		status       int
		executions   int64
	}{
		{"none", `{}`, nil, http.StatusOK, 1},
		{"lost response", `{"loseAnswers":1}`, wick.ErrUnknownOutcome, 0, 1},
		{"truncated", `{"truncate":1}`, wick.ErrTruncated, 0, 1},
		{"other attempt", `{"otherAttempt":1}`, wick.ErrUnknownOutcome, 0, 1},
		{"refused", `{"refuse":1}`, wick.ErrNotExecuted, 0, 0},
		{"partition", `{"partition":true}`, wick.ErrUnknownOutcome, 0, 0},
		{"down", `{"down":true}`, nil, http.StatusInternalServerError, 0},
		{"bad version", `{"bad":[{"route":"/book","fail":1}]}`, nil, http.StatusInternalServerError, 0},
		{"leaving", `{"reclaim":{"noticeMillis":60000}}`, wick.ErrLeaving, 0, 0},
		{"gone", `{"reclaim":{"silent":true}}`, wick.ErrUnknownOutcome, 0, 0},
	}
	for _, tst := range tests {
		t.Run(tst.name, func(t *testing.T) {
			pla := &fake.Plain{ServiceTime: time.Millisecond}
			srv, err := fake.ServePlain("127.0.0.1:0", pla)
			addr := startedAddr(t, srv, err)
			setFaults(t, addr, tst.faults, http.StatusNoContent)
			cli := &plain.Client{}
			defer cli.Close()
			rep, err := cli.Call(t.Context(), wick.VM{Address: addr}, wick.PlainCall{Attempt: "a", Key: "k", Method: http.MethodPost, Path: "/book?n=2"})
			checkErrorIs(t, "call", err, tst.want)
			if rep.Status != tst.status || pla.Executions()["k"] != tst.executions {
				t.Errorf("status %d, %d executions", rep.Status, pla.Executions()["k"])
			}
			if tst.status == http.StatusOK && !strings.Contains(string(rep.Body), `"/book?n=2"`) {
				t.Errorf("body %s", rep.Body)
			}
		})
	}
	t.Run("deduplicates", func(t *testing.T) {
		pla := &fake.Plain{ServiceTime: time.Millisecond, Deduplicates: true}
		for range 2 {
			if _, err := pla.Call(t.Context(), wick.PlainCall{Key: "k"}); err != nil {
				t.Error(err)
			}
		}
		if got := pla.Executions()["k"]; got != 1 {
			t.Errorf("%d executions, want 1", got)
		}
	})
}

// TestEngineServer guards against control calls that are lost between the
// client and the engine.
func TestEngineServer(t *testing.T) {
	eng := &fake.Engine{Host: fake.Host{VM: testVM}, ChecksFence: true, DecodeTime: 5 * time.Millisecond}
	srv, err := fake.ServeEngine("127.0.0.1:0", eng)
	vm := wick.VM{Address: startedAddr(t, srv, err)}
	cli := &engine.Client{}
	defer cli.Close()
	ctx := t.Context()
	gen := generation("chat")
	gen.Prompt = wick.Prompt{Messages: []wick.Message{{Role: "user", Content: longPrompt.Text}}}
	var got []string
	var handle wick.KVHandle
	_, err = cli.Generate(ctx, vm, gen, func(tkn wick.Token) error {
		got = append(got, tkn.Text)
		if len(got) == 3 {
			var err error
			handle, err = cli.Export(ctx, vm, "chat")
			return errors.Join(err, cli.Cancel(ctx, vm, "chat"))
		}
		return nil
	})
	checkErrorIs(t, "cancelled", err, wick.ErrTruncated)
	gen.Continue, gen.Import, gen.Attempt = got, handle, "chat2"
	_, err = cli.Generate(ctx, vm, gen, func(tkn wick.Token) error {
		got = append(got, tkn.Text)
		return nil
	})
	if err != nil || handle == "" || !slices.Equal(got, eng.Answer(gen.Prompt, 0)) {
		t.Errorf("%d tokens, handle %q, error %v", len(got), handle, err)
	}
	checkErrorIs(t, "cancel of none", cli.Cancel(ctx, vm, "none"), wick.ErrNotFound)
	evts, err := cli.CacheEvents(ctx, vm, 2)
	if err != nil || len(evts) == 0 || evts[0].Seq != 3 || evts[0].Hash != wick.PrefixBlocks(gen.Prompt.Input())[2] {
		t.Errorf("events %v, error %v", evts, err)
	}
	checkErrorIs(t, "order", cli.Order(ctx, vm, wick.Order{Kind: wick.OrderLoad, Version: "v2", Fence: 2}), nil)
	checkErrorIs(t, "stale order", cli.Order(ctx, vm, wick.Order{Kind: wick.OrderDrain, Fence: 1}), wick.ErrStaleFence)
	rep, err := cli.Load(ctx, vm)
	if err != nil || !slices.Equal(rep.Versions, []wick.ModelVersion{"v1", "v2"}) || rep.Slots != 8 || rep.VM != testVM.ID {
		t.Errorf("report %+v, error %v", rep, err)
	}
	setFaults(t, vm.Address, `{"partition":true}`, http.StatusNoContent)
	_, err = cli.Load(ctx, vm)
	checkErrorIs(t, "load in a partition", err, wick.ErrUnavailable)
}

// TestClientDisconnect guards against calls that stay queued after the client
// disconnected.
func TestClientDisconnect(t *testing.T) {
	eng := &fake.Engine{Host: fake.Host{VM: testVM, Slots: 1}, PrefillRate: 1}
	srv, err := fake.ServeEngine("127.0.0.1:0", eng)
	vm := wick.VM{Address: startedAddr(t, srv, err)}
	cli := &engine.Client{}
	defer cli.Close()
	ctx, cancel := context.WithCancel(t.Context())
	var wgr sync.WaitGroup
	for _, att := range []wick.AttemptID{"running", "waiting"} {
		wgr.Go(func() {
			_, err := cli.Generate(ctx, vm, generation(att), nil)
			checkErrorIs(t, string(att), err, wick.ErrUnknownOutcome)
		})
	}
	waitLoad(t, eng, 1, 1)
	cancel()
	wgr.Wait()
	waitLoad(t, eng, 0, 0)
}

func waitLoad(tb testing.TB, eng *fake.Engine, running, waiting int) {
	tb.Helper()
	for range 200 {
		rep, err := eng.Load(tb.Context())
		if err != nil {
			tb.Fatal(err)
		}
		if rep.Running == running && rep.Waiting == waiting {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	tb.Fatalf("not %d running and %d waiting within 2 s", running, waiting)
}
