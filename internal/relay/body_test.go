package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// A bodyFraming writes a body on a connection, its header fields included.
type bodyFraming struct {
	name  string
	write func(out io.Writer, body string) error
}

var bodyFramings = []bodyFraming{
	{"length", func(out io.Writer, body string) error {
		_, err := fmt.Fprintf(out, "Content-Length: %d\r\n\r\n%s", len(body), body)
		return err
	}},
	{"chunked", func(out io.Writer, body string) error {
		if _, err := io.WriteString(out, "Transfer-Encoding: chunked\r\n\r\n"); err != nil {
			return err
		}
		for len(body) > 0 {
			part := body[:min(len(body), 50_000)]
			body = body[len(part):]
			if _, err := fmt.Fprintf(out, "%x\r\n%s\r\n", len(part), part); err != nil {
				return err
			}
		}
		_, err := io.WriteString(out, "0\r\n\r\n")
		return err
	}},
}

// A rawCaller is a caller's connection.
type rawCaller struct {
	*testing.T
	net.Conn
	in *bufio.Reader
}

func (rly *testRelay) dial() *rawCaller {
	rly.Helper()
	con, err := net.Dial("tcp", rly.addr)
	if err != nil {
		rly.Fatal(err)
	}
	rly.Cleanup(func() { con.Close() })
	_ = con.SetDeadline(time.Now().Add(8 * time.Second))
	return &rawCaller{T: rly.T, Conn: con, in: bufio.NewReader(con)}
}

// sendHead sends a request up to the header fields of its body.
func (cal *rawCaller) sendHead(path string) {
	fmt.Fprintf(cal, "POST %s HTTP/1.1\r\nHost: h\r\nX-Id: r1\r\nX-Key: k\r\n", path)
}

// A received is a response that was read to its end.
type received struct {
	status int
	header http.Header
	body   string
}

// isRefusal reports whether it refuses a request that didn't run.
func (rec received) isRefusal(status int) bool {
	return rec.status == status && strings.Contains(rec.body, `"executed":"no"`)
}

// receive reads the next response.
func (cal *rawCaller) receive() received {
	cal.Helper()
	res, err := http.ReadResponse(cal.in, nil)
	if err != nil {
		cal.Errorf("no response: %v", err)
		return received{}
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		cal.Errorf("body of the response: %v", err)
	}
	return received{status: res.StatusCode, header: res.Header, body: string(body)}
}

// assertRefused asserts a refusal of a request that didn't run.
func (cal *rawCaller) assertRefused(status int, reason string) {
	cal.Helper()
	if rec := cal.receive(); !rec.isRefusal(status) || !strings.Contains(rec.body, reason) {
		cal.Errorf("%d %s, want %d, %s, not executed", rec.status, rec.body, status, reason)
	}
}

// assertAnswered asserts an answer of an endpoint that replies with the body's length.
func (cal *rawCaller) assertAnswered(size int) {
	cal.Helper()
	if rec := cal.receive(); rec.status != http.StatusOK || rec.body != strconv.Itoa(size) {
		cal.Errorf("%d %q, want 200 and %d", rec.status, rec.body, size)
	}
}

// replyLength answers with the length of the request's body after a delay. It announces
// that it closes the connection, so that no request is lost on it.
func replyLength(delay time.Duration) script {
	return func(req *http.Request, con net.Conn, _ int) {
		body, _ := io.ReadAll(req.Body)
		time.Sleep(delay)
		text := strconv.Itoa(len(body))
		fmt.Fprintf(con, "HTTP/1.1 200 X\r\nX-Id: %s\r\nX-Seal: s\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", req.Header.Get("X-Id"), len(text), text)
	}
}

// TestBodyMemory guards against many large bodies at once that exhaust the memory of the
// entry, which ended all of its requests, and against a refusal for a request that ran.
func TestBodyMemory(t *testing.T) {
	const calls, size = 40, 1 << 20
	for _, frm := range bodyFramings {
		t.Run(frm.name, func(t *testing.T) {
			rly := newTestRelay(t, 2, replyLength(50*time.Millisecond))
			rly.srv.buffers.limit = 8 << 20
			stopSampling := rly.sampleBuffers()
			var mu sync.Mutex
			served := 0
			var calling sync.WaitGroup
			for range calls {
				calling.Go(func() {
					cal := rly.dial()
					cal.sendHead("/book/1")
					if err := frm.write(cal, strings.Repeat("x", size)); err != nil {
						t.Errorf("the body can't be sent: %v", err)
					}
					rec := cal.receive()
					switch {
					case rec.status == http.StatusOK && rec.body == strconv.Itoa(size):
						mu.Lock()
						defer mu.Unlock()
						served++
					case !rec.isRefusal(http.StatusServiceUnavailable) || rec.header.Get("Retry-After") == "":
						t.Errorf("%d %v %s", rec.status, rec.header, rec.body)
					default:
						// The connection is still good.
						cal.sendHead("/look/1")
						_ = bodyFramings[0].write(cal, "order")
						cal.assertAnswered(len("order"))
					}
				})
			}
			calling.Wait()
			if highest := stopSampling(); highest > rly.srv.bodies.limit() || highest < size {
				t.Errorf("%d bytes reserved at once, limit %d", highest, rly.srv.bodies.limit())
			}
			rly.mu.Lock()
			defer rly.mu.Unlock()
			if ran := len(rly.order) - (calls - served); ran != served || served < 2 {
				t.Errorf("%d requests ran, %d were answered", ran, served)
			}
			rly.assertBuffersFree()
		})
	}
}

