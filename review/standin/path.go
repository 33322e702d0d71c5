package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["path"] = doubleSlash }

// doubleSlash shows whether the path and the query of a request reach the runner as the
// client sent them.
func doubleSlash(sit *site) {
	var mu sync.Mutex
	sent := make(map[string]string)
	sit.rawRunner("i-7f3a91c2", orders, func(line, rid string, con net.Conn) {
		mu.Lock()
		want := sent[rid]
		mu.Unlock()
		if rid != "" {
			sit.logf("runner runs %s: %s", rid, line)
			if line != want {
				sit.breach("runner runs %s as %q, its client sent %q", rid, line, want)
			}
		}
		fmt.Fprintf(con, "HTTP/1.1 200 OK\r\n%s: %s\r\nWagtailwick-Response-Seal: %s\r\nContent-Length: 4\r\n\r\ndone", headerID, rid, seal)
	})
	sit.configure(newRoute("idempotent", "/", orders, 3000))
	pro := sit.startEntry("front-qc-est-a-1")
	sit.awaitReady(pro)
	time.Sleep(500 * time.Millisecond)
	targets := []string{"/stock/2f?yard=4&size=2", "/stock/a%2Fb", "/stock//2f?yard=4"}
	if trouble() {
		targets = []string{"//stock/2f?yard=4&size=2", "//stock/a%2Fb", "//stock/2f"}
	}
	for num, target := range targets {
		rid := fmt.Sprintf("%016x", num+1)
		line := "GET " + target + " HTTP/1.1"
		mu.Lock()
		sent[rid] = line
		mu.Unlock()
		sit.logf("client sends %s: %s", rid, line)
		con, err := net.Dial("tcp", pro.front)
		if err != nil {
			fatalf("%v", err)
		}
		fmt.Fprintf(con, "%s\r\nHost: %s\r\n%s: %s\r\nWagtailwick-Deadline-Ms: 1500\r\nWagtailwick-Credential: %s\r\n\r\n", line, host, headerID, rid, apiKey)
		res, err := http.ReadResponse(bufio.NewReader(con), nil)
		if err != nil {
			sit.logf("client: %s: %v", rid, err)
		} else {
			sit.logf("client gets %s: status %d", rid, res.StatusCode)
		}
		con.Close()
	}
}
