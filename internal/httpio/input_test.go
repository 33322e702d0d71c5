package httpio

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/http1/req"
)

// testHeadLimit is the limit of heads and trailers, testHeadMemory the memory for one.
const (
	testHeadLimit  = 8 << 10
	testHeadMemory = testHeadLimit * headCopies
)

// newInputServer starts a server with bounded input, whose answers are the sizes of the bodies.
func newInputServer(t *testing.T, stream bool) string {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis := &Listener{
		Listener: raw, Limit: 10, ReadTimeout: 2 * time.Second, WriteTimeout: time.Second,
		HeadLimit: func() int { return testHeadLimit }, HeadMemory: testHeadMemory,
	}
	srv := server.New(
		server.WithListener(lis), server.WithTransport(NewTransporter), OnAccept(),
		server.WithMaxHeaderBytes(ServerHeadBytes), server.WithStreamBody(stream),
	)
	srv.Use(func(_ context.Context, rct *app.RequestContext) {
		defer rct.Abort()
		src := rct.RequestBodyStream()
		if !rct.Request.IsBodyStream() {
			src = bytes.NewReader(rct.Request.Body())
		}
		num, err := io.Copy(io.Discard, src)
		rct.SetStatusCode(http.StatusOK)
		if err != nil {
			rct.SetStatusCode(http.StatusBadRequest)
		}
		rct.Response.SetBodyString(strconv.FormatInt(num, 10))
	})
	go func() { _ = srv.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = Shutdown(ctx, srv, lis)
	})
	return raw.Addr().String()
}

// An answer is a response that was read to its end.
type answer struct {
	status int
	header http.Header
	body   string
}

// exchangeText sends a text in pieces and returns the answer.
func exchangeText(t *testing.T, addr, text string, piece int) answer {
	t.Helper()
	con, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(5 * time.Second))
	for len(text) > 0 {
		num := min(piece, len(text))
		if _, err := io.WriteString(con, text[:num]); err != nil {
			break // the response has come before the end of the request
		}
		text = text[num:]
		time.Sleep(100 * time.Microsecond)
	}
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer{res.StatusCode, res.Header, string(body)}
}

// TestInputLimits guards against heads and trailers above the limit that are read on, against
// ones within it that are refused, and against a body whose last byte comes alone and is taken
// for a part of a head.
func TestInputLimits(t *testing.T) {
	const start = "POST / HTTP/1.1\r\nHost: h\r\n"
	long := func(num int) string { return "A: " + strings.Repeat("b", num) + "\r\n" }
	chunked := start + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"
	for name, tst := range map[string]struct {
		text   string
		piece  int
		status int
	}{
		"large head":          {start + long(testHeadLimit-200) + "Content-Length: 0\r\n\r\n", 4096, http.StatusOK},
		"head in pieces":      {start + long(2000) + "Content-Length: 3\r\n\r\nabc", 7, http.StatusOK},
		"head too large":      {start + long(testHeadLimit) + "\r\n", 4096, http.StatusRequestHeaderFieldsTooLarge},
		"endless line":        {"GET /" + strings.Repeat("x", 4*testHeadLimit), 4096, http.StatusRequestHeaderFieldsTooLarge},
		"body in two pieces":  {start + "Content-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000), 20050, http.StatusOK},
		"trailers":            {chunked + long(testHeadLimit-100) + "\r\n", 1000, http.StatusOK},
		"trailers too large":  {chunked + strings.Repeat(long(100), 200), 1000, 0},
		"large chunk":         {start + "Transfer-Encoding: chunked\r\n\r\n7d00\r\n" + strings.Repeat("x", 0x7d00) + "\r\n0\r\n\r\n", 31000, http.StatusOK},
		"request behind line": {"\r\n" + start + "\r\n", 4096, http.StatusBadRequest},
	} {
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, stream %v", name, stream), func(t *testing.T) {
				ans := exchangeText(t, newInputServer(t, stream), tst.text, tst.piece)
				if tst.status == 0 && ans.status/100 == 4 {
					return
				}
				if ans.status != tst.status {
					t.Errorf("status %d, want %d: %s", ans.status, tst.status, ans.body)
				}
				if ans.status == http.StatusRequestHeaderFieldsTooLarge && !strings.Contains(ans.body, `"executed":"no"`) {
					t.Errorf("refusal without its promise: %s", ans.body)
				}
			})
		}
	}
}

