package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// A long stream has longEvents events and takes 9.6 s, a short one shortEvents.
	longEvents, longInterval   = 120, 80 * time.Millisecond
	shortEvents, shortInterval = 20, 25 * time.Millisecond
	// 15 short and 3 long streams begin in a second. Each fourth long one, 1 in 24 of all
	// answers, comes without a length or chunks.
	shortPause, longPause = 67 * time.Millisecond, 333 * time.Millisecond
	unframedEvery         = 4
	orderTime             = 25 * time.Second
)

// A versionRunner is a sound server of one version of a model service.
type versionRunner struct {
	id, zone, version, addr string
	log                     *journal
	born                    int64

	mu      sync.Mutex
	stopped bool
	srv     *http.Server
	open    map[net.Conn]bool
}

func startVersionRunner(sto *store, run *versionRunner) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	run.addr, run.born, run.open = lis.Addr().String(), time.Now().UnixMilli(), make(map[net.Conn]bool)
	run.srv = &http.Server{Handler: run}
	go func() { _ = run.srv.Serve(lis) }()
	go func() {
		for seq := 1; ; seq++ {
			run.mu.Lock()
			stopped := run.stopped
			run.mu.Unlock()
			if stopped {
				return
			}
			sto.put("servers", run.id, map[string]any{
				"service": "asistent", "address": run.addr, "zone": run.zone, "version": run.version, "slots": 64, "state": "ready",
				"seq": seq, "cold_left_ms": 0, "born": run.born, "stage": "both",
				"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// stop ends the runner at once. Its system closes its connections, in which nothing is unread.
func (run *versionRunner) stop() {
	run.mu.Lock()
	run.stopped = true
	for con := range run.open {
		_ = con.Close()
	}
	num := len(run.open)
	run.mu.Unlock()
	_ = run.srv.Close()
	run.log.note("runner %s (%s) stops with %d streams", run.id, run.version, num)
}

// ServeHTTP serves one request. It writes the answer itself, so that it may leave out the
// chunks and is cut like that of a process that ends.
func (run *versionRunner) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	if req.URL.Path == "/-/report" {
		fmt.Fprintf(wri, `{"stage":"both","busy":false,"seq":1,"queued":1,"running":1,"kv_used":0,"kv_total":500000,"handles":0,"born":%d,"runs":[]}`, run.born)
		return
	}
	id := req.Header.Get("Wagtailwick-Request-Id")
	if req.Header.Get("Wagtailwick-Expect-Instance") != run.id {
		wri.Header().Set("Wagtailwick-Request-Id", id)
		wri.Header().Set("Wagtailwick-Not-Executed", "1")
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	for buf := make([]byte, 4096); ; {
		if _, err := req.Body.Read(buf); err != nil {
			break
		}
	}
	con, _, err := http.NewResponseController(wri).Hijack()
	if err != nil {
		return
	}
	defer con.Close()
	run.mu.Lock()
	stopped := run.stopped
	run.open[con] = true
	run.mu.Unlock()
	defer func() {
		run.mu.Lock()
		delete(run.open, con)
		run.mu.Unlock()
	}()
	if stopped {
		return
	}
	run.log.ran(id, run.id)
	run.write(con, id)
}

// write writes the answer to a request.
func (run *versionRunner) write(con net.Conn, id string) {
	events, interval := shortEvents, shortInterval
	if strings.HasPrefix(id, "long") {
		events, interval = longEvents, longInterval
	}
	framed := !strings.HasPrefix(id, "long-open")
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nWagtailwick-Request-Id: " + id +
		"\r\nWagtailwick-Response-Seal: seal." + id + "\r\nWagtailwick-Weight-Versions: 1\r\nConnection: close\r\n"
	if framed {
		head += "Transfer-Encoding: chunked\r\n"
	}
	out := bufio.NewWriter(con)
	_, _ = out.WriteString(head + "\r\n")
	for num := 1; num <= events; num++ {
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", num, id, num)
		if framed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		_, _ = out.WriteString(text)
		if out.Flush() != nil {
			return
		}
		time.Sleep(interval)
	}
	if framed {
		_, _ = out.WriteString("0\r\n\r\n")
		_ = out.Flush()
	}
}

// playRollout plays an order for a good version. When the system has recorded it as
// completed, the platform stops the old runners at once.
func playRollout(sit *site) (bool, string, error) {
	sit.sto.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "path_prefix": "/say/", "kind": "streaming", "service": "asistent",
			"timeout_ms": 12000, "target_latency_ms": 2500, "priority": 1, "max_attempts": 1, "public": false,
			"sticky_sessions": true, "stream_resume": false, "target_gap_ms": 1000,
		}},
		"services": []any{map[string]any{"name": "asistent", "engine": map[string]any{}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{"key-a"}, "rate_per_s": 0, "burst": 0}},
	})
	zones := []string{"timis-a", "timis-b", "arad-a", "arad-b"}
	var old []*versionRunner
	add := func(version string) error {
		for num := range 4 {
			run := &versionRunner{id: fmt.Sprintf("i-%s-%d", version, num), zone: zones[num], version: version, log: sit.log}
			if err := startVersionRunner(sit.sto, run); err != nil {
				return err
			}
			if version == "v1" {
				old = append(old, run)
			}
		}
		return nil
	}
	if err := add("v1"); err != nil {
		return false, "", err
	}
	for num, zone := range zones[:2] {
		if _, err := sit.addEntry(fmt.Sprintf("front-%s-%d", zone, num+1), zone, memoryMB); err != nil {
			return false, "", err
		}
	}
	if err := sit.awaitReady(); err != nil {
		return false, "", err
	}
	time.Sleep(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var grp sync.WaitGroup
	var mu sync.Mutex
	var whole, cut, short, other int
	send := func(num int, id string) {
		events := shortEvents
		if strings.HasPrefix(id, "long") {
			events = longEvents
		}
		status, got, ended := readStream(sit.entries[num%len(sit.entries)], id)
		sit.log.note("client gets %d for %s: %d of %d events, ended as complete: %t", status, id, got, events, ended)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case status != http.StatusOK:
			other++
		case !ended:
			cut++
		case got < events:
			short++
		default:
			whole++
		}
	}
	flow := func(pause time.Duration, name func(num int) string) {
		grp.Go(func() {
			for num := 0; ctx.Err() == nil; num++ {
				grp.Go(func() { send(num, name(num)) })
				time.Sleep(pause)
			}
		})
	}
	flow(shortPause, func(num int) string { return fmt.Sprint("short-", num) })
	flow(longPause, func(num int) string {
		if num%unframedEvery == 0 {
			return fmt.Sprint("long-open-", num)
		}
		return fmt.Sprint("long-", num)
	})
	time.Sleep(3 * time.Second)
	state := "none"
	if sit.trouble {
		if err := add("v2"); err != nil {
			return false, "", err
		}
		sit.sto.put("rollouts", "asistent", map[string]any{"service": "asistent", "target": "v2", "duration_s": orderTime.Seconds()})
	}
	for end := time.Now().Add(orderTime + 2*time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if next := sit.orderState(); sit.trouble && next != state {
			state = next
			sit.log.note("the order's state is %q", state)
			if state == "completed" {
				for _, run := range old {
					run.stop()
				}
			}
		}
	}
	cancel()
	grp.Wait()
	text := fmt.Sprintf("order: %s; streams: %d whole, %d cut and seen to be, %d ended as complete before their last event, %d other", state, whole, cut, short, other)
	if whole == 0 || sit.trouble && state != "completed" {
		return false, text, fmt.Errorf("no completed order: %s", text)
	}
	return short > 0, text, nil
}

