package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// runnerCount is the number of runners of each service. One at a time crashes, a share of
	// 1/6.
	runnerCount = 6
	// delimitedRequests are sent beside the four that are answered without a length, so that
	// those are less than 5 in 100.
	delimitedRequests = 96
	// crashAfter is the time from the begin of a run to the crash of its runner.
	crashAfter = 300 * time.Millisecond
	// downTime is the time until another runner takes the place of one that has crashed.
	downTime = 3 * time.Second
)

// A runnerProcess is a runner.
type runnerProcess struct {
	id, service string
	cmd         *exec.Cmd
	// stop ends its registration.
	stop chan struct{}
}

// An unframedCase crashes runners while they send answers without a length.
type unframedCase struct {
	*environment
	ent *entry

	mu      sync.Mutex
	next    int
	runners map[string]*runnerProcess
	// begun receives the runner of each run without a length.
	begun map[string]chan *runnerProcess
}

// playUnframed checks that an answer without a length or chunks, whose runner crashes in the
// middle of it, is not passed on as a complete one.
func playUnframed(env *environment) int {
	cas := &unframedCase{environment: env, runners: make(map[string]*runnerProcess), begun: make(map[string]chan *runnerProcess)}
	defer cas.stopRunners()
	env.writeConfig()
	for num := range 2 * runnerCount {
		svc := []string{service, streamService}[num%2]
		if err := cas.startRunner(svc); err != nil {
			env.note("no runner: %v", err)
			return exitNotRun
		}
	}
	var err error
	if cas.ent, err = env.startEntry("front-z1-1"); err != nil || !cas.ent.awaitReady() {
		env.note("the entry isn't ready: %v", err)
		return exitNotRun
	}
	time.Sleep(time.Second)
	var grp sync.WaitGroup
	grp.Go(cas.sendDelimited)
	code := exitHeld
	for _, route := range []string{"resume", "say", "look", "book"} {
		switch complete, whole, ok := cas.crashDuring(route); {
		case !ok:
			code = max(code, exitNotRun)
		case complete && !whole && code != exitNotRun:
			code = exitBroken
		}
	}
	grp.Wait()
	return code
}

// startRunner starts a runner as a process and registers it.
func (cas *unframedCase) startRunner(svc string) error {
	cas.mu.Lock()
	cas.next++
	rnr := &runnerProcess{id: fmt.Sprintf("i-%08d", cas.next), service: svc, stop: make(chan struct{})}
	cas.mu.Unlock()
	rnr.cmd = exec.Command(os.Args[0], "runner", rnr.id)
	rnr.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := rnr.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := rnr.cmd.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return fmt.Errorf("runner %s has ended", rnr.id)
	}
	addr := strings.TrimPrefix(lines.Text(), "address ")
	cas.note("runner %s of %s started at %s", rnr.id, svc, addr)
	cas.mu.Lock()
	cas.runners[rnr.id] = rnr
	cas.mu.Unlock()
	go func() {
		for lines.Scan() {
			cas.heard(rnr, lines.Text())
		}
	}()
	cas.register(rnr.id, svc, addr, rnr.stop)
	return nil
}

// heard handles a line of a runner.
func (cas *unframedCase) heard(rnr *runnerProcess, line string) {
	what, rest, _ := strings.Cut(line, " ")
	rid, framing, _ := strings.Cut(rest, " ")
	cas.mu.Lock()
	begun := cas.begun[rid]
	cas.mu.Unlock()
	if begun == nil {
		return
	}
	cas.note("runner %s: %s %s, %s", rnr.id, what, rid, framing)
	if what == "run" && framing == "undelimited" {
		begun <- rnr
	}
}

func (cas *unframedCase) stopRunners() {
	cas.mu.Lock()
	defer cas.mu.Unlock()
	for _, rnr := range cas.runners {
		cas.end(rnr)
	}
}

// end kills a runner's process.
func (*unframedCase) end(rnr *runnerProcess) {
	close(rnr.stop)
	_ = rnr.cmd.Process.Kill()
	_ = rnr.cmd.Wait()
}

// crash kills a runner by SIGKILL. Its entry expires three heartbeats later, and another
// runner takes its place.
func (cas *unframedCase) crash(rnr *runnerProcess) {
	cas.mu.Lock()
	delete(cas.runners, rnr.id)
	cas.mu.Unlock()
	cas.end(rnr)
	cas.note("runner %s was killed", rnr.id)
	time.AfterFunc(3*heartbeat, func() { cas.store.remove("servers", rnr.id) })
	time.AfterFunc(downTime, func() {
		if err := cas.startRunner(rnr.service); err != nil {
			cas.note("no runner: %v", err)
		}
	})
}

// send sends one request and returns the answer's status and body, and whether the answer was
// complete by its length or its last chunk.
func (cas *unframedCase) send(rid, path string) (status int, body string, complete bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+cas.ent.front+path, nil)
	if err != nil {
		return 0, "", false
	}
	req.Host = host
	req.Header = http.Header{"Wagtailwick-Request-Id": {rid}, "Wagtailwick-Credential": {apiKey}, "Wagtailwick-Deadline-Ms": {"6000"}}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", false
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	delimited := res.ContentLength >= 0 || len(res.TransferEncoding) > 0
	return res.StatusCode, string(data), err == nil && delimited
}

// sendDelimited sends the requests whose answers have chunks.
func (cas *unframedCase) sendDelimited() {
	var grp sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]int)
	for num := range delimitedRequests {
		grp.Go(func() {
			status, body, complete := cas.send(fmt.Sprintf("delimited-%d", num), "/look/chunks")
			mu.Lock()
			defer mu.Unlock()
			results[fmt.Sprintf("status %d, complete %t, %d pieces", status, complete, strings.Count(body, " of "))]++
		})
		time.Sleep(150 * time.Millisecond)
	}
	grp.Wait()
	cas.note("requests answered in chunks: %v", results)
}

// crashDuring sends a request that is answered without a length, and crashes its runner in the
// middle of the answer. It reports whether the client got a complete success, and whether that
// is the runner's whole answer; ok is false if the request did not run.
func (cas *unframedCase) crashDuring(route string) (complete, whole, ok bool) {
	rid, path := route+"-1", "/"+route+undelimitedPath
	begun := make(chan *runnerProcess, 8)
	cas.mu.Lock()
	cas.begun[rid] = begun
	cas.mu.Unlock()
	crashed := make(chan bool)
	answered := make(chan struct{})
	go func() {
		select {
		case rnr := <-begun:
			if cas.trouble {
				time.Sleep(crashAfter)
				cas.crash(rnr)
			}
			crashed <- true
		case <-answered:
			crashed <- false
		}
	}()
	cas.note("client sends %s to %s", rid, path)
	status, body, complete := cas.send(rid, path)
	close(answered)
	if !<-crashed {
		cas.note("the request did not run: status %d", status)
		return false, false, false
	}
	got := strings.Count(body, " of ")
	success := status >= 200 && status < 300
	cas.note("client gets status %d, complete by its framing: %t, %d of %d pieces", status, complete, got, pieces)
	if complete && success && got < pieces {
		cas.note("BROKEN: an answer that ended early looks complete")
	}
	time.Sleep(downTime + time.Second)
	return complete && success, got == pieces, true
}
