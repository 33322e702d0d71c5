package httpio

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
)

// innerRequest is sent as a body. It must not run.
const innerRequest = "POST /inner HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"

// A framedRequest is a request with innerRequest in its body, or behind it.
type framedRequest struct {
	name, text string
	// want lists the requests that run, with their bodies; nil if it is refused.
	want []string
}

// framedRequests returns requests whose end is certain, and others.
func framedRequests() []framedRequest {
	const start = "POST /outer HTTP/1.1\r\nHost: h\r\n"
	length := fmt.Sprintf("Content-Length: %d\r\n", len(innerRequest))
	const encoding = "Transfer-Encoding: chunked\r\n"
	chunks := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(innerRequest), innerRequest)
	body := []string{"/outer " + innerRequest}
	both := []string{"/outer ", "/inner "}
	return []framedRequest{
		{"length", start + length + "\r\n" + innerRequest, body},
		{"same length twice", start + length + length + "\r\n" + innerRequest, body},
		{"chunked", start + encoding + "\r\n" + chunks, body},
		{"trailer", start + encoding + "\r\n" + strings.TrimSuffix(chunks, "\r\n") + "X-Sum: 1\r\n\r\n", body},
		{"no length", start + "\r\n" + innerRequest, both},
		{"two requests", start + "Content-Length: 0\r\n\r\n" + innerRequest, both},
		{"chunked, and another", start + encoding + "\r\n" + chunks + innerRequest, []string{body[0], "/inner "}},
		{"HTTP/1.0", strings.Replace(start, "/1.1", "/1.0", 1) + length + "\r\n" + innerRequest, body},

		{"two lengths, 0 last", start + length + "Content-Length: 0\r\n\r\n" + innerRequest, nil},
		{"two lengths, 0 first", start + "Content-Length: 0\r\n" + length + "\r\n" + innerRequest, nil},
		{"length and chunked", start + length + encoding + "\r\n" + chunks, nil},
		{"length of 0 and chunked", start + encoding + "Content-Length: 0\r\n\r\n" + chunks, nil},
		{"identity", start + "Transfer-Encoding: identity\r\n\r\n" + innerRequest, nil},
		{"identity and length", start + "Transfer-Encoding: identity\r\n" + length + "\r\n" + innerRequest, nil},
		{"another encoding", start + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks, nil},
		{"chunked twice", start + encoding + encoding + "\r\n" + chunks, nil},
		{"chunked in HTTP/1.0", "POST /outer HTTP/1.0\r\nConnection: keep-alive\r\n" + encoding + "\r\n" + chunks, nil},
		{"list of lengths", start + "Content-Length: 0, 0\r\n\r\n" + innerRequest, nil},
		{"sign", start + "Content-Length: +0\r\n\r\n" + innerRequest, nil},
		{"empty length", start + "Content-Length: \r\n\r\n" + innerRequest, nil},
		{"space before the colon", start + "Content-Length : 0\r\n\r\n" + innerRequest, nil},
		{"line feeds only", strings.ReplaceAll(start+length+"\r\n", "\r", "") + innerRequest, nil},
		{"a line feed in a value", start + "A: b\n" + length + "\r\n" + innerRequest, nil},
		{"no name", start + ": b\r\n" + length + "\r\n" + innerRequest, nil},
		{"CONNECT", strings.Replace(start, "POST", "CONNECT", 1) + length + "\r\n" + innerRequest, nil},
		{"another protocol", strings.Replace(start, "/1.1", "/2.0", 1) + length + "\r\n" + innerRequest, nil},

		{"chunk longer than its size", start + encoding + "\r\n2\r\nabc\r\n0\r\n\r\n" + innerRequest, nil},
		{"line feed behind a chunk", start + encoding + "\r\n2\r\nab\n0\r\n\r\n" + innerRequest, nil},
		{"space behind a size", start + encoding + "\r\n2 \r\nab\r\n0\r\n\r\n" + innerRequest, nil},
		{"trailer with line feeds", start + encoding + "\r\n2\r\nab\r\n0\r\nA: b\n\n" + innerRequest, nil},
		{"no end of the trailer", start + encoding + "\r\n2\r\nab\r\n0\r\n" + innerRequest, nil},
		{"length in the trailer", start + encoding + "\r\n2\r\nab\r\n0\r\nContent-Length: 2\r\n\r\n" + innerRequest, nil},
	}
}

// A ranServer records the requests that it has run.
type ranServer struct {
	addr net.Addr
	mu   sync.Mutex
	ran  []string
}

// Kinds of servers.
const (
	streamedBodies = "streamed"
	wholeBodies    = "whole"
	internalServer = "internal"
)

// newRanServer starts a server of a kind.
func newRanServer(t *testing.T, kind string) *ranServer {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	lis := &Listener{Listener: raw, Limit: 10, ReadTimeout: stopTimeout, WriteTimeout: stopTimeout}
	opts := []config.Option{
		server.WithListener(lis), server.WithTransport(NewTransporter), OnAccept(),
		server.WithMaxHeaderBytes(ServerHeadBytes), server.WithStreamBody(kind == streamedBodies),
	}
	if kind == internalServer {
		lis, opts = NewInternal(raw)
	}
	rsv := &ranServer{addr: raw.Addr()}
	srv := server.New(opts...)
	if kind != streamedBodies {
		srv.Use(CheckBody)
	}
	srv.Use(rsv.serve)
	go func() { _ = srv.Run() }()
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_ = Shutdown(ctx, srv, lis)
	})
	return rsv
}

