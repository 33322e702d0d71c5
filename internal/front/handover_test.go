package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A loopback connects two tables in memory. It implements the peer client and
// the membership view of entry self.
type loopback struct {
	self wick.EntryID
	tabs map[wick.EntryID]*stream.Table
}

func (lbk *loopback) Members() []wick.Member {
	var out []wick.Member
	for eid := range lbk.tabs {
		if eid != lbk.self {
			out = append(out, wick.Member{ID: eid, Zone: wick.Zone(eid), State: wick.EntryServing})
		}
	}
	return out
}

func (*loopback) LastSeen(wick.EntryID) time.Time { return time.Now() }

func (lbk *loopback) Call(ctx context.Context, to wick.Member, typ wick.MessageType, body, reply any) error {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	rep, err := lbk.tabs[to.ID].Handlers()[typ](ctx, lbk.self, raw)
	if err != nil {
		return err
	}
	if raw, err = cbor.Marshal(rep); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, reply)
}

// startPair starts two connected entries and returns their addresses and tables.
func startPair(t *testing.T, bac *backend) (map[wick.EntryID]string, map[wick.EntryID]*stream.Table) {
	t.Helper()
	addrs, tabs := make(map[wick.EntryID]string), make(map[wick.EntryID]*stream.Table)
	for _, eid := range []wick.EntryID{"e1", "e2"} {
		lbk := &loopback{eid, tabs}
		tabs[eid] = stream.New(stream.Config{
			Self: eid, Zone: wick.Zone(eid), Router: bac, Admitter: bac, Engine: bac, Peers: lbk, Members: lbk,
		})
	}
	for eid, tab := range tabs {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addrs[eid] = lis.Addr().String()
		srv := New(Config{Table: tab, Listener: lis, Bundle: func() *bundle.Bundle { return testBundle }})
		go func() { _ = srv.Serve() }()
		go tab.Run(t.Context())
		t.Cleanup(func() {
			tab.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_ = srv.Shutdown(ctx)
		})
	}
	return addrs, tabs
}

// Guards against a handover that loses an answer, duplicates tokens, or lets the
// partial answer of the drained entry appear complete.
func TestHandoverOverHTTP(t *testing.T) {
	bac := &backend{tokenGate: make(chan struct{})}
	addrs, tabs := startPair(t, bac)
	req, _ := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+addrs["e1"]+routeChat,
		strings.NewReader(fmt.Sprintf(chatBody, true)))
	req.Header.Set("Authorization", "Bearer k1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	rea := bufio.NewReader(res.Body)
	var first strings.Builder
	// One token is released; the others are blocked until the drain completes.
	bac.tokenGate <- struct{}{}
	for !strings.Contains(first.String(), "data: ") {
		line, err := rea.ReadString('\n')
		if err != nil {
			t.Fatal(err)
		}
		first.WriteString(line)
	}
	if err := tabs["e1"].Drain(t.Context(), 2500*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	rest, err := io.ReadAll(rea)
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the drained connection ended with %v, want io.ErrUnexpectedEOF", err)
	}
	close(bac.tokenGate)
	ids, text, done := parseEvents(t, first.String()+string(rest))
	if done || len(ids) == 0 {
		t.Fatalf("got %d events, done %v", len(ids), done)
	}
	url := addrs["e2"] + "/v1/requests/" + res.Header.Get("X-Request-Id") + "/events"
	_, body, err := send(t, "GET", url, "", "Last-Event-ID", ids[len(ids)-1])
	if _, resumed, done := parseEvents(t, body); err != nil || text+resumed != "ABC" || !done {
		t.Errorf("got %q and %q, %v", text, resumed, err)
	}
}
