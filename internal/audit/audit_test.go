package audit

import (
	"bytes"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/rcrowley/go-metrics"
)

// A fakeConn reads what in holds in pieces of at most size bytes, and collects what is
// written.
type fakeConn struct {
	net.Conn
	in   strings.Reader
	out  bytes.Buffer
	size int
	// readErr is the error behind in, writeErr that of each write.
	readErr, writeErr error
}

func (fkc *fakeConn) Read(buf []byte) (int, error) {
	num, err := fkc.in.Read(buf[:min(len(buf), fkc.size)])
	if errors.Is(err, io.EOF) {
		err = fkc.readErr
	}
	return num, err
}

func (fkc *fakeConn) Write(buf []byte) (int, error) {
	if fkc.writeErr != nil {
		return 0, fkc.writeErr
	}
	return fkc.out.Write(buf)
}

func (fkc *fakeConn) Close() error         { return nil }
func (fkc *fakeConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// A run is a connection with the counters of its tracker.
type run struct {
	*testing.T
	trk Tracker
	fkc fakeConn
	con *Conn
}

func newRun(t *testing.T, size int, input string) *run {
	t.Helper()
	rnn := &run{T: t, trk: Tracker{IDHeader: "X-Id", Metrics: metrics.NewRegistry()}}
	rnn.fkc.size, rnn.fkc.readErr = size, os.ErrDeadlineExceeded
	rnn.fkc.in.Reset(input)
	rnn.con = rnn.trk.Wrap(&rnn.fkc)
	return rnn
}

// readAll reads until the first error.
func (rnn *run) readAll() {
	buf := make([]byte, 4096)
	for {
		if _, err := rnn.con.Read(buf); err != nil {
			return
		}
	}
}

// writeAll writes text in pieces.
func (rnn *run) writeAll(text string) {
	for piece := range slices.Chunk([]byte(text), rnn.fkc.size) {
		if _, err := rnn.con.Write(piece); err != nil {
			return
		}
	}
}

// counts returns all counters that are not zero.
func (rnn *run) counts() map[string]int64 {
	out := make(map[string]int64)
	rnn.trk.Metrics.Each(func(name string, val any) {
		if cnt, ok := val.(metrics.Counter); ok && cnt.Count() != 0 {
			out[strings.TrimPrefix(name, metricPrefix)] = cnt.Count()
		}
	})
	return out
}

// assert checks the counters, given separated by commas, and the invariant.
func (rnn *run) assert(want string) {
	rnn.Helper()
	got, exp := rnn.counts(), make(map[string]int64)
	for name := range strings.FieldsFuncSeq(want, func(char rune) bool { return char == ',' }) {
		exp[name]++
	}
	if !maps.Equal(got, exp) {
		rnn.Errorf("counters %v, want %v", got, exp)
	}
	rnn.assertInvariant()
}

func (rnn *run) assertInvariant() {
	rnn.Helper()
	sum := rnn.trk.Open()
	for name, num := range rnn.counts() {
		switch name {
		case "read", "unasked":
		default:
			sum += num
		}
	}
	if read := rnn.counts()["read"]; read != sum || rnn.trk.Open() < 0 {
		rnn.Errorf("%d requests read, but %d open or ended: %v", read, sum, rnn.counts())
	}
}

const (
	get      = "GET /a?q HTTP/1.1\r\nHost: h\r\nX-Id: r\r\n\r\n"
	headReq  = "HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n"
	post     = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nab\r\n\r"
	chunked  = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0A\r\n0123456789\r\n0\r\nT: v\r\n\r\n"
	expect   = "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n"
	okay     = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	chunks   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	busy     = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
	goOn     = "HTTP/1.1 100 Continue\r\n\r\n"
	last     = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
	lastUp   = "HTTP/1.1 200 OK\r\n\r\nuntil the end"
	headOnly = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
)

// TestFraming guards against requests and responses whose end is seen too early, too late
// or not at all, however their bytes are split.
func TestFraming(t *testing.T) {
	for name, tst := range map[string]struct{ in, out, want string }{
		"no request":              {"", "", ""},
		"empty lines":             {"\r\n\r\n", "", ""},
		"half a head":             {get[:20], "", ""},
		"half a body":             {post[:len(post)-1], "", ""},
		"half of chunks":          {chunked[:len(chunked)-2], "", ""},
		"answer":                  {get, okay, "read,answered"},
		"empty lines before":      {"\r\n" + get, okay, "read,answered"},
		"line feeds only":         {strings.ReplaceAll(get, "\r", ""), okay, "read,answered"},
		"body":                    {post, chunks, "read,answered"},
		"chunked":                 {chunked, chunks, "read,answered"},
		"refusal":                 {get, busy, "read,refused"},
		"pipelined":               {get + chunked + post + headReq + get, okay + chunks + busy + headOnly + okay, "read,read,read,read,read,answered,answered,refused,answered,answered"},
		"one open":                {get + post, okay, "read,read,answered,unanswered"},
		"head":                    {headReq, headOnly, "read,answered"},
		"no content":              {get, "HTTP/1.1 204 No Content\r\n\r\n", "read,answered"},
		"not modified":            {get, "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n", "read,answered"},
		"continue":                {expect + "x", goOn + okay, "read,answered"},
		"until the end":           {get, lastUp, "read,answered"},
		"until the end, one more": {get + get, lastUp, "read,read,answered,brokenOff.entry.closeAnnounced"},
		"last response":           {get + get, last, "read,read,answered,brokenOff.entry.closeAnnounced"},
		"nothing":                 {get, "", "read,unanswered"},
		"half a response head":    {get, okay[:20], "read,unanswered"},
		"half a response body":    {get, okay[:len(okay)-1], "read,unanswered"},
		"half of the last":        {get, last[:len(last)-1], "read,unanswered"},
		"only 100":                {post, goOn, "read,unanswered"},
		"no last chunk":           {get, chunks[:len(chunks)-5], "read,unanswered"},
		"no last line":            {get, chunks[:len(chunks)-2], "read,unanswered"},
		"unasked":                 {get, okay + okay, "read,answered,unasked"},
		"unasked first":           {"", okay, "unasked"},
		"early response":          {expect, busy, ""},
		"answer to half a head":   {get[:20], busy, ""},
		"malformed head":          {"GET\r\n\r\n", busy, "read,untracked"},
		"malformed chunk":         {strings.Replace(chunked, "0A", "zz", 1), busy, "read,untracked"},
		"malformed behind":        {get + "GET\r\n\r\n", okay + busy, "read,read,answered,untracked"},
		"malformed response":      {get, "odd\r\n\r\n", "read,untracked"},
		"head too large":          {"GET /a HTTP/1.1\r\nX: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n", "", "read,untracked"},
		"response head too large": {get, "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", maxHeadBytes) + "\r\n\r\n", "read,untracked"},
	} {
		for _, size := range []int{1, 2, 3, 7, 4096} {
			t.Run(name, func(t *testing.T) {
				rnn := newRun(t, size, tst.in)
				rnn.readAll()
				rnn.writeAll(tst.out)
				rnn.assertInvariant()
				rnn.con.Close()
				rnn.con.Close()
				rnn.assert(tst.want)
				if got := rnn.fkc.out.String(); got != tst.out {
					t.Errorf("wrote %q", got)
				}
			})
		}
	}
}

