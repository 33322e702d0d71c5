package netem

import (
	"io"
	"net"
	"testing"
	"time"
)

// TestHalfClose guards against a proxy that takes the end of a client's input for the end of
// the connection: a half-closed caller behind it would never get an answer, so tests with
// faults could not play one.
func TestHalfClose(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	go func() {
		con, err := lis.Accept()
		if err != nil {
			return
		}
		defer con.Close()
		_, _ = io.Copy(io.Discard, con)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(con, "answer")
	}()
	prx, err := New(lis.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer prx.Close()
	con, err := net.Dial("tcp", prx.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_, _ = io.WriteString(con, "request")
	if tcp, ok := con.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		t.Fatal("the sending side is open")
	}
	_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
	if got, err := io.ReadAll(con); err != nil || string(got) != "answer" {
		t.Errorf("%q, %v", got, err)
	}
}