// serve runs a request. The server has read its body, or doesn't if bodies are streamed.
func (rsv *ranServer) serve(ctx context.Context, rct *app.RequestContext) {
	defer rct.Abort()
	if string(rct.Path()) == "/panic" {
		panic("fault")
	}
	rct.SetStatusCode(http.StatusOK)
	var body []byte
	if rct.Request.IsBodyStream() {
		src := rct.RequestBodyStream()
		if size := rct.Request.Header.ContentLength(); size >= 0 {
			src = io.LimitReader(src, int64(size))
		}
		var err error
		if body, err = io.ReadAll(src); err == nil {
			err = Caller(ctx).BodyError()
		}
		if err != nil {
			rct.SetStatusCode(http.StatusBadRequest)
			rct.SetConnectionClose()
			return
		}
	} else {
		body = rct.Request.Body()
	}
	rsv.mu.Lock()
	defer rsv.mu.Unlock()
	rsv.ran = append(rsv.ran, string(rct.Request.Header.RequestURI())+" "+string(body))
}

// assertRan asserts which requests ran, and that a refusal is a single response that ends
// the connection.
func (rsv *ranServer) assertRan(t *testing.T, frq framedRequest, answer string, err error) {
	t.Helper()
	rsv.mu.Lock()
	defer rsv.mu.Unlock()
	if !slices.Equal(rsv.ran, frq.want) {
		t.Errorf("%q ran, want %q", rsv.ran, frq.want)
	}
	if frq.want != nil {
		return
	}
	if !strings.HasPrefix(answer, "HTTP/1.1 400 ") || strings.Count(answer, "HTTP/1.1 ") != 1 || err != nil {
		t.Errorf("answer %q, then %v, want one 400 and the end", answer, err)
	}
}

// TestUncertainEnd guards against a request whose body was taken for a further request and
// run, because its length was given twice or in a way that parsers read differently: the
// last of several lengths counted. The servers of callers, with streamed and with whole
// bodies, and of operators must refuse it and close the connection.
func TestUncertainEnd(t *testing.T) {
	for _, kind := range []string{streamedBodies, wholeBodies, internalServer} {
		for _, frq := range framedRequests() {
			t.Run(kind+", "+frq.name, func(t *testing.T) {
				t.Parallel()
				for _, size := range []int{len(frq.text), 1} {
					rsv := newRanServer(t, kind)
					answer, err := rsv.exchange(t, frq.text, size)
					rsv.assertRan(t, frq, answer, err)
				}
			})
		}
	}
}

// exchange sends text in pieces and returns what comes back until the end or a pause, and
// the error of the last read.
func (rsv *ranServer) exchange(t *testing.T, text string, size int) (string, error) {
	t.Helper()
	con, err := net.Dial("tcp", rsv.addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	for piece := range slices.Chunk([]byte(text), size) {
		if _, err := con.Write(piece); err != nil {
			break // refused before
		}
	}
	_ = con.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	answer, err := io.ReadAll(con)
	return string(answer), err
}

// TestRefusalInOrder guards against the refusal of a malformed request that overtakes the
// response to the request before it.
func TestRefusalInOrder(t *testing.T) {
	for _, kind := range []string{streamedBodies, wholeBodies, internalServer} {
		for _, frq := range framedRequests() {
			if frq.want != nil {
				continue
			}
			rsv := newRanServer(t, kind)
			answer, err := rsv.exchange(t, innerRequest+frq.text, 1<<10)
			first, second, _ := strings.Cut(answer, "HTTP/1.1 400 ")
			if !strings.HasPrefix(first, "HTTP/1.1 200 ") || strings.Count(answer, "HTTP/1.1 ") != 2 || second == "" || err != nil {
				t.Errorf("%s: answer %q, then %v, want 200, 400 and the end", frq.name, answer, err)
			}
		}
	}
}

// TestSplitRequests guards against a sound request that is refused because a part of it was
// read with its head, also behind an earlier request of the connection.
func TestSplitRequests(t *testing.T) {
	for _, kind := range []string{streamedBodies, wholeBodies, internalServer} {
		for _, frq := range framedRequests() {
			if len(frq.want) != 1 || strings.Contains(frq.text, "HTTP/1.0") {
				continue
			}
			t.Run(kind+", "+frq.name, func(t *testing.T) {
				t.Parallel()
				for pos := 1; pos < len(frq.text); pos += 9 {
					rsv := newRanServer(t, kind)
					rsv.sendSplit(t, frq.text, pos)
					rsv.mu.Lock()
					if want := []string{frq.want[0], frq.want[0], frq.want[0]}; !slices.Equal(rsv.ran, want) {
						t.Errorf("split at %q: %q ran, want %q", frq.text[pos:], rsv.ran, want)
					}
					rsv.mu.Unlock()
				}
			})
		}
	}
}

// sendSplit sends a request three times on one connection, in two parts with a pause between
// them, and awaits each response.
func (rsv *ranServer) sendSplit(t *testing.T, text string, pos int) {
	t.Helper()
	con, err := net.Dial("tcp", rsv.addr.String())
	if err != nil {
		t.Fatal(err)
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(stopTimeout))
	src := bufio.NewReader(con)
	for range 3 {
		_, _ = io.WriteString(con, text[:pos])
		time.Sleep(3 * time.Millisecond)
		_, _ = io.WriteString(con, text[pos:])
		res, err := http.ReadResponse(src, nil)
		if err != nil {
			t.Errorf("split at %q: %v", text[pos:], err)
			return
		}
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}
