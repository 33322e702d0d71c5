package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// A runner is an endpoint that registers itself in the store.
type runner struct {
	id, service, version, addr string
	sit                        *site
	born                       int64

	mu    sync.Mutex
	state string
	seq   int
	gone  bool
}

// newRunner registers a runner whose listener is served elsewhere.
func (sit *site) newRunner(id, service string, lis net.Listener) *runner {
	return sit.newRunnerOf(id, service, "v1", lis)
}

// newRunnerOf registers a runner of a version.
func (sit *site) newRunnerOf(id, service, version string, lis net.Listener) *runner {
	run := &runner{id: id, service: service, version: version, addr: lis.Addr().String(), sit: sit, born: time.Now().UnixMilli(), state: "ready"}
	go func() {
		for run.beat() {
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return run
}

// beat writes the runner's entry, and reports whether the runner has not left.
func (run *runner) beat() bool {
	run.mu.Lock()
	defer run.mu.Unlock()
	if run.gone {
		return false
	}
	run.seq++
	run.sit.sto.put("servers", run.id, map[string]any{
		"service": run.service, "address": run.addr, "zone": "qc-est-a", "version": run.version, "slots": 64, "state": run.state,
		"cold_left_ms": 0, "stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}},
		"seq": run.seq, "born": run.born,
	})
	return true
}

// leave removes the runner's entry.
func (run *runner) leave() {
	run.mu.Lock()
	defer run.mu.Unlock()
	run.gone = true
	run.sit.sto.remove("servers", run.id)
}

// drain registers the runner as draining.
func (run *runner) drain() {
	run.mu.Lock()
	run.state = "draining"
	run.mu.Unlock()
	run.beat()
}

// serve serves the runner's requests with the HTTP server of the standard library.
func (run *runner) serve(lis net.Listener, hdl http.HandlerFunc) {
	go func() {
		_ = (&http.Server{Handler: http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
			if want := req.Header.Get("Wagtailwick-Expect-Instance"); want != "" && want != run.id {
				wri.Header().Set(headerID, req.Header.Get(headerID))
				wri.Header().Set("Wagtailwick-Instance-Id", run.id)
				wri.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			hdl(wri, req)
		})}).Serve(lis)
	}()
}

// rawRunner serves requests and records their request lines as they came.
func (sit *site) rawRunner(id, service string, handle func(line, rid string, con net.Conn)) *runner {
	lis := listen()
	run := sit.newRunner(id, service, lis)
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer con.Close()
				rdr := bufio.NewReader(con)
				for {
					line, err := rdr.ReadString('\n')
					if err != nil {
						return
					}
					req, err := http.ReadRequest(bufio.NewReader(io.MultiReader(strings.NewReader(line), rdr)))
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					handle(strings.TrimSpace(line), req.Header.Get(headerID), con)
				}
			}()
		}
	}()
	return run
}
