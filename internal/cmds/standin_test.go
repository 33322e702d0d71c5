package cmds

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/cloud"
	"github.com/wagtailwick/wagtailwick/internal/engine"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// startStandin starts a stand-in; the returned function stops it.
func startStandin(tb testing.TB, std *standin) (addr string, stop func()) {
	tb.Helper()
	std.listen = "127.0.0.1:0"
	ctx, cancel := context.WithCancel(tb.Context())
	ready, done := make(chan string, 1), make(chan error, 1)
	go func() { done <- std.run(ctx, func(addr string) { ready <- addr }) }()
	stop = func() {
		cancel()
		if err := <-done; err != nil {
			tb.Error(err)
		}
	}
	select {
	case addr = <-ready:
	case err := <-done:
		tb.Fatalf("stand-in exited: %v", err)
	}
	return addr, stop
}

// TestStandinVM guards against an endpoint stand-in that is missing from the
// cloud's list while it runs, or is not notified of a reclaim.
func TestStandinVM(t *testing.T) {
	addr, stopCloud := startStandin(t, &standin{kind: "cloud"})
	defer stopCloud()
	cld := &cloud.Client{URL: "http://" + addr}
	defer cld.HTTP.Close()
	want := wick.VM{ID: "vm-7", Zone: "b", Service: "quotes", Versions: []wick.ModelVersion{"v1"}, Reclaimable: true}
	_, stopEngine := startStandin(t, &standin{kind: "engine", cloud: cld.URL, vm: want})
	vms, err := cld.VMs(t.Context())
	if err != nil || len(vms) != 1 || vms[0].ID != want.ID || vms[0].Role != wick.RoleEndpoint || vms[0].Zone != want.Zone {
		t.Fatalf("list %+v, error %v", vms, err)
	}
	eng := &engine.Client{}
	defer eng.Close()
	_, err = cld.HTTP.ExchangeJSON(t.Context(), wire.Call{Method: http.MethodPut, URL: cld.URL + "/faults"}, map[string]any{"reclaim": map[string]any{"vm": want.ID, "noticeMillis": 60000}}, nil, 1<<16)
	if err != nil {
		t.Fatal(err)
	}
	for range 200 {
		rep, err := eng.Load(t.Context(), vms[0])
		if err != nil {
			t.Fatal(err)
		}
		if rep.Leaving {
			stopEngine()
			if vms, err = cld.VMs(t.Context()); err != nil || len(vms) != 0 {
				t.Errorf("list %+v after the stop, error %v", vms, err)
			}
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("engine was not notified of the reclaim within 2 s")
	stopEngine()
}