// TestHeadsWithoutMemory guards against a head that finds no memory and is read nevertheless,
// or refused without the time to retry, and against small ones that are refused with it.
func TestHeadsWithoutMemory(t *testing.T) {
	addr := newInputServer(t, true)
	con, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	large := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nA: " + strings.Repeat("b", testHeadLimit-200)
	if _, err := io.WriteString(con, large); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	ans := exchangeText(t, addr, large+"\r\n\r\n", 4096)
	if ans.status != http.StatusServiceUnavailable || ans.header.Get("Retry-After") == "" || !strings.Contains(ans.body, `"executed":"no"`) {
		t.Errorf("large head without memory: %+v", ans)
	}
	if ans := exchangeText(t, addr, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", 4096); ans.status != http.StatusOK {
		t.Errorf("small head: status %d", ans.status)
	}
	if _, err := io.WriteString(con, "\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(con).ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 200 ") {
		t.Errorf("the head that had the memory: %q, %v", line, err)
	}
	con.Close()
	for end := time.Now().Add(stopTimeout); ; time.Sleep(20 * time.Millisecond) {
		ans := exchangeText(t, addr, large+"\r\n\r\n", 4096)
		if ans.status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("large head after the end of the other: status %d", ans.status)
		}
	}
}

// A textConn returns a text in pieces.
type textConn struct {
	net.Conn
	text  string
	piece int
}

func (con *textConn) Read(buf []byte) (int, error) {
	if con.text == "" {
		return 0, io.EOF
	}
	num := copy(buf, con.text[:min(len(con.text), con.piece)])
	con.text = con.text[num:]
	return num, nil
}

func (*textConn) Write(buf []byte) (int, error)    { return len(buf), nil }
func (*textConn) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (*textConn) SetWriteDeadline(time.Time) error { return nil }
func (*textConn) SetReadDeadline(time.Time) error  { return nil }

// readTextHead reads a head that arrives in pieces, and returns it as parsed.
func readTextHead(t *testing.T, text string, piece int) (string, error) {
	t.Helper()
	lis := &Listener{WriteTimeout: time.Second, HeadLimit: func() int { return leastHeadBytes }}
	lim := &limitConn{Conn: &textConn{text: text, piece: piece}, lis: lis}
	aud := lis.Audit.Wrap(lim)
	icn := newInputConn(nil, &CallerConn{Conn: aud, audit: aud, lim: lim})
	var hdr protocol.RequestHeader
	err := req.ReadHeaderWithLimit(&hdr, icn, ServerHeadBytes)
	if cap(icn.buf) > 2*leastHeadBytes {
		t.Errorf("a head with a limit of %d bytes holds %d", leastHeadBytes, cap(icn.buf))
	}
	return string(hdr.RawHeaders()), err
}

// FuzzInput guards against heads that are read differently in pieces than as a whole, and
// against ones that hold more than the limit.
func FuzzInput(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 1)
	f.Add("POST /a HTTP/1.1\nA: b\n\nbody", 3)
	f.Add("\r\n\r\nGET / HTTP/1.1\r\n\r\n", 2)
	f.Add("GET /"+strings.Repeat("x", 3000), 100)
	f.Add("GET / HTTP/1.1\r\nA: "+strings.Repeat("b", 1000)+"\r\n\r\n", 50)
	f.Fuzz(func(t *testing.T, text string, piece int) {
		piece = max(piece&0xfff, 1)
		whole, err := readTextHead(t, text, max(len(text), 1))
		parts, partsErr := readTextHead(t, text, piece)
		// hertz checks the method only of a request line that arrives in pieces.
		if partsErr == nil && (err != nil || whole != parts) {
			t.Errorf("%q as a whole: %q, %v; in pieces of %d: %q, %v", text, whole, err, piece, parts, partsErr)
		}
	})
}
