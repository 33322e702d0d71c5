package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// requestPause is the time between two requests: 200 a second.
	requestPause = 5 * time.Millisecond
	plainWork    = 30 * time.Millisecond
	// goodTime is how long the new version is sound after its start. Later half of its answers
	// fail.
	goodTime = 6 * time.Second
	// badOrderTime is duration_s of the order, that of the site's days.
	badOrderTime = 15 * time.Second
	// intoWatch is the time from the beginning of the entries' watches of the orders, which take
	// 8 s each, to the silence. INTO_WATCH_MS replaces it.
	intoWatch = 400 * time.Millisecond
	// afterSilence is the time from the silence to the order: the machines are in touch again.
	afterSilence = stableWindow + 200*time.Millisecond
	// canaryShare and canarySlack are the bounds of EXPOSURE.
	canaryShare, canarySlack = 0.1, 50
)

// A mutable is a listener whose connections can fall silent for good.
type mutable struct {
	net.Listener
	mu    sync.Mutex
	conns []*mutableConn
}

func (lis *mutable) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	out := &mutableConn{Conn: con}
	lis.mu.Lock()
	defer lis.mu.Unlock()
	lis.conns = append(lis.conns, out)
	return out, nil
}

// silence makes all open connections silent. New ones work.
func (lis *mutable) silence() int {
	lis.mu.Lock()
	defer lis.mu.Unlock()
	num := len(lis.conns)
	for _, con := range lis.conns {
		con.silent.Store(true)
	}
	lis.conns = nil
	return num
}

// A mutableConn passes nothing on in either direction once it is silent.
type mutableConn struct {
	net.Conn
	silent atomic.Bool
}

func (con *mutableConn) Write(buf []byte) (int, error) {
	if con.silent.Load() {
		return len(buf), nil
	}
	return con.Conn.Write(buf)
}

func (con *mutableConn) Read(buf []byte) (int, error) {
	for {
		num, err := con.Conn.Read(buf)
		if err != nil || !con.silent.Load() {
			return num, err
		}
	}
}

// Close leaves a silent connection open: its other side hears nothing of it.
func (con *mutableConn) Close() error {
	if con.silent.Load() {
		return nil
	}
	return con.Conn.Close()
}

// A plainRunner is a server of one version of a plain service.
type plainRunner struct {
	id, zone, version string
	log               *journal
	started           time.Time
	bad               bool
	num               atomic.Int64
	arrived           func(version string)
}

