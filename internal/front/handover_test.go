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

// A link connects two tables without a network. It is the peers and the
// membership of entry self.
type link struct {
	self wick.EntryID
	tabs map[wick.EntryID]*stream.Table
}

func (lnk *link) Members() []wick.Member {
	var out []wick.Member
	for eid := range lnk.tabs {
		if eid != lnk.self {
			out = append(out, wick.Member{ID: eid, Zone: wick.Zone(eid), State: wick.EntryServing})
		}
	}
	return out
}

func (*link) LastHeard(wick.EntryID) time.Time { return time.Now() }

func (lnk *link) Call(ctx context.Context, to wick.Member, typ wick.MessageType, body, reply any) error {
	raw, err := cbor.Marshal(body)
	if err != nil {
		return err
	}
	rep, err := lnk.tabs[to.ID].Handlers()[typ](ctx, lnk.self, raw)
	if err != nil {
		return err
	}
	if raw, err = cbor.Marshal(rep); err != nil {
		return err
	}
	return cbor.Unmarshal(raw, reply)
}

// startPair returns the addresses and tables of two linked entries.
func startPair(t *testing.T, bac *backend) (map[wick.EntryID]string, map[wick.EntryID]*stream.Table) {
	t.Helper()
	addrs, tabs := make(map[wick.EntryID]string), make(map[wick.EntryID]*stream.Table)
	for _, eid := range []wick.EntryID{"e1", "e2"} {
		lnk := &link{eid, tabs}
		tabs[eid] = stream.New(stream.Config{
			Self: eid, Zone: wick.Zone(eid), Router: bac, Admitter: bac, Engine: bac, Peers: lnk, Members: lnk,
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

// Guards against a drain that loses an answer, repeats a part of it, or shows
// the first part as complete.
func TestHandoverOverHTTP(t *testing.T) {
	bac := &backend{hold: make(chan struct{})}
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
	// One token is sent; the others are held until the drain is over.
	bac.hold <- struct{}{}
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
		t.Errorf("the drained connection ended with %v", err)
	}
	close(bac.hold)
	ids, text, done := parseEvents(t, first.String()+string(rest))
	if done || len(ids) == 0 {
		t.Fatalf("got %d events, done %v", len(ids), done)
	}
	url := addrs["e2"] + "/v1/requests/" + res.Header.Get("X-Request-Id") + "/events"
	_, body, err := send(t, "GET", url, "", "Last-Event-ID", ids[len(ids)-1])
	if _, more, done := parseEvents(t, body); err != nil || text+more != "ABC" || !done {
		t.Errorf("got %q and %q, %v", text, more, err)
	}
}