// orderState returns the state that the system has recorded for the order.
func (sit *site) orderState() string {
	sit.sto.mu.Lock()
	defer sit.sto.mu.Unlock()
	var status struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(sit.sto.objects["rollouts"]["asistent"].Status, &status)
	return status.State
}

// readStream sends a streaming request and returns the status of its answer, the number of
// its events, and whether it ended with the last chunk.
func readStream(ent *entry, id string) (status, events int, ended bool) {
	con, err := net.DialTimeout("tcp", ent.front, time.Second)
	if err != nil {
		return 0, 0, false
	}
	defer con.Close()
	_ = con.SetDeadline(time.Now().Add(14 * time.Second))
	body := "body of " + id
	fmt.Fprintf(con, "POST /say/%s HTTP/1.1\r\nHost: ficu95.example\r\nWagtailwick-Request-Id: %s\r\nWagtailwick-Deadline-Ms: 12000\r\n"+
		"Wagtailwick-Credential: key-a\r\nWagtailwick-Model: m\r\nWagtailwick-Token-Usage: 400,480\r\nWagtailwick-Prompt-Prefix: 5c1e07a2:300,%08x:100\r\n"+
		"Content-Length: %d\r\n\r\n%s", id, id, time.Now().UnixNano()&0x7fffffff, len(body), body)
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return 0, 0, false
	}
	defer res.Body.Close()
	lines := bufio.NewScanner(res.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "data:") {
			events++
		}
	}
	return res.StatusCode, events, lines.Err() == nil
}
