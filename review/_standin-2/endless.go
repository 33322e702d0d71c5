package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// plainRunners is the number of runners of the booking service, streamRunners that of the
	// other one.
	plainRunners  = 4
	streamRunners = 2
	// burstRequests are sent to one machine at the same moment. Of these, endlessShare get an
	// answer without end.
	burstRequests = 32
	endlessShare  = 0.45
	// endlessRate is the rate of one endless answer in bytes a second. All of them together
	// stay below the link of the machine, 1,000 Mbit/s.
	endlessRate = 8_000_000
	writeStep   = 50 * time.Millisecond
	// workTime is how long a sound answer takes.
	workTime = 60 * time.Millisecond
	// rounds is the number of bursts at each machine, ends the number of ends of its process
	// that breaks the rule.
	rounds = 4
	ends   = 3
	// restartDelay is the time until a process that was killed is started again.
	restartDelay = time.Second
	// severalCores is the number of cores of the machines. The fault needs at least four.
	severalCores = 4
	// streamTime is the length of the sound streams that run beside a burst.
	streamTime = 4 * time.Second
)

// An endlessCase lets runners send answers without end.
type endlessCase struct {
	*environment

	mu sync.Mutex
	// endless holds the ids of the requests that get an endless answer.
	endless map[string]bool
	// killed counts the ends of each machine's process.
	killed map[string]int
}

// playEndless checks that answers without end don't bring the processes of the system above the
// memory of their machines, beyond which the platform kills them.
func playEndless(env *environment) int {
	cas := &endlessCase{environment: env, endless: make(map[string]bool), killed: make(map[string]int)}
	env.writeConfig()
	env.cores = severalCores
	stop := make(chan struct{})
	defer close(stop)
	for num := range plainRunners + streamRunners {
		svc := service
		if num >= plainRunners {
			svc = streamService
		}
		if err := cas.startRunner(fmt.Sprintf("i-%08d", num+1), svc, stop); err != nil {
			env.note("no runner: %v", err)
			return exitNotRun
		}
	}
	for num := range 2 {
		ent, err := env.startEntry(fmt.Sprintf("front-z1-%d", num+1))
		if err != nil || !ent.awaitReady() {
			env.note("the entry isn't ready: %v", err)
			return exitNotRun
		}
		go cas.watchMemory(ent, stop)
	}
	time.Sleep(time.Second)
	for round := range rounds {
		for _, ent := range env.entries {
			cas.burst(ent, round)
			time.Sleep(restartDelay)
			if !ent.awaitReady() {
				env.note("%s isn't ready", ent.name)
				return exitNotRun
			}
			time.Sleep(time.Second)
		}
	}
	return cas.verdict()
}

// verdict returns the exit code by the ends of the processes.
func (cas *endlessCase) verdict() int {
	cas.mu.Lock()
	defer cas.mu.Unlock()
	cas.note("ends of processes: %v", cas.killed)
	for _, ent := range cas.entries {
		if cas.killed[ent.name] < ends {
			return exitHeld
		}
	}
	cas.note("BROKEN: on two machines the process ended three times without a disruption there")
	return exitBroken
}

// startRunner starts a runner in this process.
func (cas *endlessCase) startRunner(id, svc string, stop <-chan struct{}) error {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() {
		for {
			con, err := lis.Accept()
			if err != nil {
				return
			}
			go cas.serve(con, id)
		}
	}()
	cas.register(id, svc, lis.Addr().String(), stop)
	return nil
}

// serve answers the requests of one connection to a runner.
func (cas *endlessCase) serve(con net.Conn, id string) {
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
		rid := req.Header.Get("Wagtailwick-Request-Id")
		cas.mu.Lock()
		endless := cas.endless[rid]
		cas.mu.Unlock()
		header := "Wagtailwick-Request-Id: " + rid + "\r\n"
		sealed := header + "Wagtailwick-Response-Seal: seal-" + rid + "\r\n"
		switch {
		case strings.HasPrefix(req.URL.Path, "/-/"):
			if !writeWhole(con, "200 OK", "Content-Type: application/json\r\n", "{}") {
				return
			}
		case req.Header.Get("Wagtailwick-Expect-Instance") != id:
			if !writeWhole(con, "421 Misdirected Request", header+"Wagtailwick-Not-Executed: 1\r\n", "") {
				return
			}
		case isStream(req.URL.Path):
			if !writeStream(con, sealed) {
				return
			}
		case endless:
			writeEndless(con, sealed)
			return
		default:
			time.Sleep(workTime)
			if !writeWhole(con, "200 OK", sealed, "done") {
				return
			}
		}
	}
}