// TestEarlyResponse guards against a request that counts as unanswered because its refusal
// was complete before its body had been read.
func TestEarlyResponse(t *testing.T) {
	rnn := newRun(t, 4096, post[:len(post)-2])
	rnn.readAll()
	rnn.writeAll(busy)
	rnn.assert("")
	rnn.fkc.in.Reset(post[len(post)-2:] + get)
	rnn.readAll()
	rnn.assert("read,refused,read")
	rnn.writeAll(okay)
	rnn.con.Close()
	rnn.assert("read,refused,read,answered")
}

// TestEnds guards against a response that is not complete and is charged to the wrong party.
func TestEnds(t *testing.T) {
	reset := &net.OpError{Op: "read", Err: syscall.ECONNRESET}
	for name, tst := range map[string]struct {
		readErr, writeErr error
		in                string
		declare           string
		want              string
	}{
		"entry":                      {in: get, want: "read,unanswered"},
		"own timeout of a read":      {in: get, readErr: os.ErrDeadlineExceeded, want: "read,unanswered"},
		"own close":                  {in: get, readErr: net.ErrClosed, writeErr: net.ErrClosed, want: "read,unanswered"},
		"caller has closed":          {in: get, readErr: io.EOF, want: "read,unanswered"},
		"caller has reset":           {in: get, readErr: reset, want: "read,brokenOff.caller.readFailed"},
		"write failed":               {in: get, writeErr: syscall.EPIPE, want: "read,brokenOff.caller.writeFailed"},
		"write failed, then ended":   {in: get, writeErr: syscall.EPIPE, readErr: io.EOF, want: "read,brokenOff.caller.writeFailed"},
		"caller doesn't read":        {in: get, writeErr: os.ErrDeadlineExceeded, want: "read,brokenOff.caller.writeTimeout"},
		"declared":                   {in: get, declare: "panic", want: "read,brokenOff.entry.panic"},
		"declared, caller has reset": {in: get, declare: "panic", readErr: reset, want: "read,brokenOff.entry.panic"},
		"declared, one more":         {in: get + get, declare: "panic", want: "read,read,brokenOff.entry.panic,brokenOff.entry.closeAnnounced"},
		"not read whole":             {in: post[:40], readErr: reset, want: ""},
	} {
		for end, stop := range map[string]func(rnn *run){
			"close":   func(rnn *run) { rnn.con.Close() },
			"process": func(rnn *run) { rnn.trk.Stop() },
		} {
			t.Run(name+", "+end, func(t *testing.T) {
				rnn := newRun(t, 4096, tst.in)
				if tst.readErr != nil {
					rnn.fkc.readErr = tst.readErr
				}
				rnn.fkc.writeErr = tst.writeErr
				rnn.readAll()
				rnn.writeAll("HTTP/1.1 200 OK\r\n")
				if tst.declare != "" {
					rnn.con.BrokenOff(Entry, tst.declare)
				}
				rnn.assertInvariant()
				stop(rnn)
				rnn.assert(tst.want)
				rnn.con.Close()
				rnn.assert(tst.want)
				if len(rnn.trk.conns) != 0 {
					t.Error("a closed connection is kept")
				}
			})
		}
	}
}

