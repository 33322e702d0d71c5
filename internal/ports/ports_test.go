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

// TestNoReuse guards against two entries of one site that are assigned the same
// port, since neither listens yet when the other searches.
func TestNoReuse(t *testing.T) {
	var fnd Finder
	seen := make(map[int]bool)
	for range 500 {
		port := nextPort(t, &fnd)
		if seen[port] {
			t.Fatalf("port %d was returned twice", port)
		}
		seen[port] = true
	}
}

// TestBelowEphemeralRange guards against an entry whose port was assigned to an
// outgoing connection after the search.
func TestBelowEphemeralRange(t *testing.T) {
	for _, first := range []int{0, maxPort - 3} {
		fnd := Finder{First: first}
		for range 20 {
			if port := nextPort(t, &fnd); port < minPort || port > maxPort {
				t.Errorf("first %d: port %d is outside %d to %d", first, port, minPort, maxPort)
			}
		}
	}
}

// TestPortInUse guards against returning ports that another process listens on
// with either protocol.
func TestPortInUse(t *testing.T) {
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
		t.Errorf("port %d was returned although it is in use", got)
	}
}

// TestNoFreePort guards against an endless search.
func TestNoFreePort(t *testing.T) {
	fnd := Finder{First: minPort, tried: maxPort - minPort}
	if _, err := fnd.Addr(); !errors.Is(err, ErrNone) {
		t.Errorf("error is %v, want ErrNone", err)
	}
}
