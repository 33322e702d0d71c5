package wire

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"
)

// openReply is a reply without a length or chunks.
const openReply = "HTTP/1.1 200 X\r\n\r\npart"

// TestResetDuringUpload guards against a part of a reply that is taken for all of it: the
// endpoint sends it without a length while the request is being written, and resets the
// connection.
func TestResetDuringUpload(t *testing.T) {
	const calls = 300
	url := serveConns(t, replyAndReset)
	cli := &Client{}
	defer cli.Close()
	body := make([]byte, 1<<20)
	for range calls {
		rep, err := cli.Do(t.Context(), Call{Method: http.MethodPost, URL: url, NoRetry: true, Body: body})
		if err != nil {
			continue
		}
		if got, err := io.ReadAll(rep); err == nil {
			t.Fatalf("%q is complete", got)
		}
		rep.Close()
	}
}

// replyAndReset replies to a request whose body it doesn't read.
func replyAndReset(con net.Conn) {
	if _, err := http.ReadRequest(bufio.NewReader(con)); err != nil {
		return
	}
	_, _ = io.WriteString(con, openReply)
	if tcp, ok := con.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// A scriptedConn returns a reply, then io.EOF. Its write lasts until its deadline passes and
// then fails with writeErr.
type scriptedConn struct {
	net.Conn
	reply    string
	writeErr error
	once     sync.Once
	writing  chan struct{}
	ended    chan struct{}
}

func (scn *scriptedConn) Read(buf []byte) (int, error) {
	if scn.reply == "" {
		return 0, io.EOF
	}
	num := copy(buf, scn.reply)
	scn.reply = scn.reply[num:]
	return num, nil
}

func (scn *scriptedConn) Write([]byte) (int, error) {
	close(scn.writing)
	<-scn.ended
	return 0, scn.writeErr
}

func (scn *scriptedConn) SetWriteDeadline(time.Time) error {
	scn.once.Do(func() { close(scn.ended) })
	return nil
}

// TestEndDuringWrite guards against a reply whose end is judged before the write of its
// request has returned the reset, and against one that is lost because the write was ended.
func TestEndDuringWrite(t *testing.T) {
	for _, tst := range []struct{ writeErr, want error }{
		{syscall.ECONNRESET, syscall.ECONNRESET},
		{syscall.EPIPE, syscall.EPIPE},
		{os.ErrDeadlineExceeded, nil},
		{nil, nil},
	} {
		scn := &scriptedConn{reply: openReply, writeErr: tst.writeErr, writing: make(chan struct{}), ended: make(chan struct{})}
		con := &conn{Conn: scn}
		con.guard.Store(&sendGuard{method: http.MethodPost})
		go func() { _, _ = con.Write([]byte("request")) }()
		<-scn.writing
		if got, err := io.ReadAll(con); string(got) != openReply || !errors.Is(err, tst.want) {
			t.Errorf("write error %v: %q, %v, want %v", tst.writeErr, got, err, tst.want)
		}
	}
}
