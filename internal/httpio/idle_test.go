package httpio

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

// An idleServer is a server whose idle limit changes.
type idleServer struct {
	*testing.T
	lis   *Listener
	limit atomic.Int64
	// header is the limit of a request's header.
	header time.Duration
}

const (
	testReadTimeout = 200 * time.Millisecond
	testMinIdle     = 600 * time.Millisecond
)

func newIdleServer(t *testing.T, limit time.Duration) *idleServer {
	t.Helper()
	return newHeaderServer(t, limit, 0)
}

func newHeaderServer(t *testing.T, limit, header time.Duration) *idleServer {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	isv := &idleServer{T: t, header: header}
	isv.setLimit(limit)
	isv.lis = &Listener{
		Listener: raw, Limit: 10, ReadTimeout: testReadTimeout, WriteTimeout: time.Second, MinIdleTimeout: testMinIdle,
		IdleTimeout:   func() time.Duration { return time.Duration(isv.limit.Load()) },
		HeaderTimeout: func() time.Duration { return isv.header },
	}
	srv := server.New(server.WithListener(isv.lis), server.WithTransport(standard.NewTransporter),
		OnAccept(), server.WithReadTimeout(KeepReading), server.WithIdleTimeout(KeepIdle))
	srv.GET("/", func(_ context.Context, rct *app.RequestContext) { rct.String(http.StatusOK, "ok") })
	go func() { _ = srv.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_ = Shutdown(ctx, srv, isv.lis)
	})
	return isv
}

func (isv *idleServer) setLimit(limit time.Duration) { isv.limit.Store(int64(limit)) }

func (isv *idleServer) dial() net.Conn {
	isv.Helper()
	con, err := net.Dial("tcp", isv.lis.Addr().String())
	if err != nil {
		isv.Fatal(err)
	}
	isv.Cleanup(func() { con.Close() })
	return con
}

// assertServed asserts that a request on the connection is answered.
func (isv *idleServer) assertServed(con net.Conn) {
	isv.Helper()
	if _, err := fmt.Fprint(con, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		isv.Error(err)
	}
	isv.assertAnswer(con)
}

func (isv *idleServer) assertAnswer(con net.Conn) {
	isv.Helper()
	_ = con.SetReadDeadline(time.Now().Add(stopTimeout))
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		isv.Errorf("no answer: %v", err)
		return
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		isv.Errorf("status %d", res.StatusCode)
	}
}

// assertClosed asserts that an idle connection is closed after about want.
func (isv *idleServer) assertClosed(con net.Conn, want time.Duration) {
	isv.Helper()
	start := time.Now()
	_ = con.SetReadDeadline(start.Add(stopTimeout))
	for buf := make([]byte, 1024); ; {
		if _, err := con.Read(buf); err != nil {
			break
		}
	}
	if took := time.Since(start); took < want-100*time.Millisecond || took > want+400*time.Millisecond {
		isv.Errorf("closed after %v, want %v", took, want)
	}
}

// TestIdleLimit guards against a connection that is closed before its idle limit has
// passed, or never.
func TestIdleLimit(t *testing.T) {
	const short, long = 300 * time.Millisecond, 1500 * time.Millisecond
	t.Run("above the least", func(t *testing.T) {
		t.Parallel()
		isv := newIdleServer(t, long)
		con := isv.dial()
		isv.assertServed(con)
		time.Sleep(long / 5 * 4)
		isv.assertServed(con)
		isv.assertClosed(con, long)
	})
	t.Run("below the least", func(t *testing.T) {
		t.Parallel()
		isv := newIdleServer(t, short)
		con := isv.dial()
		isv.assertServed(con)
		isv.assertClosed(con, testMinIdle)
	})
	t.Run("of an unused connection", func(t *testing.T) {
		t.Parallel()
		isv := newIdleServer(t, long)
		con := isv.dial()
		time.Sleep(long / 5 * 4)
		isv.assertServed(con)
	})
	t.Run("of an unused connection without a limit", func(t *testing.T) {
		t.Parallel()
		isv := newIdleServer(t, 0)
		isv.assertClosed(isv.dial(), testReadTimeout)
	})
	t.Run("shortened meanwhile", func(t *testing.T) {
		t.Parallel()
		isv := newIdleServer(t, long)
		con := isv.dial()
		isv.assertServed(con)
		isv.setLimit(short)
		time.Sleep(long / 5 * 4)
		isv.assertServed(con)
		isv.assertClosed(con, testMinIdle)
	})
	t.Run("extended meanwhile", func(t *testing.T) {
		t.Parallel()
		isv := newIdleServer(t, short)
		con := isv.dial()
		isv.assertServed(con)
		isv.setLimit(long)
		time.Sleep(long / 5 * 4)
		isv.assertServed(con)
	})
}

// TestHeaderLimit guards against a caller that is cut although it sends its header within
// the limit, and against one that holds its connection by a header that it doesn't finish.
func TestHeaderLimit(t *testing.T) {
	const header = 800 * time.Millisecond
	for _, requests := range []int{0, 1} {
		t.Run(fmt.Sprintf("after %d requests", requests), func(t *testing.T) {
			t.Parallel()
			isv := newHeaderServer(t, stopTimeout, header)
			con := isv.dial()
			for range requests {
				isv.assertServed(con)
			}
			if _, err := fmt.Fprint(con, "GET / HTTP/1.1\r\nA: "); err != nil {
				t.Fatal(err)
			}
			time.Sleep(header * 9 / 10)
			if _, err := fmt.Fprint(con, "b\r\nHost: h\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			isv.assertAnswer(con)
			if _, err := fmt.Fprint(con, "GET / HT"); err != nil {
				t.Fatal(err)
			}
			isv.assertClosed(con, header+testReadTimeout)
		})
	}
}

// TestReadTimeoutOfFirstRequest guards against a caller that holds its connection by a
// request that it doesn't finish.
func TestReadTimeoutOfFirstRequest(t *testing.T) {
	isv := newIdleServer(t, stopTimeout)
	con := isv.dial()
	if _, err := fmt.Fprint(con, "GET / HT"); err != nil {
		t.Fatal(err)
	}
	isv.assertClosed(con, testReadTimeout)
}

// TestUnusedConnection guards against a response to no request: 408 on a connection on
// which nothing was sent.
func TestUnusedConnection(t *testing.T) {
	t.Parallel()
	isv := newIdleServer(t, 0)
	con := isv.dial()
	_ = con.SetReadDeadline(time.Now().Add(stopTimeout))
	got, err := io.ReadAll(con)
	if err != nil || len(got) > 0 {
		t.Errorf("%q, %v, want a close without a response", got, err)
	}
}