// TestPipelinedBound guards against memory that grows with the pipelined requests of one
// caller.
func TestPipelinedBound(t *testing.T) {
	rnn := newRun(t, 4096, strings.Repeat(get, maxOpen+100))
	rnn.readAll()
	if open := rnn.trk.Open(); open != maxOpen {
		t.Errorf("%d open, want %d", open, maxOpen)
	}
	rnn.writeAll(strings.Repeat(okay, maxOpen+100))
	rnn.con.Close()
	if got := rnn.counts(); got["answered"] != maxOpen || got["untracked"] != 1 || got["unasked"] != 0 {
		t.Errorf("counters %v", got)
	}
	rnn.assertInvariant()
}

// TestNilConn guards against a panic of a server whose connections are not audited.
func TestNilConn(*testing.T) {
	var con *Conn
	con.BrokenOff(Entry, "panic")
}

// FuzzConn guards against bytes that panic the audit, are altered by it, or break the
// invariant of its counters.
func FuzzConn(f *testing.F) {
	for _, seed := range []struct{ in, out string }{
		{get + chunked + post, okay + chunks + busy},
		{expect, goOn + last},
		{headReq, headOnly},
		{get, lastUp},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFFF\r\n", "HTTP/1.1 101 X\r\n\r\n\x00"},
		{"\n\nCONNECT h:1 HTTP/1.0\n\n", "HTTP/1.1 999999999999 \r\nContent-Length: -1\r\n\r\n"},
		{"GET / HTTP/1.1\r\nContent-Length: 99999999999999999999\r\n\r\n", "\r\n\r\n"},
	} {
		f.Add(seed.in, seed.out, byte(3), true)
	}
	f.Fuzz(func(t *testing.T, input, output string, size byte, declare bool) {
		rnn := newRun(t, int(size)+1, input)
		half := len(output) / 2
		rnn.writeAll(output[:half])
		rnn.readAll()
		rnn.writeAll(output[half:])
		if declare {
			rnn.con.BrokenOff(Endpoint, "lost")
		}
		rnn.assertInvariant()
		rnn.con.Close()
		rnn.assertInvariant()
		if rnn.trk.Open() != 0 {
			t.Errorf("%d requests open behind the close", rnn.trk.Open())
		}
		if got := rnn.fkc.out.String(); got != output {
			t.Errorf("wrote %q, want %q", got, output)
		}
	})
}

// BenchmarkRequest measures the cost of a request and its response of 64 KiB.
func BenchmarkRequest(b *testing.B) {
	trk := Tracker{IDHeader: "X-Id", Metrics: metrics.NewRegistry()}
	fkc := fakeConn{size: 4096, readErr: os.ErrDeadlineExceeded}
	con := trk.Wrap(&fkc)
	buf := make([]byte, 4096)
	head := []byte("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 65536\r\n\r\n")
	data := make([]byte, 64<<10)
	b.ReportAllocs()
	for b.Loop() {
		fkc.in.Reset(get)
		_, _ = con.Read(buf)
		con.sent(head)
		con.sent(data)
	}
	if trk.Open() != 0 {
		b.Errorf("%d open", trk.Open())
	}
}

// TestResponseToEmptyLines guards against a refusal of empty lines that is reported as a fault
// of the program, and against a response without any input that is not.
func TestResponseToEmptyLines(t *testing.T) {
	for input, want := range map[string]int64{"\r\n": 0, "\r\n\n": 0, "": 1} {
		rnn := newRun(t, 8, input)
		rnn.readAll()
		rnn.writeAll("HTTP/1.1 400 X\r\nContent-Length: 0\r\n\r\n")
		if got := rnn.counts()["unasked"]; got != want {
			t.Errorf("input %q: %d responses without a request, want %d", input, got, want)
		}
	}
}
