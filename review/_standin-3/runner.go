package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A runner is a sound server of a plain service: it works for a while on each request and
// then answers with a body of a fixed size.
type runner struct {
	id, service, zone string
	addr              string
	size              int
	work              time.Duration
	log               *journal
	born              int64
	seal              string
	body              []byte
}

// startRunner starts a runner and its heartbeat.
func startRunner(sto *store, log *journal, id, service, zone string, size int, work time.Duration) (*runner, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	run := &runner{
		id: id, service: service, zone: zone, addr: lis.Addr().String(), size: size, work: work, log: log,
		born: time.Now().UnixMilli(), body: make([]byte, size),
	}
	for idx := range run.body {
		run.body[idx] = 'a' + byte(idx%26)
	}
	sum := sha256.Sum256(run.body)
	run.seal = id + "." + hex.EncodeToString(sum[:8])
	srv := &http.Server{Handler: run}
	go func() { _ = srv.Serve(lis) }()
	go func() {
		for seq := 1; ; seq++ {
			sto.put("servers", id, map[string]any{
				"service": service, "address": run.addr, "zone": zone, "version": "v1", "slots": 64,
				"state": "ready", "seq": seq, "cold_left_ms": 0, "born": run.born,
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return run, nil
}

// ServeHTTP serves one request.
func (run *runner) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Wagtailwick-Request-Id")
	wri.Header().Set("Wagtailwick-Instance-Id", run.id)
	switch {
	case req.URL.Path == "/-/report":
		fmt.Fprintf(wri, `{"busy":false,"seq":1,"queued":0,"running":0,"kv_used":0,"kv_total":0,"handles":0,"born":%d}`, run.born)
		return
	case req.URL.Path == "/health":
		return
	}
	wri.Header().Set("Wagtailwick-Request-Id", id)
	if want := req.Header.Get("Wagtailwick-Expect-Instance"); want != "" && want != run.id {
		wri.Header().Set("Wagtailwick-Not-Executed", "1")
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run.log.ran(id, run.id)
	select {
	case <-time.After(run.work):
	case <-req.Context().Done():
		return
	}
	wri.Header().Set("Wagtailwick-Response-Seal", run.seal)
	wri.Header().Set("Content-Length", strconv.Itoa(run.size))
	_, _ = wri.Write(run.body)
}

// A journal records what was sent, run and answered.
type journal struct {
	mu    sync.Mutex
	start time.Time
	runs  map[string][]string
	lines []string
}

func newJournal() *journal { return &journal{start: time.Now(), runs: make(map[string][]string)} }

func (log *journal) note(format string, args ...any) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.lines = append(log.lines, fmt.Sprintf("%8.3f ", time.Since(log.start).Seconds())+fmt.Sprintf(format, args...))
}

func (log *journal) ran(id, run string) {
	log.mu.Lock()
	log.runs[id] = append(log.runs[id], run)
	log.mu.Unlock()
	log.note("runner %s runs %s", run, id)
}

// runsOf returns the runners that ran a request.
func (log *journal) runsOf(id string) []string {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.runs[id]
}
