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
	// readers is the number of clients of one machine, each with one request.
	readers = 40
	// readerInterval is the time between two of their requests.
	readerInterval = 100 * time.Millisecond
	// readRate is the rate at which they read, in bytes a second, readTime how long they do.
	readRate = 40_000
	readTime = 6 * time.Second
	// largeAnswer is the length of the answers.
	largeAnswer = 8_000_000
	// readRounds is the number of times that they come to each machine.
	readRounds = 3
)

// A readCase has clients that read large answers slowly.
type readCase struct{ *endlessCase }

// playSlowRead checks that clients that read their answers slowly don't bring the processes of
// the system above the memory of their machines.
func playSlowRead(env *environment) int {
	cas := &readCase{&endlessCase{environment: env, killed: make(map[string]int)}}
	env.writeConfig()
	stop := make(chan struct{})
	defer close(stop)
	for num := range plainRunners {
		id := fmt.Sprintf("i-%08d", num+1)
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
				go serveLarge(con, id)
			}
		}()
		cas.register(id, service, lis.Addr().String(), stop)
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
	for round := range readRounds {
		for _, ent := range env.entries {
			cas.read(ent, round)
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

// serveLarge answers the requests of one connection to a runner with a large body.
func serveLarge(con net.Conn, id string) {
	defer con.Close()
	src := bufio.NewReader(con)
	body := strings.Repeat("x", largeAnswer)
	for {
		req, err := http.ReadRequest(src)
		if err != nil {
			return
		}
		rid := req.Header.Get("Wagtailwick-Request-Id")
		ok := false
		switch {
		case strings.HasPrefix(req.URL.Path, "/-/"):
			ok = writeWhole(con, "200 OK", "Content-Type: application/json\r\n", "{}")
		case req.Header.Get("Wagtailwick-Expect-Instance") != id:
			ok = writeWhole(con, "421 Misdirected Request", "Wagtailwick-Request-Id: "+rid+"\r\nWagtailwick-Not-Executed: 1\r\n", "")
		default:
			ok = writeWhole(con, "200 OK", "Wagtailwick-Request-Id: "+rid+"\r\nWagtailwick-Response-Seal: seal-"+rid+"\r\n", body)
		}
		if !ok {
			return
		}
	}
}

// read has the clients send their requests to one machine, and read slowly in case of trouble.
func (cas *readCase) read(ent *entry, round int) {
	cas.note("%s gets %d look-ups, one each %v", ent.name, readers, readerInterval)
	var grp sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]int)
	for num := range readers {
		grp.Go(func() {
			result := cas.readOne(ent, fmt.Sprintf("%s-%d-%d", ent.name, round, num))
			mu.Lock()
			defer mu.Unlock()
			results[result]++
		})
		time.Sleep(readerInterval)
	}
	grp.Wait()
	cas.note("clients of %s: %v", ent.name, results)
}

// readOne sends one request, reads the answer and describes it.
func (cas *readCase) readOne(ent *entry, rid string) string {
	con, err := net.Dial("tcp", ent.front)
	if err != nil {
		return "no connection"
	}
	defer con.Close()
	// A small window, so that the answer waits at the entry and not in the kernel.
	if tcp, ok := con.(*net.TCPConn); ok && tcp.SetReadBuffer(16<<10) != nil {
		return "no buffer"
	}
	if _, err := fmt.Fprintf(con, "GET /look/x HTTP/1.1\r\nHost: %s\r\nWagtailwick-Request-Id: %s\r\nWagtailwick-Credential: %s\r\nWagtailwick-Deadline-Ms: 6000\r\n\r\n", host, rid, apiKey); err != nil {
		return "not sent"
	}
	const step = 4000
	buf := make([]byte, step)
	got := 0
	for began := time.Now(); got < largeAnswer && (!cas.trouble || time.Since(began) < readTime); {
		num, err := io.ReadFull(con, buf)
		got += num
		if err != nil {
			return "cut off"
		}
		if cas.trouble {
			time.Sleep(time.Duration(float64(step) / readRate * float64(time.Second)))
		}
	}
	if got < largeAnswer {
		return "still being read"
	}
	return "whole"
}
