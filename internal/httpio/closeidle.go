package httpio

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

// closeIdleDelay is how long a connection still waits for a request after CloseIdle, so
// that one which has arrived is read and answered.
const closeIdleDelay = 10 * time.Millisecond

// A connSet holds the open connections of a listener.
type connSet struct {
	// closing is set before the connections are visited, so that none is missed.
	closing atomic.Bool
	mu      sync.Mutex
	all     map[*limitConn]struct{}
}

func (set *connSet) add(con *limitConn) {
	set.mu.Lock()
	defer set.mu.Unlock()
	if set.all == nil {
		set.all = make(map[*limitConn]struct{})
	}
	set.all[con] = struct{}{}
}

func (set *connSet) remove(con *limitConn) {
	set.mu.Lock()
	defer set.mu.Unlock()
	delete(set.all, con)
}

// CloseIdle closes the connections that wait for a request, and from then on each one that
// begins to wait. A request of which a part has been read is served.
func (lis *Listener) CloseIdle() {
	lis.conns.closing.Store(true)
	lis.conns.mu.Lock()
	defer lis.conns.mu.Unlock()
	for con := range lis.conns.all {
		con.endWait()
	}
}

// endWait makes an idle connection end its wait.
func (con *limitConn) endWait() {
	con.idle.mu.Lock()
	defer con.idle.mu.Unlock()
	if !con.idle.since.IsZero() {
		_ = con.Conn.SetReadDeadline(time.Now().Add(closeIdleDelay)) // a closed connection has ended its wait
	}
}

// closeIdleWithin calls CloseIdle when two thirds of the time of ctx have passed: the rest
// is for requests that are being served. The returned function ends the wait.
func (lis *Listener) closeIdleWithin(ctx context.Context) (stop func() bool) {
	end, ok := ctx.Deadline()
	if !ok {
		return func() bool { return true }
	}
	return time.AfterFunc(time.Until(end)*2/3, lis.CloseIdle).Stop
}
