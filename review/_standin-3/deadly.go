package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	sharedPart = 0x5c1e0000
	deadlyPart = "91bd3f06"
	// crashDelay is the time from the first event on the deadly part to the crash. CRASH_MS
	// replaces it.
	crashDelay = 450 * time.Millisecond
	// promptDelay is that of a runner that crashes at once, and longParts the number of shared
	// parts before the deadly one in long prompts.
	promptDelay = 30 * time.Millisecond
	longParts   = 36
	// stableWindow is stable_window_ms.
	stableWindow = 3 * time.Second
	// soundInterval and deadlyInterval are the times between two requests of each kind: 3 in
	// 100 are deadly, for deadlyTime, as on the day in letter 6.
	soundInterval  = 20 * time.Millisecond
	deadlyInterval = 667 * time.Millisecond
	deadlyTime     = 20 * time.Second
	// allowedDeadly is the number of deadly requests that may reach runners, and
	// crashesBefore the number of crashes after which they count.
	allowedDeadly = 3
	crashesBefore = 5
)

// playDeadly plays requests with a part that ends the runners which answer them some time
// after the first event.
func playDeadly(sit *site) (bool, string, error) { return sit.playDeadly(crashDelay, 1) }

// playLongDeadly plays prompts of many parts, of which a late one ends runners at once.
func playLongDeadly(sit *site) (bool, string, error) { return sit.playDeadly(promptDelay, longParts) }

// prefix returns the header of a prompt: shared parts, the deadly one if there is one, and
// the request's own.
func prefix(shared int, deadly string, own int) string {
	var out []string
	for num := range shared {
		out = append(out, fmt.Sprintf("%08x:20", sharedPart+num))
	}
	if deadly != "" {
		out = append(out, deadly+":20")
	}
	return strings.Join(append(out, fmt.Sprintf("%08x:20", own)), ",")
}

func (sit *site) playDeadly(delay time.Duration, shared int) (bool, string, error) {
	if text := os.Getenv("CRASH_MS"); text != "" {
		num, err := strconv.Atoi(text)
		if err != nil {
			return false, "", err
		}
		delay = time.Duration(num) * time.Millisecond
	}
	sit.sto.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "path_prefix": "/say/", "kind": "streaming", "service": "asistent",
			"timeout_ms": 6000, "target_latency_ms": 2500, "priority": 1, "max_attempts": 1, "public": false,
			"sticky_sessions": true, "stream_resume": false, "target_gap_ms": 1000,
		}},
		"services": []any{map[string]any{"name": "asistent", "engine": map[string]any{}}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 10000},
		"tenants":  []any{map[string]any{"name": "hule930", "api_keys": []string{"key-a"}, "rate_per_s": 0, "burst": 0}},
	})
	var mu sync.Mutex
	var crashes []time.Time
	crashed := func(string) {
		mu.Lock()
		defer mu.Unlock()
		crashes = append(crashes, time.Now())
	}
	deadly := ""
	if sit.trouble {
		deadly = deadlyPart
	}
	zones := []string{"timis-a", "timis-b", "arad-a", "arad-b"}
	for num := range 9 {
		run := &modelRunner{
			id: fmt.Sprint("i-", num), service: "asistent", zone: zones[num%len(zones)], log: sit.log, sto: sit.sto,
			deadly: deadly, delay: delay, crashed: crashed,
		}
		if err := startModelRunner(run); err != nil {
			return false, "", err
		}
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
	var grp sync.WaitGroup
	ctx, cancel := context.WithCancel(context.Background())
	var answered, cut, other int
	sound := func(num int) {
		id := fmt.Sprint("sound-", num)
		ent := sit.entries[num%len(sit.entries)]
		status, err := stream(context.Background(), ent, "/say/"+id, id, prefix(shared, "", 0x10000000+num))
		sit.log.note("client gets %d for %s: %v", status, id, err)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err != nil && len(sit.log.runsOf(id)) > 0:
			cut++
		case status == 200:
			answered++
		default:
			other++
		}
	}
	grp.Go(func() {
		for num := 0; ctx.Err() == nil; num++ {
			grp.Go(func() { sound(num) })
			time.Sleep(soundInterval)
		}
	})
	time.Sleep(4 * time.Second)
	sentAt := make(map[string]time.Time)
	for num, end := 0, time.Now().Add(deadlyTime); time.Now().Before(end); num++ {
		id := fmt.Sprint("deadly-", num)
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		ent := sit.entries[num%len(sit.entries)]
		grp.Go(func() {
			status, err := stream(context.Background(), ent, "/say/"+id, id, prefix(shared, deadlyPart, 0x20000000+num))
			sit.log.note("client gets %d for %s: %v", status, id, err)
		})
		time.Sleep(deadlyInterval)
	}
	cancel()
	grp.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= crashesBefore {
		from := crashes[crashesBefore-1].Add(stableWindow)
		for id, at := range sentAt {
			if at.After(from) {
				late += len(sit.log.runsOf(id))
			}
		}
	}
	text := fmt.Sprintf("%d deadly requests, %d crashes; %d deadly requests sent later than %v after crash %d reached runners; sound streams: %d complete, %d accepted and lost, %d refused or failed",
		len(sentAt), len(crashes), late, stableWindow, crashesBefore, answered, cut, other)
	if answered == 0 {
		return false, text, fmt.Errorf("no stream was complete: %s", text)
	}
	return late > allowedDeadly, text, nil
}
