package main

import (
	"fmt"
	"sync"
	"time"
)

// A journal records what was sent, run and answered.
type journal struct {
	mu    sync.Mutex
	start time.Time
	runs  map[string][]string
	lines []string
}

func newJournal() *journal { return &journal{start: time.Now(), runs: make(map[string][]string)} }

func (log *journal) note(format string, args ...any) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.lines = append(log.lines, fmt.Sprintf("%8.3f ", time.Since(log.start).Seconds())+fmt.Sprintf(format, args...))
}

func (log *journal) ran(id, run string) {
	log.mu.Lock()
	log.runs[id] = append(log.runs[id], run)
	log.mu.Unlock()
	log.note("runner %s runs %s", run, id)
}

// runsOf returns the runners that ran a request.
func (log *journal) runsOf(id string) []string {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.runs[id]
}