// TestBodyLimit guards against a size limit other than that of the configuration in force.
func TestBodyLimit(t *testing.T) {
	const limit = 100_000
	for _, frm := range bodyFramings {
		t.Run(frm.name, func(t *testing.T) {
			rly := newTestRelay(t, 1, replyLength(0))
			pln := rly.srv.cfg.Plans.Load().Plan
			pln.Version, pln.MaxBodyBytes = pln.Version+1, limit
			rly.srv.cfg.Plans.Adopt(pln)
			for _, size := range []int{0, 1, freeBodyBytes, freeBodyBytes + 1, limit} {
				cal := rly.dial()
				cal.sendHead("/look/1")
				if err := frm.write(cal, strings.Repeat("x", size)); err != nil {
					t.Error(err)
				}
				cal.assertAnswered(size)
			}
			for _, size := range []int{limit + 1, 3 * limit} {
				cal := rly.dial()
				cal.sendHead("/look/1")
				if err := frm.write(cal, strings.Repeat("x", size)); err != nil {
					t.Error(err)
				}
				cal.assertRefused(http.StatusRequestEntityTooLarge, "bodyTooLarge")
			}
			rly.assertBuffersFree()
		})
	}
}

// TestSlowBodies guards against senders that stop in the middle of their bodies and keep
// the memory from others.
func TestSlowBodies(t *testing.T) {
	const size = 1 << 20
	rly := newTestRelay(t, 1, replyLength(0))
	rly.srv.buffers.limit = 4 << 20
	slow := make([]*rawCaller, 3)
	for idx := range slow {
		slow[idx] = rly.dial()
		slow[idx].sendHead("/book/1")
		fmt.Fprintf(slow[idx], "Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", 20_000))
	}
	time.Sleep(slowBodyGrace + 600*time.Millisecond)
	call := func() *rawCaller {
		cal := rly.dial()
		cal.sendHead("/look/1")
		if err := bodyFramings[0].write(cal, strings.Repeat("x", size)); err != nil {
			t.Error(err)
		}
		return cal
	}
	call().assertRefused(http.StatusServiceUnavailable, "noMemory")
	for _, cal := range slow {
		cal.assertRefused(http.StatusRequestTimeout, "bodyTooSlow")
	}
	call().assertAnswered(size)
	rly.assertBuffersFree()
}

// TestBrokenBody guards against a body that was cut and is sent on as if it were whole.
func TestBrokenBody(t *testing.T) {
	for _, text := range []string{
		"Content-Length: 10\r\n\r\nhalf", "Content-Length: 100000\r\n\r\n" + strings.Repeat("x", 50_000),
		"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", "Transfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\n", "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n0\r\nX-Sum: 1\r\n",
	} {
		t.Run(text[:min(len(text), 60)], func(t *testing.T) {
			rly := newTestRelay(t, 1, replyLength(0))
			cal := rly.dial()
			cal.sendHead("/look/1")
			_, _ = io.WriteString(cal, text)
			if tcp, ok := cal.Conn.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
				t.Fatal("the sending side is open")
			}
			res, err := http.ReadResponse(cal.in, nil)
			if err != nil {
				t.Fatalf("no response: %v", err)
			}
			if res.Body.Close(); res.StatusCode != http.StatusBadRequest {
				t.Errorf("status %d", res.StatusCode)
			}
			rly.mu.Lock()
			defer rly.mu.Unlock()
			if len(rly.order) > 0 {
				t.Error("the request was sent to an endpoint")
			}
		})
	}
}

// TestCallerLeftWithBody guards against requests with a body that go on once their caller
// has left, because nothing watches its connection.
func TestCallerLeftWithBody(t *testing.T) {
	for _, frm := range bodyFramings {
		t.Run(frm.name, func(t *testing.T) {
			started, ended := make(chan struct{}), make(chan time.Time, 1)
			rly := newTestRelay(t, 1, func(_ *http.Request, con net.Conn, _ int) {
				close(started)
				_ = con.SetReadDeadline(time.Now().Add(5 * time.Second))
				_, _ = con.Read(make([]byte, 1))
				ended <- time.Now()
			})
			cal := rly.dial()
			cal.sendHead("/late/1")
			if err := frm.write(cal, strings.Repeat("x", 40_000)); err != nil {
				t.Fatal(err)
			}
			<-started
			left := time.Now()
			cal.Close()
			if took := (<-ended).Sub(left); took > time.Second {
				t.Errorf("the request went on for %v", took)
			}
			rly.assertBuffersFree()
		})
	}
}

// TestPipelinedBodies guards against bytes of the next request that are taken for the
// body of the one before.
func TestPipelinedBodies(t *testing.T) {
	for _, frm := range bodyFramings {
		t.Run(frm.name, func(t *testing.T) {
			rly := newTestRelay(t, 2, replyLength(0))
			rly.srv.buffers.limit = 200_000
			cal := rly.dial()
			sizes := []int{10, 60_000, 300_000, 5_000, 0, 160_000, 9_000}
			go func() {
				for _, size := range sizes {
					cal.sendHead("/look/1")
					_ = frm.write(cal, strings.Repeat("x", size))
				}
			}()
			for _, size := range sizes {
				switch {
				case size > 200_000*3/4:
					cal.assertRefused(http.StatusRequestEntityTooLarge, "bodyTooLarge")
					return
				default:
					cal.assertAnswered(size)
				}
			}
		})
	}
}
