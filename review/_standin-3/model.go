package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	modelEvents   = 40
	eventInterval = 25 * time.Millisecond
	// downTime is how long a model runner is down after a crash.
	downTime = 3 * time.Second
)

// A modelRunner is a sound server of a model service: it answers with a stream of events. If
// a prompt has the deadly part, it ends some time after it has begun to write the answer, and
// is back after downTime, under the same id and address and with a new start time.
type modelRunner struct {
	id, service, zone, addr string
	log                     *journal
	sto                     *store
	// deadly is the deadly part, "" if there is none, and delay the time from the first event
	// of an answer on it to the crash.
	deadly  string
	delay   time.Duration
	crashed func(id string)

	mu      sync.Mutex
	born    int64
	seq     int
	down    bool
	srv     *http.Server
	conns   map[net.Conn]bool
	running map[string]int
}

func startModelRunner(run *modelRunner) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	run.addr = lis.Addr().String()
	run.serve(lis)
	go func() {
		for {
			run.beat()
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// serve begins an incarnation.
func (run *modelRunner) serve(lis net.Listener) {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.born, run.seq, run.down = time.Now().UnixMilli(), 0, false
	run.conns, run.running = make(map[net.Conn]bool), make(map[string]int)
	conns := run.conns
	run.srv = &http.Server{Handler: run, ConnState: func(con net.Conn, state http.ConnState) {
		run.mu.Lock()
		defer run.mu.Unlock()
		if state == http.StateClosed || state == http.StateHijacked {
			delete(conns, con)
			return
		}
		conns[con] = true
	}}
	go func(srv *http.Server) { _ = srv.Serve(lis) }(run.srv)
}

// beat writes the runner's entry.
func (run *modelRunner) beat() {
	run.mu.Lock()
	if run.down {
		run.mu.Unlock()
		return
	}
	run.seq++
	spec := map[string]any{
		"service": run.service, "address": run.addr, "zone": run.zone, "version": "v1", "slots": 64, "state": "ready",
		"seq": run.seq, "cold_left_ms": 0, "born": run.born, "stage": "both",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
	}
	run.mu.Unlock()
	run.sto.put("servers", run.id, spec)
}

// crash ends the incarnation and all of its connections, and begins the next one later.
func (run *modelRunner) crash(id string) {
	run.mu.Lock()
	if run.down {
		run.mu.Unlock()
		return
	}
	run.down = true
	srv, conns := run.srv, run.conns
	broken := 0
	for _, num := range run.running {
		broken += num
	}
	for con := range conns {
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	run.mu.Unlock()
	_ = srv.Close()
	run.log.note("runner %s crashes on %s with %d runs", run.id, id, broken)
	run.crashed(id)
	go func() {
		time.Sleep(downTime)
		for {
			lis, err := net.Listen("tcp", run.addr)
			if err == nil {
				run.serve(lis)
				run.beat()
				run.log.note("runner %s is back", run.id)
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
}

// report is the answer to GET /-/report.
func (run *modelRunner) report(wri http.ResponseWriter) {
	run.mu.Lock()
	runs := [][]any{}
	for id := range run.running {
		runs = append(runs, []any{id, 500, 1, 5})
	}
	body := map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false,
		"seq": run.seq, "queued": 0, "running": len(runs), "kv_used": 500 * len(runs), "kv_total": 500000, "handles": 0,
		"born": run.born, "runs": runs, "state": "ready",
	}
	run.mu.Unlock()
	wri.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wri).Encode(body)
}

// ServeHTTP serves one request.
func (run *modelRunner) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/-/report" {
		run.report(wri)
		return
	}
	id := req.Header.Get("Wagtailwick-Request-Id")
	wri.Header().Set("Wagtailwick-Instance-Id", run.id)
	wri.Header().Set("Wagtailwick-Request-Id", id)
	if want := req.Header.Get("Wagtailwick-Expect-Instance"); want != run.id {
		wri.Header().Set("Wagtailwick-Not-Executed", "1")
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run.log.ran(id, run.id)
	run.mu.Lock()
	running := run.running
	running[id]++
	run.mu.Unlock()
	defer func() {
		run.mu.Lock()
		delete(running, id)
		run.mu.Unlock()
	}()
	wri.Header().Set("Content-Type", "text/event-stream")
	wri.Header().Set("Wagtailwick-Response-Seal", "seal."+id)
	wri.Header().Set("Wagtailwick-Weight-Versions", "1")
	isDeadly := run.deadly != "" && strings.Contains(req.Header.Get("Wagtailwick-Prompt-Prefix"), run.deadly+":")
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for num := from + 1; num <= modelEvents; num++ {
		fmt.Fprintf(wri, "id: %d\ndata: %s %d\n\n", num, id, num)
		if flusher, ok := wri.(http.Flusher); ok {
			flusher.Flush()
		}
		if isDeadly && num == from+1 {
			time.AfterFunc(run.delay, func() { run.crash(id) })
		}
		select {
		case <-req.Context().Done():
			return
		case <-time.After(eventInterval):
		}
	}
}

// errCut is the result of a stream that ended early.
var errCut = errors.New("stream cut")

// stream sends a streaming request on a connection of its own and returns its status, and
// errCut if the answer is not complete.
func stream(ctx context.Context, ent *entry, path, id, prefix string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ent.front+path, strings.NewReader("body of "+id))
	if err != nil {
		return 0, err
	}
	req.Host, req.Close = "ficu95.example", true
	req.Header = http.Header{
		"Wagtailwick-Request-Id": {id}, "Wagtailwick-Deadline-Ms": {"6000"}, "Wagtailwick-Credential": {"key-a"},
		"Wagtailwick-Model": {"m"}, "Wagtailwick-Token-Usage": {"800,160"}, "Wagtailwick-Prompt-Prefix": {prefix},
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	var buf strings.Builder
	part := make([]byte, 4096)
	for {
		num, rerr := res.Body.Read(part)
		buf.Write(part[:num])
		if rerr != nil {
			break
		}
	}
	if res.StatusCode == http.StatusOK && !strings.Contains(buf.String(), fmt.Sprintf("id: %d\n", modelEvents)) {
		return res.StatusCode, errCut
	}
	return res.StatusCode, nil
}
