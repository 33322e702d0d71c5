package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Figures of the sheet.
	memoryMB  = 284
	timeoutMS = 12000
	// answerBytes is the size of an answer, that of the largest body that a client may send.
	answerBytes = 4 << 20
	// workTime is how long a runner works on a request before it answers.
	workTime = 300 * time.Millisecond
	// clientRate is the rate at which a client reads, in bytes per second: 17 Mbit/s.
	clientRate = 2 << 20
	readStep   = 64 << 10
	// pauseTime is how long a user waits between two requests.
	pauseTime = 300 * time.Millisecond
	// usualUsers and otherUsers are the users of the two tenants at each entry.
	usualUsers = 6
	otherUsers = 2
	// hotFactor and hotTime are the largest dose of hot_tenant in the site file.
	hotFactor = 7.5
	hotTime   = 6500 * time.Millisecond
	// hotEpisodes is the number of disruptions, with calm between them.
	hotEpisodes = 3
	calmTime    = 12 * time.Second
	startTime   = 10 * time.Second
)

// A tally counts what became of the requests.
type tally struct {
	mu sync.Mutex
	// unanswered counts requests on kept connections that a sound runner has run and whose
	// connection was closed before the first byte of an answer; cut those that were closed
	// in the middle of it.
	answered, refused, failed, unanswered, cut, wrong int
}

func (tly *tally) add(num *int) {
	tly.mu.Lock()
	defer tly.mu.Unlock()
	*num++
}

// A user sends one request after the other on a connection that it keeps.
type user struct {
	name, key string
	ent       *entry
	log       *journal
	tly       *tally
	con       net.Conn
	src       *bufio.Reader
	kept      bool
	num       int
}

// use sends requests until the channel is closed.
func (usr *user) use(stop <-chan struct{}) {
	defer usr.drop()
	for {
		usr.request()
		select {
		case <-stop:
			return
		case <-time.After(pauseTime):
		}
	}
}

func (usr *user) drop() {
	if usr.con != nil {
		_ = usr.con.Close()
	}
	usr.con, usr.kept = nil, false
}

// request sends one request and reads its answer at clientRate.
func (usr *user) request() {
	if usr.con == nil {
		con, err := net.DialTimeout("tcp", usr.ent.front, time.Second)
		if err != nil {
			return
		}
		_ = con.(*net.TCPConn).SetReadBuffer(readStep)
		usr.con, usr.src = con, bufio.NewReaderSize(con, readStep)
	}
	usr.num++
	id := fmt.Sprintf("%s-%d", usr.name, usr.num)
	_ = usr.con.SetDeadline(time.Now().Add(timeoutMS*time.Millisecond + 2*time.Second))
	usr.log.note("client %s sends %s to %s on a kept connection: %t", usr.name, id, usr.ent.name, usr.kept)
	_, err := fmt.Fprintf(usr.con, "GET /registru/%s HTTP/1.1\r\nHost: ficu95.example\r\nWagtailwick-Request-Id: %s\r\n"+
		"Wagtailwick-Deadline-Ms: %d\r\nWagtailwick-Credential: %s\r\n\r\n", id, id, timeoutMS, usr.key)
	if err == nil {
		_, err = usr.src.Peek(1)
	}
	if err != nil {
		usr.lost(id, err)
		return
	}
	res, err := http.ReadResponse(usr.src, nil)
	if err != nil {
		usr.log.note("client %s: answer to %s broke off in its head: %v", usr.name, id, err)
		usr.tly.add(&usr.tly.cut)
		usr.drop()
		return
	}
	sum := sha256.New()
	began, got := time.Now(), int64(0)
	for err == nil {
		var num int64
		num, err = io.CopyN(sum, res.Body, readStep)
		got += num
		time.Sleep(time.Until(began.Add(time.Duration(got) * time.Second / clientRate)))
	}
	usr.judge(id, res, got, err, hex.EncodeToString(sum.Sum(nil)[:8]))
	if res.Close || err != io.EOF {
		usr.drop()
		return
	}
	usr.kept = true
}

// lost records a connection that was closed before an answer.
func (usr *user) lost(id string, err error) {
	runs := usr.log.runsOf(id)
	usr.log.note("client %s: connection closed without an answer to %s, which ran at %v; kept %t: %v", usr.name, id, runs, usr.kept, err)
	if usr.kept && len(runs) > 0 {
		usr.tly.add(&usr.tly.unanswered)
	}
	usr.drop()
}

