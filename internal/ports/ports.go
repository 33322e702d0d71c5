// Package ports finds free ports on loopback for processes that must know their
// addresses before they listen, and other processes' addresses with them.
package ports

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

// Ports are below those that systems give to outgoing connections: such a port
// could be taken by a connection between the search and the listener.
const (
	lowest  = 10_000
	highest = 32_000
	// perProcess spaces the first ports of processes that search at the same
	// time.
	perProcess = 500
)

// ErrNone reports that no port is free.
var ErrNone = errors.New("no free port")

// A Finder finds ports that are free for TCP and UDP and gives none twice. The
// zero value works; finders of one process should be shared.
type Finder struct {
	// First is the first port to try; 0 chooses one by the process id.
	First int

	mu sync.Mutex
	// tried counts the ports that were tried.
	tried int
}

// shared serves all callers of Addr in this process.
var shared Finder

// Addr returns an address whose port is free for TCP and UDP and that no other
// call in this process returns. The error wraps ErrNone.
func Addr() (string, error) {
	return shared.Addr()
}

// Addr returns an address whose port is free for TCP and UDP. The error wraps
// ErrNone.
func (fnd *Finder) Addr() (string, error) {
	fnd.mu.Lock()
	defer fnd.mu.Unlock()
	if fnd.First == 0 {
		fnd.First = lowest + os.Getpid()*perProcess%(highest-lowest)
	}
	for fnd.tried < highest-lowest {
		port := fnd.First + fnd.tried
		if port > highest {
			port -= highest - lowest
		}
		fnd.tried++
		if addr := net.JoinHostPort("127.0.0.1", strconv.Itoa(port)); free(addr) {
			return addr, nil
		}
	}
	return "", eris.Wrapf(ErrNone, "ports: from %d", fnd.First)
}

func free(addr string) bool {
	lis, err := net.Listen("tcp", addr) //nolint:noctx // closed at once
	if err != nil {
		return false
	}
	con, err := net.ListenPacket("udp", addr) //nolint:noctx // closed at once
	if err == nil {
		err = con.Close()
	}
	return errors.Join(err, lis.Close()) == nil
}
