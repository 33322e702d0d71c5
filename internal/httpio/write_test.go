package httpio

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const testWriteTimeout = 400 * time.Millisecond

// newConns returns both ends of a connection. A small buffer makes the writer wait for
// the reader.
func newConns(t *testing.T) (*limitConn, net.Conn) {
	t.Helper()
	raw, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	cal, err := net.Dial("tcp", raw.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cal.Close() })
	con, err := raw.AcceptTCP()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { con.Close() })
	if err := con.SetWriteBuffer(16 << 10); err != nil {
		t.Fatal(err)
	}
	return &limitConn{Conn: con, lis: &Listener{WriteTimeout: testWriteTimeout}}, cal
}

// newPipe is newConns without any buffer.
func newPipe(t *testing.T) (*limitConn, net.Conn) {
	t.Helper()
	ent, cal := net.Pipe()
	t.Cleanup(func() { ent.Close(); cal.Close() })
	return &limitConn{Conn: ent, lis: &Listener{WriteTimeout: testWriteTimeout}}, cal
}

// readSteadily reads num bytes every pause until the connection ends, and returns what it
// has read in all.
func readSteadily(con net.Conn, num int, pause time.Duration) <-chan int {
	out := make(chan int, 1)
	go func() {
		total, buf := 0, make([]byte, num)
		for {
			got, err := io.ReadFull(con, buf)
			total += got
			if err != nil {
				out <- total
				return
			}
			time.Sleep(pause)
		}
	}()
	return out
}

func assertWritten(t *testing.T, got int, err error, want int) {
	t.Helper()
	if err != nil || got != want {
		t.Errorf("wrote %d bytes of %d: %v", got, want, err)
	}
}

func assertCut(t *testing.T, got, size int, err error) {
	t.Helper()
	if !errors.Is(err, os.ErrDeadlineExceeded) || got >= size {
		t.Errorf("wrote %d bytes of %d: %v, want a timeout", got, size, err)
	}
}

// TestWriteToSlowCaller guards against a response that is cut although its caller reads it
// slowly but steadily.
func TestWriteToSlowCaller(t *testing.T) {
	const size = 1 << 20
	con, cal := newConns(t)
	read := readSteadily(cal, 32<<10, testWriteTimeout/8)
	start := time.Now()
	num, err := con.Write(make([]byte, size))
	took := time.Since(start)
	con.Close()
	assertWritten(t, num, err, size)
	if got := <-read; got != size {
		t.Errorf("the caller read %d bytes, want %d", got, size)
	}
	if took < 2*testWriteTimeout {
		t.Errorf("the write took %v, too short for this test", took)
	}
}

// TestWriteToStalledCaller guards against a caller that takes some bytes, then none, and
// holds its response for ever.
func TestWriteToStalledCaller(t *testing.T) {
	const size = 4 << 20
	con, cal := newConns(t)
	if _, err := con.Write([]byte("begin")); err != nil {
		t.Fatal(err)
	}
	if _, err := io.ReadFull(cal, make([]byte, 5)); err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	num, err := con.Write(make([]byte, size))
	assertCut(t, num, size, err)
	if took := time.Since(start); took < testWriteTimeout || took > 5*testWriteTimeout {
		t.Errorf("cut after %v, want about %v", took, testWriteTimeout)
	}
}

// TestWriteBelowLeastRate guards against a caller that takes a byte now and then and so
// holds its response for ever.
func TestWriteBelowLeastRate(t *testing.T) {
	const size = 1 << 20
	con, cal := newPipe(t)
	readSteadily(cal, 1, testWriteTimeout/20)
	start := time.Now()
	num, err := con.Write(make([]byte, size))
	assertCut(t, num, size, err)
	if took := time.Since(start); took > 5*testWriteTimeout {
		t.Errorf("cut after %v, want about %v", took, testWriteTimeout)
	}
}

// A countingConn counts its writes.
type countingConn struct {
	net.Conn
	writes int
}

func (con *countingConn) Write(buf []byte) (int, error) {
	con.writes++
	return con.Conn.Write(buf)
}

// TestWriteAtOnce guards against the cost of several system calls for a response whose
// caller reads it at once.
func TestWriteAtOnce(t *testing.T) {
	const size = 1 << 20
	con, cal := newPipe(t)
	cnt := &countingConn{Conn: con.Conn}
	con.Conn = cnt
	readSteadily(cal, 64<<10, 0)
	num, err := con.Write(make([]byte, size))
	assertWritten(t, num, err, size)
	if cnt.writes != 1 {
		t.Errorf("%d writes, want 1", cnt.writes)
	}
}
