package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// pieces is the number of events of a stream, and of parts of another answer.
	pieces = 20
	// pieceInterval is the time between two of them.
	pieceInterval = 40 * time.Millisecond
	// undelimitedPath ends the paths of the requests that are answered without a length.
	undelimitedPath = "/undelimited"
)

// piece returns one part of the answer to a request. Parts of a stream are events.
func piece(path string, num int) string {
	if isStream(path) {
		return fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", num, num, pieces)
	}
	return fmt.Sprintf("line %2d of %d\n", num, pieces)
}

func isStream(path string) bool {
	return strings.HasPrefix(path, "/say/") || strings.HasPrefix(path, "/resume/")
}

// serveRunner is a runner as a process of its own. It prints its address and a line for each
// run. Requests whose path ends in undelimitedPath are answered without a length or chunks; their
// answers end with the connection.
func serveRunner(id string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println("address", lis.Addr())
	rnr := &runner{id: id, born: time.Now().UnixMilli(), runs: make(map[string]bool)}
	for {
		con, err := lis.Accept()
		if err != nil {
			return
		}
		go rnr.serve(con)
	}
}

type runner struct {
	id   string
	born int64

	mu sync.Mutex
	// runs holds the ids of the requests in progress.
	runs map[string]bool
}

// serve serves the requests of one connection.
func (rnr *runner) serve(con net.Conn) {
	defer con.Close()
	src := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(src)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !rnr.answer(con, req) {
			return
		}
	}
}

// answer answers one request and reports whether the connection stays open.
func (rnr *runner) answer(con net.Conn, req *http.Request) bool {
	rid := req.Header.Get("Wagtailwick-Request-Id")
	switch {
	case req.URL.Path == "/-/report":
		return rnr.report(con)
	case req.URL.Path == "/health":
		return writeWhole(con, "200 OK", "Wagtailwick-Instance-Id: "+rnr.id+"\r\n", "")
	case req.Header.Get("Wagtailwick-Expect-Instance") != rnr.id:
		return writeWhole(con, "421 Misdirected Request", "Wagtailwick-Request-Id: "+rid+"\r\nWagtailwick-Not-Executed: 1\r\n", "")
	}
	rnr.setRunning(rid, true)
	defer rnr.setRunning(rid, false)
	undelimited := strings.HasSuffix(req.URL.Path, undelimitedPath)
	framing := "chunks"
	if undelimited {
		framing = "undelimited"
	}
	fmt.Println("run", rid, framing)
	var out io.Writer = con
	head := "HTTP/1.1 200 OK\r\nWagtailwick-Request-Id: " + rid + "\r\nWagtailwick-Response-Seal: seal-" + rid + "\r\n"
	if isStream(req.URL.Path) {
		head += "Content-Type: text/event-stream\r\n"
	}
	if !undelimited {
		head += "Transfer-Encoding: chunked\r\n"
		out = chunkWriter{con}
	}
	if _, err := io.WriteString(con, head+"\r\n"); err != nil {
		return false
	}
	for num := 1; num <= pieces; num++ {
		if _, err := io.WriteString(out, piece(req.URL.Path, num)); err != nil {
			return false
		}
		time.Sleep(pieceInterval)
	}
	fmt.Println("end", rid, framing)
	if undelimited {
		return false
	}
	_, err := io.WriteString(con, "0\r\n\r\n")
	return err == nil
}

// A chunkWriter writes each piece as one chunk.
type chunkWriter struct{ out io.Writer }

func (cwr chunkWriter) Write(data []byte) (int, error) {
	_, err := fmt.Fprintf(cwr.out, "%x\r\n%s\r\n", len(data), data)
	return len(data), err
}

func writeWhole(con net.Conn, status, header, body string) bool {
	_, err := fmt.Fprintf(con, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
	return err == nil
}

func (rnr *runner) setRunning(rid string, running bool) {
	rnr.mu.Lock()
	defer rnr.mu.Unlock()
	if running {
		rnr.runs[rid] = true
		return
	}
	delete(rnr.runs, rid)
}

func (rnr *runner) report(con net.Conn) bool {
	rnr.mu.Lock()
	rows := make([]string, 0, len(rnr.runs))
	for rid := range rnr.runs {
		rows = append(rows, fmt.Sprintf("[%q,100,1,1]", rid))
	}
	rnr.mu.Unlock()
	body := fmt.Sprintf(`{"stage":"both","models":[],"busy":false,"seq":1,"queued":0,"running":%d,"kv_used":100,"kv_total":100000,"handles":0,"state":"ready","born":%d,"runs":[%s]}`,
		len(rows), rnr.born, strings.Join(rows, ","))
	return writeWhole(con, "200 OK", "Content-Type: application/json\r\n", body)
}
