package httpio

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/network/standard"
)

const lateRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// A readListener counts the bytes that the server has read of each caller.
type readListener struct {
	net.Listener
	mu   sync.Mutex
	cons []net.Conn
	read map[string]int
}

type readConn struct {
	net.Conn
	lis *readListener
}

func (lis *readListener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lis.mu.Lock()
	defer lis.mu.Unlock()
	lis.cons = append(lis.cons, con)
	return &readConn{con, lis}, nil
}

func (con *readConn) Read(buf []byte) (int, error) {
	num, err := con.Conn.Read(buf)
	con.lis.mu.Lock()
	defer con.lis.mu.Unlock()
	con.lis.read[con.RemoteAddr().String()] += num
	return num, err
}

// exit closes all connections, as the end of the process does.
func (lis *readListener) exit() {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	for _, con := range lis.cons {
		_ = con.Close()
	}
}

// requests returns how many requests of a caller were read.
func (lis *readListener) requests(con net.Conn) int {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	return lis.read[con.LocalAddr().String()] / len(lateRequest)
}

// callTwice sends a request at once and one at the given time, and returns the number of
// complete answers.
func callTwice(con net.Conn, second time.Time) (answers int) {
	_ = con.SetDeadline(second.Add(stopTimeout))
	in := bufio.NewReader(con)
	for ; answers < 2; answers++ {
		if answers == 1 {
			time.Sleep(time.Until(second))
		}
		if _, err := fmt.Fprint(con, lateRequest); err != nil {
			return answers
		}
		res, err := http.ReadResponse(in, nil)
		if err != nil {
			return answers
		}
		_, err = io.Copy(io.Discard, res.Body)
		res.Body.Close()
		if err != nil {
			return answers
		}
	}
	return answers
}

// TestRequestAtExit guards against a request that is read from a kept connection while the
// server ends, and gets no answer.
func TestRequestAtExit(t *testing.T) {
	const (
		callers   = 200
		stopAfter = 500 * time.Millisecond
		drain     = 300 * time.Millisecond
	)
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cnt := &readListener{Listener: raw, read: make(map[string]int)}
	lis := &Listener{
		Listener: cnt, Limit: callers, ReadTimeout: time.Minute, WriteTimeout: time.Second, MinIdleTimeout: time.Minute,
		IdleTimeout: func() time.Duration { return 0 },
	}
	srv := server.New(server.WithListener(lis), server.WithTransport(standard.NewTransporter),
		server.WithSenseClientDisconnection(true), server.WithReadTimeout(KeepReading), server.WithIdleTimeout(KeepIdle))
	srv.GET("/", func(_ context.Context, rct *app.RequestContext) {
		time.Sleep(10 * time.Millisecond)
		rct.String(http.StatusOK, "ok")
	})
	go func() { _ = srv.Run() }()
	start := time.Now()
	var wgr sync.WaitGroup
	for num := range callers {
		con, err := net.Dial("tcp", raw.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer con.Close()
		wgr.Go(func() {
			// The second requests are spread from before the shutdown to after the exit.
			second := start.Add(stopAfter + drain*time.Duration(num)/callers*5/4)
			answers := callTwice(con, second)
			if read := cnt.requests(con); read > answers {
				t.Errorf("caller %d: %d requests read, %d answered", num, read, answers)
			}
		})
	}
	time.Sleep(time.Until(start.Add(stopAfter)))
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	_ = Shutdown(ctx, srv, lis)
	cnt.exit()
	wgr.Wait()
}
