package ports

import (
	"errors"
	"net"
	"strconv"
	"testing"
)

func portOf(t *testing.T, addr string) int {
	t.Helper()
	_, text, err := net.SplitHostPort(addr)
	if err != nil {
		t.Fatal(err)
	}
	port, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return port
}

func nextPort(t *testing.T, fnd *Finder) int {
	t.Helper()
	addr, err := fnd.Addr()
	if err != nil {
		t.Fatal(err)
	}
	return portOf(t, addr)
}

// TestNeverTwice guards against two entries of one site that get the same port,
// since neither listens yet when the other searches.
func TestNeverTwice(t *testing.T) {
	var fnd Finder
	seen := make(map[int]bool)
	for range 500 {
		port := nextPort(t, &fnd)
		if seen[port] {
			t.Fatalf("port %d was given twice", port)
		}
		seen[port] = true
	}
}

// TestBelowOutgoing guards against an entry that finds its port taken by an
// outgoing connection that began after the search.
func TestBelowOutgoing(t *testing.T) {
	for _, first := range []int{0, highest - 3} {
		fnd := Finder{First: first}
		for range 20 {
			if port := nextPort(t, &fnd); port < lowest || port > highest {
				t.Errorf("first %d: port %d is outside %d to %d", first, port, lowest, highest)
			}
		}
	}
}

// TestTaken guards against ports that another process listens on, for either
// protocol.
func TestTaken(t *testing.T) {
	probe := Finder{}
	base := nextPort(t, &probe)
	next := nextPort(t, &probe)
	lis, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(base)))
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	con, err := net.ListenPacket("udp", net.JoinHostPort("127.0.0.1", strconv.Itoa(next)))
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	fnd := Finder{First: base}
	if got := nextPort(t, &fnd); got == base || got == next {
		t.Errorf("port %d was given although it is taken", got)
	}
}

// TestNone guards against a search without end.
func TestNone(t *testing.T) {
	fnd := Finder{First: lowest, tried: highest - lowest}
	if _, err := fnd.Addr(); !errors.Is(err, ErrNone) {
		t.Errorf("error is %v, want ErrNone", err)
	}
}
