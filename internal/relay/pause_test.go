package relay

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const pauseLength = 400 * time.Millisecond

// pauseLines are the headers of a refusal that asks for a pause.
var pauseLines = refusedLine + "X-Pause: " + pauseLength.String() + "\r\n"

// retryAfter returns the delay that a response tells the caller, 0 for none.
func retryAfter(res *http.Response) time.Duration {
	secs, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64)
	if err != nil {
		return 0
	}
	return time.Duration(secs * float64(time.Second))
}

// TestPause guards against requests to an endpoint within the time for which it has asked
// the entry for none, and against callers that wait for its end or come again too early.
func TestPause(t *testing.T) {
	for _, path := range []string{"/book/1", "/look/1", "/gen/1"} {
		t.Run("only endpoint"+path, func(t *testing.T) {
			body := "id: 1\ndata: a\n\n"
			rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, num int) {
				if num == 0 {
					replyWith(con, req, 503, pauseLines, "")
					return
				}
				replyWith(con, req, 200, sealLine, body)
			})
			began := time.Now()
			for range 3 {
				res := rly.request(path)
				res.Body.Close()
				if res.StatusCode != http.StatusServiceUnavailable {
					t.Fatalf("status %d, want a refusal", res.StatusCode)
				}
				left := pauseLength - time.Since(began)
				if after := retryAfter(res); after < left || after > pauseLength+maxSpread {
					t.Errorf("to be repeated after %v, want %v or some more", after, left)
				}
			}
			if took := time.Since(began); took > pauseLength/2 {
				t.Errorf("refused after %v, want at once", took)
			}
			status, text, _ := rly.post(path)
			rly.assert(status, 503, text, "endpointsPaused", 1)
			time.Sleep(time.Until(began.Add(pauseLength + 50*time.Millisecond)))
			status, text, _ = rly.post(path)
			rly.assert(status, 200, text, body, 2)
		})
	}
	t.Run("another endpoint", func(t *testing.T) {
		rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, num int) {
			if num == 0 {
				replyWith(con, req, 503, pauseLines, "")
				return
			}
			replyWith(con, req, 200, sealLine, "ok")
		})
		for num := range 8 {
			status, body, _ := rly.post("/book/1")
			rly.assert(status, 200, body, "ok", num+2)
		}
		if left := rly.order[0]; rly.received[left] != 1 {
			t.Errorf("%s got %d requests, want 1", left, rly.received[left])
		}
	})
	t.Run("all endpoints tried", func(t *testing.T) {
		rly := newTestRelay(t, 1+maxExtraAttempts, func(req *http.Request, con net.Conn, _ int) {
			replyWith(con, req, 503, pauseLines, "")
		})
		began := time.Now()
		res := rly.request("/book/1")
		res.Body.Close()
		if after, left := retryAfter(res), pauseLength-time.Since(began); after < left {
			t.Errorf("to be repeated after %v, want %v or some more", after, left)
		}
		status, body, _ := rly.post("/book/1")
		rly.assert(status, 503, body, "endpointsPaused", 1+maxExtraAttempts)
	})
	t.Run("answer to another request", func(t *testing.T) {
		rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, num int) {
			if num == 0 {
				req.Header.Set("X-Id", "r0")
				replyWith(con, req, 503, pauseLines, "")
				return
			}
			replyWith(con, req, 200, sealLine, "ok")
		})
		_, _, _ = rly.post("/look/1")
		time.Sleep(50 * time.Millisecond)
		status, body, _ := rly.post("/look/1")
		rly.assert(status, 200, body, "ok", 2)
	})
}

// TestPauseHeaderIsReplaced guards against callers that are told to wait for one endpoint
// though another one would serve them.
func TestPauseHeaderIsReplaced(t *testing.T) {
	for name, tst := range map[string]struct {
		endpoints   int
		least, most time.Duration
	}{
		"other endpoints are left": {2, 0, 0},
		"none is left":             {1, pauseLength / 2, pauseLength + maxSpread},
	} {
		t.Run(name, func(t *testing.T) {
			rly := newTestRelay(t, tst.endpoints, func(req *http.Request, con net.Conn, _ int) {
				replyWith(con, req, 503, sealLine+"Retry-After: 60\r\nX-Pause: "+pauseLength.String()+"\r\n", "bad")
			})
			res := rly.request("/book/1")
			res.Body.Close()
			if res.StatusCode != http.StatusServiceUnavailable || res.Header.Get("X-Seal") == "" {
				t.Errorf("status %d, want the endpoint's answer", res.StatusCode)
			}
			if after := retryAfter(res); after < tst.least || after > tst.most {
				t.Errorf("to be repeated after %v, want %v to %v", after, tst.least, tst.most)
			}
		})
	}
}

// TestPauseWhileWaiting guards against a request that waited for its turn at an endpoint
// and is sent there within a pause that has begun meanwhile.
func TestPauseWhileWaiting(t *testing.T) {
	rly := newTestRelay(t, 1, func(req *http.Request, con net.Conn, _ int) {
		if strings.HasSuffix(req.URL.Path, "slow") {
			time.Sleep(100 * time.Millisecond)
			replyWith(con, req, 503, pauseLines, "")
			return
		}
		replyWith(con, req, 200, sealLine, "ok")
	})
	slow := make(chan int, 1)
	go func() {
		status, _, _ := rly.post("/look/slow")
		slow <- status
	}()
	time.Sleep(50 * time.Millisecond)
	// The next request gets its turn 200 ms from now.
	setTestLimit(t, rly.pool, 5)
	began := time.Now()
	status, body, _ := rly.post("/look/1")
	rly.assert(status, 503, body, "endpointsPaused", 1)
	if took := time.Since(began); took > 150*time.Millisecond {
		t.Errorf("refused after %v, want at once", took)
	}
	<-slow
}

// setTestLimit makes the endpoint name a limit of which the first request is used up.
func setTestLimit(t *testing.T, pl *pool.Pool, perSecond float64) {
	t.Helper()
	asg, err := pl.Pick(pool.Query{Service: "s", Now: time.Now()})
	if err != nil {
		t.Fatal(err)
	}
	// The first limit saves up a request, whatever it begins with.
	asg.SetLimit(wick.RateLimit{Set: true, PerSecond: 1000}, time.Now())
	time.Sleep(10 * time.Millisecond)
	asg.SetLimit(wick.RateLimit{Set: true, PerSecond: perSecond}, time.Now())
	asg.Done(pool.ResultCancelled, time.Now())
	spent, err := pl.Pick(pool.Query{Service: "s", Now: time.Now(), MaxWait: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	spent.Done(pool.ResultCancelled, time.Now())
}

// TestPausedHandoffTarget guards against a run that is moved to an endpoint which has asked
// for no requests while the run's memory was copied.
func TestPausedHandoffTarget(t *testing.T) {
	var rly *testRelay
	rly = newTestRelay(t, 2, func(_ *http.Request, con net.Conn, _ int) {
		stopped := rly.leaveAfterFirstEvent(con)
		rly.mover.mu.Lock()
		stop := rly.mover.stop
		rly.mover.stop = func() {
			asg, err := rly.pool.Pick(pool.Query{Service: "s", Now: time.Now()})
			if err != nil {
				t.Error(err)
				return
			}
			asg.Pause(time.Minute, time.Now())
			stop()
		}
		rly.mover.mu.Unlock()
		<-stopped
	})
	rly.mover.moved = true
	status, body, err := rly.post("/say/1", "X-Model", "m")
	if err == nil {
		t.Error("truncated stream looks complete")
	}
	rly.assert(status, 200, body, "id: 1", 1)
}