// judge records the answer to a request.
func (usr *user) judge(id string, res *http.Response, got int64, err error, sum string) {
	seal := res.Header.Get("Wagtailwick-Response-Seal")
	usr.log.note("client %s gets %d for %s, %d bytes, %v", usr.name, res.StatusCode, id, got, err)
	switch {
	case err != io.EOF:
		usr.tly.add(&usr.tly.cut)
	case res.StatusCode == http.StatusOK && got == answerBytes && strings.HasSuffix(seal, "."+sum):
		usr.tly.add(&usr.tly.answered)
	case res.StatusCode == http.StatusOK:
		usr.tly.add(&usr.tly.wrong)
	case res.StatusCode == http.StatusServiceUnavailable || res.StatusCode == http.StatusTooManyRequests:
		usr.tly.add(&usr.tly.refused)
	default:
		usr.tly.add(&usr.tly.failed)
	}
}

// playMemory plays one tenant that sends many times its usual, three times.
func playMemory(sit *site) (bool, string, error) {
	sit.sto.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "path_prefix": "/registru/", "kind": "idempotent", "service": "registru",
			"timeout_ms": timeoutMS, "target_latency_ms": 3000, "priority": 2, "max_attempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "registru"}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants": []any{
			map[string]any{"name": "hule930", "api_keys": []string{"key-a"}, "rate_per_s": 0, "burst": 0},
			map[string]any{"name": "fida11", "api_keys": []string{"key-b"}, "rate_per_s": 0, "burst": 0},
		},
	})
	for num, zone := range []string{"timis-a", "timis-b", "arad-a", "arad-b"} {
		if _, err := startRunner(sit.sto, sit.log, fmt.Sprint("i-", num), "registru", zone, answerBytes, workTime); err != nil {
			return false, "", err
		}
	}
	for num, zone := range []string{"timis-a", "timis-b"} {
		if _, err := sit.addEntry(fmt.Sprintf("front-%s-%d", zone, num+1), zone, memoryMB); err != nil {
			return false, "", err
		}
	}
	if err := sit.awaitReady(); err != nil {
		return false, "", err
	}
	tly := &tally{}
	var grp sync.WaitGroup
	var next atomic.Int64
	add := func(num int, key string, stop <-chan struct{}) {
		for _, ent := range sit.entries {
			for range num {
				usr := &user{name: fmt.Sprintf("%s-%d", key, next.Add(1)), key: key, ent: ent, log: sit.log, tly: tly}
				grp.Go(func() { usr.use(stop) })
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	end := make(chan struct{})
	add(usualUsers, "key-a", end)
	add(otherUsers, "key-b", end)
	time.Sleep(calmTime)
	for num := range hotEpisodes {
		if sit.trouble {
			sit.log.note("hot_tenant %d begins: the first tenant has %v times as many users", num+1, hotFactor)
			stop := make(chan struct{})
			add(int(usualUsers*(hotFactor-1)), "key-a", stop)
			time.Sleep(hotTime)
			close(stop)
			sit.log.note("hot_tenant %d ends", num+1)
		}
		time.Sleep(calmTime)
	}
	close(end)
	grp.Wait()
	text := fmt.Sprintf("answered %d, refused %d, failed %d, wrong %d, cut in the answer %d, closed without an answer on kept connections %d",
		tly.answered, tly.refused, tly.failed, tly.wrong, tly.cut, tly.unanswered)
	often := 0
	for _, ent := range sit.entries {
		ent.mu.Lock()
		text += fmt.Sprintf("; %s: peak %d MB of %d, ended by its memory %d times, by itself %d times", ent.name, ent.peakMB, ent.memoryMB, ent.ends, ent.exits-ent.ends)
		if ent.exits >= 3 {
			often++
		}
		ent.mu.Unlock()
	}
	const allowedLosses, machines = 3, 2
	isBroken := tly.unanswered > allowedLosses || often >= machines
	if tly.answered == 0 {
		return false, text, fmt.Errorf("no request was answered: %s", text)
	}
	return isBroken, text, nil
}

// awaitReady waits until all entries say that they are ready.
func (sit *site) awaitReady() error {
	end := time.Now().Add(startTime)
	for _, ent := range sit.entries {
		for {
			res, err := http.Get("http://" + ent.ready + "/-/ready")
			if err == nil {
				_ = res.Body.Close()
				if res.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", ent.name, startTime)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
