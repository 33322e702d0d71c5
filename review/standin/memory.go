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
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["memory"] = memory }

const (
	// burstCallers is one and a half times the clients of the site lachance-bordures, 10 in
	// each of 4 zones.
	burstCallers = 60
	bursts       = 3
	// killsPerDay is the number of ends of a process in a day that count.
	killsPerDay = 3
)

// rssMB returns the resident memory of a process in MB, 0 if it has ended.
func rssMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			num, _ := strconv.Atoi(strings.Fields(rest)[0])
			return num / 1024
		}
	}
	return 0
}

// memory shows whether an entry stays within the memory of its machine when many clients
// send long bodies at the same time. Like the platform, it kills a process that exceeds it.
func memory(sit *site) {
	slots := make(chan struct{}, 6)
	sit.rawRunner("i-7f3a91c2", orders, func(_, rid string, con net.Conn) {
		slots <- struct{}{}
		time.Sleep(30 * time.Millisecond)
		<-slots
		fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%s: %s\r\nWagtailwick-Response-Seal: %s\r\nContent-Length: 4\r\n\r\ndone", headerID, rid, seal)
	})
	sit.configure(newRoute("non_idempotent", "/puxa403/", orders, 10000))
	entries := []*proc{sit.startEntry("front-qc-est-a-1"), sit.startEntry("front-qc-est-b-1")}
	killedEnough := 0
	for _, pro := range entries {
		sit.awaitReady(pro)
		kills := 0
		for num := range bursts {
			time.Sleep(500 * time.Millisecond)
			sit.logf("burst %d at %s: %d clients send bodies of %d bytes", num+1, pro.name, burstCallers, bodyMax)
			if sit.burst(pro) {
				kills++
				sit.launch(pro)
				sit.awaitReady(pro)
			}
		}
		sit.logf("%s was killed %d times", pro.name, kills)
		if kills >= killsPerDay {
			killedEnough++
		}
	}
	if killedEnough >= len(entries) {
		sit.breach("on %d of %d machines the process exceeded the memory of its machine and was killed %d times", killedEnough, len(entries), killsPerDay)
	}
}

var burstRequests atomic.Int64

// burst sends one request of each client, without trouble one after the other, and reports
// whether the entry exceeded the memory of its machine. It then is killed.
func (sit *site) burst(pro *proc) bool {
	done := make(chan struct{})
	killed := make(chan bool, 1)
	go func() { killed <- sit.guard(pro, done) }()
	body := strings.Repeat("x", bodyMax)
	var mu sync.Mutex
	results := make(map[string]int)
	var grp sync.WaitGroup
	for range burstCallers {
		grp.Add(1)
		call := func() {
			defer grp.Done()
			result := sendBody(pro.front, fmt.Sprintf("%016x", burstRequests.Add(1)), body)
			mu.Lock()
			defer mu.Unlock()
			results[result]++
		}
		if trouble() {
			go call()
		} else {
			call()
		}
	}
	grp.Wait()
	close(done)
	over := <-killed
	sit.logf("clients got: %v", results)
	return over
}

// guard kills an entry once it exceeds the memory of its machine, and reports whether it
// has.
func (sit *site) guard(pro *proc, done chan struct{}) bool {
	peak := 0
	for {
		select {
		case <-done:
			sit.logf("peak memory of %s: %d MB", pro.name, peak)
			return false
		case <-time.After(2 * time.Millisecond):
		}
		peak = max(peak, rssMB(pro.cmd.Process.Pid))
		if peak <= memoryMB {
			continue
		}
		sit.logf("%s uses %d MB, its machine has %d: it is killed", pro.name, peak, memoryMB)
		_ = pro.cmd.Process.Signal(syscall.SIGKILL)
		<-pro.exited
		<-done
		return true
	}
}

// sendBody sends a request and returns what its client gets.
func sendBody(addr, rid, body string) string {
	con, err := net.Dial("tcp", addr)
	if err != nil {
		return "no connection"
	}
	defer con.Close()
	head := fmt.Sprintf("POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nWagtailwick-Deadline-Ms: 10000\r\nWagtailwick-Credential: %s\r\nContent-Length: %d\r\n\r\n", host, headerID, rid, apiKey, len(body))
	if _, err := io.WriteString(con, head+body); err != nil {
		return "connection closed"
	}
	res, err := http.ReadResponse(bufio.NewReader(con), nil)
	if err != nil {
		return "connection closed"
	}
	defer res.Body.Close()
	return fmt.Sprintf("status %d", res.StatusCode)
}
