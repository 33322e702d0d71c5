// Package logs writes log lines without blocking the caller: lines go through a
// bounded queue, and those that exceed the queue or the rate limit are dropped
// and counted.
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"
)

const (
	// queueLines is the capacity of the queue in lines.
	queueLines = 1024
	// lineRate and lineBurst limit the lines per second by a token bucket.
	lineRate  = 400
	lineBurst = 800
	// reportInterval is the minimum time between reports of dropped lines.
	reportInterval = time.Second
	closeTimeout   = 200 * time.Millisecond
)

// A Writer forwards lines to another writer asynchronously. Use New.
type Writer struct {
	out   io.Writer
	lim   *rate.Limiter
	queue chan []byte
	done  chan struct{}
	once  sync.Once
	// dropped counts lines since the last report.
	dropped atomic.Int64
}

// New returns a Writer and starts its goroutine, which Close stops.
func New(out io.Writer) *Writer {
	wri := &Writer{
		out: out, lim: rate.NewLimiter(lineRate, lineBurst), queue: make(chan []byte, queueLines), done: make(chan struct{}),
	}
	go wri.run()
	return wri
}

// Write queues one line. It never fails and never blocks.
func (wri *Writer) Write(line []byte) (int, error) {
	if !wri.lim.Allow() {
		wri.drop()
		return len(line), nil
	}
	select {
	case wri.queue <- append([]byte(nil), line...):
	default:
		wri.drop()
	}
	return len(line), nil
}

func (wri *Writer) drop() {
	wri.dropped.Add(1)
	metrics.GetOrRegisterCounter("logs.dropped", nil).Inc(1)
}

// run writes queued lines until Close.
func (wri *Writer) run() {
	defer close(wri.done)
	var reported time.Time
	for line := range wri.queue {
		if line == nil {
			return
		}
		// There is nowhere to report a failure of the log itself.
		_, _ = wri.out.Write(line)
		if wri.dropped.Load() > 0 && time.Since(reported) > reportInterval {
			reported = time.Now()
			wri.report()
		}
	}
}

// report writes how many lines were dropped.
func (wri *Writer) report() {
	if num := wri.dropped.Swap(0); num > 0 {
		_, _ = fmt.Fprintf(wri.out, "{\"level\":\"warning\",\"time\":%q,\"msg\":%q,\"lines\":%d}\n",
			time.Now().Format(TimeFormat), MsgLinesDropped, num)
	}
}

// Close flushes the queue, within twice closeTimeout at most.
func (wri *Writer) Close() {
	wri.once.Do(func() {
		select {
		case wri.queue <- nil:
		case <-time.After(closeTimeout):
			return
		}
		select {
		case <-wri.done:
			wri.report()
		case <-time.After(closeTimeout):
		}
	})
}
