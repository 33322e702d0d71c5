// Package netem provides a fault-injecting loopback TCP proxy for tests that
// run programs as separate processes. It can delay, reset and refuse
// connections and drop data in one or both directions.
package netem

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// A Fault is the fault that a Proxy injects into its connections. The zero value
// injects none.
type Fault struct {
	// Refuse closes new connections immediately and resets open ones.
	Refuse bool
	// DropToServer and DropToClient discard the data sent in that direction.
	DropToServer, DropToClient bool
	// Delay is the extra latency of every read.
	Delay time.Duration
}

// A Proxy forwards TCP connections to one address. Create it with New.
type Proxy struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
}

// New starts a proxy on a loopback port that forwards to target "host:port".
func New(target string) (*Proxy, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // the listener lives until Close
	if err != nil {
		return nil, eris.Wrap(err, "netem: listen")
	}
	prx := &Proxy{lis: lis, target: target, conns: make(map[net.Conn]bool)}
	go prx.serve()
	return prx, nil
}

// Addr returns the address "host:port" of the proxy.
func (prx *Proxy) Addr() string { return prx.lis.Addr().String() }

// Close stops the proxy and resets its connections.
func (prx *Proxy) Close() {
	_ = prx.lis.Close()
	prx.SetFault(Fault{Refuse: true})
}

// SetFault replaces the fault.
func (prx *Proxy) SetFault(flt Fault) {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	prx.fault = flt
	if flt.Refuse {
		prx.resetAll()
	}
}

// Reset resets all open connections once.
func (prx *Proxy) Reset() {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	prx.resetAll()
}

// resetAll closes all connections with a TCP reset. The caller must hold mu.
func (prx *Proxy) resetAll() {
	for con := range prx.conns {
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection is closed in any case
		}
		_ = con.Close()
	}
}

func (prx *Proxy) currentFault() Fault {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	return prx.fault
}

// track registers a connection, or closes it and returns false if connections
// are refused.
func (prx *Proxy) track(con net.Conn) bool {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	if prx.fault.Refuse {
		_ = con.Close()
		return false
	}
	prx.conns[con] = true
	return true
}

func (prx *Proxy) untrack(con net.Conn) {
	_ = con.Close()
	prx.mu.Lock()
	defer prx.mu.Unlock()
	delete(prx.conns, con)
}

func (prx *Proxy) serve() {
	for {
		con, err := prx.lis.Accept()
		if err != nil {
			return
		}
		if prx.track(con) {
			go prx.forward(con)
		}
	}
}

func (prx *Proxy) forward(con net.Conn) {
	defer prx.untrack(con)
	out, err := net.Dial("tcp", prx.target) //nolint:noctx // closed with the proxy
	if err != nil || !prx.track(out) {
		return
	}
	defer prx.untrack(out)
	var grp sync.WaitGroup
	grp.Go(func() { prx.relay(out, con, func(flt Fault) bool { return flt.DropToServer }) })
	grp.Go(func() { prx.relay(con, out, func(flt Fault) bool { return flt.DropToClient }) })
	grp.Wait()
}

// endOutput passes the end of one side's input on to the other, and closes both after an
// error.
func endOutput(dst, src net.Conn, err error) {
	half, ok := dst.(interface{ CloseWrite() error })
	if ok && errors.Is(err, io.EOF) && half.CloseWrite() == nil {
		return
	}
	_ = dst.Close()
	_ = src.Close()
}

// bufferBytes is the maximum size of one read.
const bufferBytes = 16 << 10

// relay copies data from src to dst until the input ends or a side fails.
func (prx *Proxy) relay(dst, src net.Conn, drop func(flt Fault) bool) {
	buf := make([]byte, bufferBytes)
	for {
		num, err := src.Read(buf)
		flt := prx.currentFault()
		if flt.Delay > 0 {
			time.Sleep(flt.Delay)
		}
		if num > 0 && !drop(flt) {
			if _, werr := dst.Write(buf[:num]); werr != nil {
				endOutput(dst, src, werr)
				return
			}
		}
		if err != nil {
			endOutput(dst, src, err)
			return
		}
	}
}