// writeStream writes a sound stream.
func writeStream(con net.Conn, header string) bool {
	if _, err := io.WriteString(con, "HTTP/1.1 200 OK\r\n"+header+"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return false
	}
	out := chunkWriter{con}
	for num := 1; num <= pieces; num++ {
		if _, err := io.WriteString(out, piece("/say/", num)); err != nil {
			return false
		}
		time.Sleep(streamTime / pieces)
	}
	_, err := io.WriteString(con, "0\r\n\r\n")
	return err == nil
}

// writeEndless writes an answer until the caller closes the connection.
func writeEndless(con net.Conn, header string) {
	_, err := io.WriteString(con, "HTTP/1.1 200 OK\r\n"+header+"\r\n")
	step := strings.Repeat("x", int(endlessRate*writeStep.Seconds()))
	for began, sent := time.Now(), 0; err == nil; sent++ {
		time.Sleep(time.Until(began.Add(time.Duration(sent) * writeStep)))
		_, err = io.WriteString(con, step)
	}
}

// burst sends many bookings to one machine at once, beside a few streams.
func (cas *endlessCase) burst(ent *entry, round int) {
	cas.note("%s gets %d bookings at once, and 3 streams", ent.name, burstRequests)
	var grp sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]int)
	count := func(result string) {
		mu.Lock()
		defer mu.Unlock()
		results[result]++
	}
	for num := range 3 {
		grp.Go(func() {
			count("stream: " + cas.send(ent, fmt.Sprintf("%s-%d-stream-%d", ent.name, round, num), "/say/x"))
		})
	}
	time.Sleep(500 * time.Millisecond)
	for num := range burstRequests {
		rid := fmt.Sprintf("%s-%d-%d", ent.name, round, num)
		cas.mu.Lock()
		cas.endless[rid] = cas.trouble && float64(num) < endlessShare*burstRequests
		cas.mu.Unlock()
		grp.Go(func() { count("booking: " + cas.send(ent, rid, "/book/x")) })
	}
	grp.Wait()
	cas.note("answers of %s: %v", ent.name, results)
}

// send sends one request and describes the answer.
func (*endlessCase) send(ent *entry, rid, path string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+ent.front+path, nil)
	if err != nil {
		return err.Error()
	}
	req.Host, req.Close = host, true
	req.Header = http.Header{"Wagtailwick-Request-Id": {rid}, "Wagtailwick-Credential": {apiKey}, "Wagtailwick-Deadline-Ms": {"1500"}}
	if isStream(path) {
		req.Header.Set("Wagtailwick-Deadline-Ms", "6000")
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return "no answer"
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return fmt.Sprintf("%d, cut off", res.StatusCode)
	}
	return fmt.Sprintf("%d, complete", res.StatusCode)
}

// watchMemory does what the platform does: it kills the process of a machine that uses more
// than the machine's memory, and starts it again.
func (cas *endlessCase) watchMemory(ent *entry, stop <-chan struct{}) {
	peak := 0
	for {
		select {
		case <-stop:
			cas.note("%s: the last process used at most %d kB", ent.name, peak)
			return
		case <-time.After(time.Millisecond):
		}
		used := anonymousMemory(ent.cmd.Process.Pid)
		peak = max(peak, used)
		if used <= memoryMB<<10 {
			continue
		}
		cas.note("%s uses %d kB, more than %d MB: killed", ent.name, used, memoryMB)
		_ = ent.cmd.Process.Signal(syscall.SIGKILL)
		<-ent.exited
		cas.mu.Lock()
		cas.killed[ent.name]++
		cas.mu.Unlock()
		time.Sleep(restartDelay / 2)
		peak = 0
		if err := cas.run(ent); err != nil {
			cas.note("%s doesn't start: %v", ent.name, err)
			return
		}
	}
}

// anonymousMemory returns the memory of a process in kB, without that of its program file.
func anonymousMemory(pid int) int {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			num, _ := strconv.Atoi(strings.Fields(text)[0])
			return num
		}
	}
	return 0
}
