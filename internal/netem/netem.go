// Package netem is a loopback proxy with faults for tests that run programs as
// separate processes: connections that are delayed, reset, refused, or silent
// in one or both directions.
package netem

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// A Fault is what a Proxy does to its connections. The zero value passes
// everything on.
type Fault struct {
	// Refuse closes new connections at once and resets open ones.
	Refuse bool
	// DropToServer and DropToClient read bytes and drop them.
	DropToServer, DropToClient bool
	// Delay is added to every read.
	Delay time.Duration
}

// A Proxy passes TCP connections on to one address. Use New.
type Proxy struct {
	lis    net.Listener
	target string

	mu    sync.Mutex
	fault Fault
	conns map[net.Conn]bool
}

// New starts a proxy on a loopback port for a target "host:port".
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

// Close ends the proxy and its connections.
func (prx *Proxy) Close() {
	_ = prx.lis.Close()
	prx.Set(Fault{Refuse: true})
}

// Set replaces the fault.
func (prx *Proxy) Set(flt Fault) {
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

// resetAll ends the connections with a reset. The caller holds mu.
func (prx *Proxy) resetAll() {
	for con := range prx.conns {
		if tcp, ok := con.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the connection is given up anyway
		}
		_ = con.Close()
	}
}

func (prx *Proxy) current() Fault {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	return prx.fault
}

// add registers a connection and reports whether it may be used.
func (prx *Proxy) add(con net.Conn) bool {
	prx.mu.Lock()
	defer prx.mu.Unlock()
	if prx.fault.Refuse {
		_ = con.Close()
		return false
	}
	prx.conns[con] = true
	return true
}

func (prx *Proxy) remove(con net.Conn) {
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
		if prx.add(con) {
			go prx.pass(con)
		}
	}
}

func (prx *Proxy) pass(con net.Conn) {
	defer prx.remove(con)
	out, err := net.Dial("tcp", prx.target) //nolint:noctx // ends with the proxy
	if err != nil || !prx.add(out) {
		return
	}
	defer prx.remove(out)
	go func() {
		prx.copy(out, con, func(flt Fault) bool { return flt.DropToServer })
		_ = out.Close()
	}()
	prx.copy(con, out, func(flt Fault) bool { return flt.DropToClient })
}

// copyBytes is the size of one read.
const copyBytes = 16 << 10

// copy passes bytes on until either side ends.
func (prx *Proxy) copy(dst, src net.Conn, drop func(flt Fault) bool) {
	buf := make([]byte, copyBytes)
	for {
		num, err := src.Read(buf)
		flt := prx.current()
		if flt.Delay > 0 {
			time.Sleep(flt.Delay)
		}
		if num > 0 && !drop(flt) {
			if _, werr := dst.Write(buf[:num]); werr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
