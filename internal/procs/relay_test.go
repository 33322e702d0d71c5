package procs

import (
	"io"
	"net"
	"sync"
	"testing"
)

// A relay passes TCP connections on to one address until it is cut, which
// stands for a partition between a zone and the store.
type relay struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	cut   bool
	conns map[net.Conn]bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rel := &relay{lis: lis, target: target, conns: make(map[net.Conn]bool)}
	go rel.serve()
	t.Cleanup(func() {
		_ = lis.Close()
		rel.setCut(true)
	})
	return rel
}

func (rel *relay) addr() string { return rel.lis.Addr().String() }

// setCut cuts the relay, which closes all connections, or restores it.
func (rel *relay) setCut(cut bool) {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	rel.cut = cut
	for con := range rel.conns {
		if cut {
			_ = con.Close()
		}
	}
}

// add registers a connection and reports whether it may be used.
func (rel *relay) add(con net.Conn) bool {
	rel.mu.Lock()
	defer rel.mu.Unlock()
	if rel.cut {
		_ = con.Close()
		return false
	}
	rel.conns[con] = true
	return true
}

func (rel *relay) remove(con net.Conn) {
	_ = con.Close()
	rel.mu.Lock()
	defer rel.mu.Unlock()
	delete(rel.conns, con)
}

func (rel *relay) serve() {
	for {
		con, err := rel.lis.Accept()
		if err != nil {
			return
		}
		if rel.add(con) {
			go rel.pass(con)
		}
	}
}

func (rel *relay) pass(con net.Conn) {
	defer rel.remove(con)
	out, err := net.Dial("tcp", rel.target)
	if err != nil || !rel.add(out) {
		return
	}
	defer rel.remove(out)
	go func() {
		_, _ = io.Copy(out, con)
		_ = out.Close()
	}()
	_, _ = io.Copy(con, out)
}
