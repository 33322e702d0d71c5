package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["moved"] = moved }

const (
	movedStreams  = 60
	movedEvents   = 60
	eventInterval = 100 * time.Millisecond
	// unframedEvery is how often an answer of the leaving runner has neither a length nor
	// chunks: the 0.05 of the site's days. The other runner has none, share 0.5.
	unframedEvery = 20
)

// A modelRunner makes streams, of which some answers may have neither a length nor chunks,
// and moves its runs on order.
type modelRunner struct {
	*runner
	sit *site
	eng *engineState

	// unframed is set for the runner that has answers without a length or chunks.
	unframed bool

	mu    sync.Mutex
	runs  map[string]*modelRun
	began int
}

// A modelRun is a run in progress.
type modelRun struct {
	made int
	stop chan struct{}
}

// An engineState holds what copies of memory the runners keep, by the address of their
// source and their handle.
type engineState struct {
	mu      sync.Mutex
	handles map[string]string
	count   int
}

// moved shows whether a stream without a length or chunks is complete after its run was
// moved from a runner that leaves.
func moved(sit *site) {
	eng := &engineState{handles: make(map[string]string)}
	var runners []*modelRunner
	for num := range 2 {
		lis := listen()
		mod := &modelRunner{sit: sit, eng: eng, runs: make(map[string]*modelRun), unframed: num == 1}
		mod.runner = sit.newRunner(fmt.Sprintf("i-7f3a91c%d", num), engine, lis)
		mod.serve(lis, mod.handle)
		runners = append(runners, mod)
	}
	sit.configure(newRoute("streaming", "/lohu930/", engine, 20000))
	pro := sit.startEntry("front-qc-est-a-1")
	sit.awaitReady(pro)
	time.Sleep(time.Second)
	var grp sync.WaitGroup
	for num := range movedStreams {
		grp.Add(1)
		go func() {
			defer grp.Done()
			sit.readStream(pro, fmt.Sprintf("%016x", num+1))
		}()
		time.Sleep(50 * time.Millisecond)
	}
	if trouble() {
		time.Sleep(time.Second)
		leaving := runners[1]
		if leaving.running() < unframedEvery {
			fatalf("the runner that leaves has %d runs only", leaving.running())
		}
		sit.logf("runner %s reports that it is draining", leaving.id)
		leaving.drain()
	}
	grp.Wait()
}

// readStream sends one request and checks its stream.
func (sit *site) readStream(pro *proc, id string) {
	con, err := net.Dial("tcp", pro.front)
	if err != nil {
		fatalf("%v", err)
	}
	defer con.Close()
	fmt.Fprintf(con, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nWagtailwick-Model: m\r\nWagtailwick-Token-Usage: 1460,240\r\nWagtailwick-Prompt-Prefix: 5c1e07a2:800,91bd3f06:410,%s:250\r\nWagtailwick-Deadline-Ms: 20000\r\nWagtailwick-Credential: %s\r\nContent-Length: 2\r\n\r\n{}",
		host, headerID, id, id, apiKey)
	sit.logf("client sends %s", id)
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		sit.logf("client: %s: %v", id, err)
		return
	}
	body, err := io.ReadAll(res.Body)
	events := strings.Count(string(body), "\n\n")
	complete := err == nil
	sit.logf("client has got %s: status %d, %d of %d events, ends as complete: %t (%v)", id, res.StatusCode, events, movedEvents, complete, err)
	if res.StatusCode == http.StatusOK && complete && events < movedEvents {
		sit.breach("the stream of %s ends as complete after event %d, its last piece is event %d", id, events, movedEvents)
	}
}

// running returns the number of runs in progress.
func (mod *modelRunner) running() int {
	mod.mu.Lock()
	defer mod.mu.Unlock()
	return len(mod.runs)
}

func (mod *modelRunner) handle(wri http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == "/-/report":
		mod.report(wri)
	case req.URL.Path == "/-/kv-move":
		mod.move(wri, req)
	case strings.HasPrefix(req.URL.Path, "/-/kv-handle/"):
		mod.sit.logf("runner %s frees the copy %s", mod.id, strings.TrimPrefix(req.URL.Path, "/-/kv-handle/"))
		wri.WriteHeader(http.StatusOK)
	case req.URL.Path == "/health":
		wri.Header().Set("Wagtailwick-Instance-Id", mod.id)
	default:
		mod.stream(wri, req)
	}
}