func startPlainRunner(sto *store, run *plainRunner) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	run.started = time.Now()
	go func() { _ = http.Serve(lis, run) }()
	go func() {
		for seq := 1; ; seq++ {
			sto.put("servers", run.id, map[string]any{
				"service": "registru", "address": lis.Addr().String(), "zone": run.zone, "version": run.version, "slots": 64,
				"state": "ready", "seq": seq, "cold_left_ms": 0, "born": run.started.UnixMilli(),
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return nil
}

// ServeHTTP serves one request.
func (run *plainRunner) ServeHTTP(wri http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Wagtailwick-Request-Id")
	wri.Header().Set("Wagtailwick-Request-Id", id)
	if req.Header.Get("Wagtailwick-Expect-Instance") != run.id {
		wri.Header().Set("Wagtailwick-Not-Executed", "1")
		wri.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	run.log.ran(id, run.id)
	run.arrived(run.version)
	time.Sleep(plainWork)
	wri.Header().Set("Wagtailwick-Response-Seal", "seal."+id)
	if run.bad && time.Since(run.started) > goodTime && run.num.Add(1)%2 == 0 {
		wri.WriteHeader(http.StatusInternalServerError)
		return
	}
	fmt.Fprint(wri, "answer to ", id)
}

// playSilent plays a bad version that is ordered when the open connections to the store have
// fallen silent.
func playSilent(sit *site) (bool, string, error) {
	sit.sto.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "path_prefix": "/registru/", "kind": "non_idempotent", "service": "registru",
			"timeout_ms": 800, "target_latency_ms": 300, "priority": 2, "max_attempts": 1, "public": false,
		}},
		"services": []any{map[string]any{"name": "registru"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{"key-a"}, "rate_per_s": 0, "burst": 0}},
	})
	var mu sync.Mutex
	counts := map[string]int{}
	counting := false
	arrived := func(version string) {
		mu.Lock()
		defer mu.Unlock()
		if counting {
			counts[version]++
		}
	}
	zones := []string{"timis-a", "timis-b", "arad-a", "arad-b"}
	add := func(version string, bad bool) error {
		for num, zone := range zones {
			run := &plainRunner{id: fmt.Sprintf("i-%s-%d", version, num), zone: zone, version: version, log: sit.log, bad: bad, arrived: arrived}
			if err := startPlainRunner(sit.sto, run); err != nil {
				return err
			}
		}
		return nil
	}
	if err := add("v1", false); err != nil {
		return false, "", err
	}
	into := intoWatch
	if text := os.Getenv("INTO_WATCH_MS"); text != "" {
		num, err := strconv.Atoi(text)
		if err != nil {
			return false, "", err
		}
		into = time.Duration(num) * time.Millisecond
	}
	var watched atomic.Int64
	sit.sto.mu.Lock()
	sit.sto.watched = func(kind string) {
		if kind == "rollouts" {
			watched.Store(time.Now().UnixNano())
		}
	}
	sit.sto.mu.Unlock()
	for num, zone := range zones[:2] {
		if _, err := sit.addEntry(fmt.Sprintf("front-%s-%d", zone, num+1), zone, memoryMB); err != nil {
			return false, "", err
		}
	}
	if err := sit.awaitReady(); err != nil {
		return false, "", err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var grp sync.WaitGroup
	var answered, bad atomic.Int64
	grp.Go(func() {
		for num := 0; ctx.Err() == nil; num++ {
			ent := sit.entries[num%len(sit.entries)]
			grp.Go(func() {
				if sendPlain(ent, fmt.Sprint("q-", num)) == http.StatusOK {
					answered.Add(1)
				} else {
					bad.Add(1)
				}
			})
			time.Sleep(requestPause)
		}
	})
	time.Sleep(2 * time.Second)
	from := time.Now().UnixNano()
	for end := time.Now().Add(12 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if last := watched.Load(); last > from && time.Since(time.Unix(0, last)) > into {
			break
		}
	}
	if sit.trouble {
		sit.log.note("%d open connections to the store fall silent; new ones work", sit.listener.silence())
	}
	time.Sleep(afterSilence)
	if err := add("v2", true); err != nil {
		return false, "", err
	}
	mu.Lock()
	counting = true
	mu.Unlock()
	sit.sto.put("rollouts", "registru", map[string]any{"service": "registru", "target": "v2", "duration_s": badOrderTime.Seconds()})
	ordered := time.Now()
	sit.log.note("order of v2, which is good for %v and then bad", goodTime)
	seen := "never"
	for end := ordered.Add(badOrderTime); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		sit.sto.mu.Lock()
		status := string(sit.sto.objects["rollouts"]["registru"].Status)
		sit.sto.mu.Unlock()
		if seen == "never" && status != "" && status != "null" {
			seen = fmt.Sprintf("%.1f s", time.Since(ordered).Seconds())
			sit.log.note("the order has a status: %s", status)
		}
	}
	mu.Lock()
	counting = false
	got, all := counts["v2"], counts["v1"]+counts["v2"]
	mu.Unlock()
	cancel()
	grp.Wait()
	sit.sto.mu.Lock()
	status := string(sit.sto.objects["rollouts"]["registru"].Status)
	sit.sto.mu.Unlock()
	allowed := canaryShare*float64(all) + canarySlack
	text := fmt.Sprintf("v2 got %d of %d requests in the time of its order, %.0f are allowed; first status after %s, last %s; %d answered, %d not",
		got, all, allowed, seen, strings.ReplaceAll(status, `"`, ""), answered.Load(), bad.Load())
	if answered.Load() == 0 {
		return false, text, fmt.Errorf("nothing was answered: %s", text)
	}
	return float64(got) > allowed, text, nil
}

// plainClient keeps its connections.
var plainClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 5 * time.Second}}

// sendPlain sends one request and returns the status of its answer, 0 if there is none.
func sendPlain(ent *entry, id string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+ent.front+"/registru/"+id, strings.NewReader("body of "+id))
	if err != nil {
		return 0
	}
	req.Host = "ficu95.example"
	req.Header = http.Header{"Wagtailwick-Request-Id": {id}, "Wagtailwick-Deadline-Ms": {"1500"}, "Wagtailwick-Credential": {"key-a"}}
	res, err := plainClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	_, _ = io.Copy(io.Discard, res.Body)
	return res.StatusCode
}
