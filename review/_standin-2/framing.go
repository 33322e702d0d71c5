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

// A recorder is a runner that answers at once and keeps the requests that it has run.
type recorder struct {
	env *environment
	id  string

	mu   sync.Mutex
	runs map[string]string
}

// serve answers the requests of one connection.
func (rec *recorder) serve(con net.Conn) {
	defer con.Close()
	src := bufio.NewReader(con)
	for {
		req, err := http.ReadRequest(src)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		rid := req.Header.Get("Wagtailwick-Request-Id")
		header := "Wagtailwick-Request-Id: " + rid + "\r\n"
		switch {
		case strings.HasPrefix(req.URL.Path, "/-/"):
			if !writeWhole(con, "200 OK", "Content-Type: application/json\r\n", "{}") {
				return
			}
			continue
		case req.Header.Get("Wagtailwick-Expect-Instance") != rec.id:
			if !writeWhole(con, "421 Misdirected Request", header+"Wagtailwick-Not-Executed: 1\r\n", "") {
				return
			}
			continue
		}
		rec.env.note("runner %s runs %s: %s %s, tenant %s, body %q", rec.id, rid, req.Method, req.RequestURI, req.Header.Get("Wagtailwick-Tenant"), body)
		rec.mu.Lock()
		rec.runs[rid] = string(body)
		rec.mu.Unlock()
		if !writeWhole(con, "200 OK", header+"Wagtailwick-Response-Seal: seal-"+rid+"\r\n", "done") {
			return
		}
	}
}

// ran returns the body with which a request ran, and whether it did.
func (rec *recorder) ran(rid string) (body string, ok bool) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	body, ok = rec.runs[rid]
	return body, ok
}

// Requests of the case. The inner one stands in the body of the outer one.
const (
	outerID = "outer-1"
	innerID = "inner-1"
)

// requestHead returns the head of a request without its framing.
func requestHead(rid string) string {
	return "POST /book/x HTTP/1.1\r\nHost: " + host + "\r\nWagtailwick-Request-Id: " + rid +
		"\r\nWagtailwick-Credential: " + apiKey + "\r\nWagtailwick-Deadline-Ms: 1500\r\n"
}

// playFraming checks that a request in the body of another one doesn't run, also if the outer
// one names two lengths.
func playFraming(env *environment) int {
	env.writeConfig()
	rec := &recorder{env: env, id: "i-00000001", runs: make(map[string]string)}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return exitNotRun
	}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go rec.serve(con)
		}
	}()
	stop := make(chan struct{})
	defer close(stop)
	env.register(rec.id, service, lis.Addr().String(), stop)
	ent, err := env.startEntry("front-z1-1")
	if err != nil || !ent.awaitReady() {
		env.note("the entry isn't ready: %v", err)
		return exitNotRun
	}
	time.Sleep(time.Second)
	body := requestHead(innerID) + "Content-Length: 0\r\n\r\n"
	framing := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	if env.trouble {
		framing += "Content-Length: 0\r\n"
	}
	if !env.exchange(ent, requestHead(outerID)+framing+"\r\n"+body) {
		return exitNotRun
	}
	got, outer := rec.ran(outerID)
	_, inner := rec.ran(innerID)
	switch {
	case inner:
		env.note("BROKEN: the request in the body of another one ran")
		return exitBroken
	case outer && got != body:
		env.note("BROKEN: the request ran with another body")
		return exitBroken
	case !env.trouble && !outer:
		env.note("a proper request didn't run")
		return exitNotRun
	default:
		return exitHeld
	}
}

// exchange sends text on a connection of its own and notes what comes back within a second.
func (env *environment) exchange(ent *entry, text string) bool {
	con, err := net.Dial("tcp", ent.front)
	if err != nil {
		env.note("no connection: %v", err)
		return false
	}
	defer con.Close()
	env.note("client sends %q", text)
	if _, err := io.WriteString(con, text); err != nil {
		env.note("not sent: %v", err)
		return false
	}
	if err := con.SetReadDeadline(time.Now().Add(time.Second)); err != nil {
		return false
	}
	answer, err := io.ReadAll(con)
	env.note("client gets %q, then %v", answer, err)
	return true
}