func (mod *modelRunner) report(wri http.ResponseWriter) {
	mod.mu.Lock()
	runs := make([][]any, 0)
	for id, run := range mod.runs {
		runs = append(runs, []any{id, 1460 + 4*run.made, run.made, 1})
	}
	mod.mu.Unlock()
	writeJSON(wri, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "busy": false, "seq": 2,
		"queued": 0, "running": len(runs), "kv_used": 41000, "kv_total": 494528, "handles": 0, "runs": runs, "born": mod.born,
	})
}

// move copies the memory of a run, and stops the run first if asked to.
func (mod *modelRunner) move(wri http.ResponseWriter, req *http.Request) {
	var ord struct {
		ID, Target string
		Last       bool
	}
	if err := json.NewDecoder(req.Body).Decode(&ord); err != nil {
		writeJSON(wri, http.StatusBadRequest, nil)
		return
	}
	mod.mu.Lock()
	run := mod.runs[ord.ID]
	made := 0
	if run != nil {
		made = run.made
		if ord.Last {
			delete(mod.runs, ord.ID)
			close(run.stop)
		}
	}
	mod.mu.Unlock()
	if run == nil {
		writeJSON(wri, http.StatusNotFound, nil)
		return
	}
	time.Sleep(20 * time.Millisecond) // the copy
	mod.eng.mu.Lock()
	mod.eng.count++
	handle := fmt.Sprintf("h%d", mod.eng.count)
	mod.eng.handles[mod.addr+"/"+handle] = ord.ID
	mod.eng.mu.Unlock()
	mod.sit.logf("runner %s has copied the run of %s to %s, stopped: %t, %d events made, handle %s", mod.id, ord.ID, ord.Target, ord.Last, made, handle)
	writeJSON(wri, http.StatusOK, map[string]any{"handle": handle, "created": made})
}

// stream runs one request. Its answer ends with its connection.
func (mod *modelRunner) stream(wri http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(headerID)
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	kvFrom := req.Header.Get("Kv-From")
	if kvFrom != "" {
		mod.eng.mu.Lock()
		owner := mod.eng.handles[kvFrom]
		delete(mod.eng.handles, kvFrom)
		mod.eng.mu.Unlock()
		if owner != id {
			wri.Header().Set(headerID, id)
			wri.Header().Set("Wagtailwick-Not-Executed", "1")
			wri.WriteHeader(http.StatusServiceUnavailable)
			return
		}
	}
	_, _ = io.Copy(io.Discard, req.Body)
	con, _, err := wri.(http.Hijacker).Hijack()
	if err != nil {
		fatalf("%v", err)
	}
	defer con.Close()
	run := &modelRun{made: from, stop: make(chan struct{})}
	mod.mu.Lock()
	mod.runs[id] = run
	mod.began++
	unframed := mod.unframed && mod.began%unframedEvery == 0
	mod.mu.Unlock()
	framing := "Transfer-Encoding: chunked"
	if unframed {
		framing = "Connection: close"
	}
	mod.sit.logf("runner %s runs %s from event %d, Kv-From %q, without length or chunks: %t", mod.id, id, from+1, kvFrom, unframed)
	fmt.Fprintf(con, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\nWagtailwick-Response-Seal: %s\r\n%s\r\n\r\n", headerID, id, seal, framing)
	for num := from + 1; num <= movedEvents; num++ {
		select {
		case <-run.stop:
			if tcp, ok := con.(*net.TCPConn); ok && os.Getenv("STOP") == "reset" {
				_ = tcp.SetLinger(0) // for comparison: the entry then goes on at the target
			}
			mod.sit.logf("runner %s has stopped %s after event %d and closes its stream", mod.id, id, num-1)
			return
		case <-time.After(eventInterval):
		}
		piece := fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", num, num, id)
		if !unframed {
			piece = fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
		}
		if _, err := io.WriteString(con, piece); err != nil {
			mod.sit.logf("runner %s: %s: %v", mod.id, id, err)
			break
		}
		mod.mu.Lock()
		run.made = num
		mod.mu.Unlock()
	}
	if !unframed {
		fmt.Fprint(con, "0\r\n\r\n")
	}
	mod.mu.Lock()
	if mod.runs[id] == run {
		delete(mod.runs, id)
	}
	mod.mu.Unlock()
}
