// Package ports finds free ports on loopback for processes whose addresses, and
// those of their peers, must be known before they listen.
package ports

import (
	"errors"
	"net"
	"os"
	"strconv"
	"sync"

	"github.com/rotisserie/eris"
)

// Ports are below the ephemeral range: an ephemeral port could be assigned to an
// outgoing connection between the search and the listen call.
const (
	minPort = 10_000
	maxPort = 32_000
	// portsPerProcess is the distance between the first ports of processes that
	// search concurrently.
	portsPerProcess = 500
)

// ErrNone reports that no port is free.
var ErrNone = errors.New("no free port")

// A Finder finds ports that are free for TCP and UDP and returns each at most
// once. The zero value is ready to use; a process should share one Finder.
type Finder struct {
	// First is the first port to try; if 0, it is derived from the process id.
	First int

	mu sync.Mutex
	// tried counts the ports that were tried.
	tried int
}

// shared is the Finder of the package-level Addr.
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
		fnd.First = minPort + os.Getpid()*portsPerProcess%(maxPort-minPort)
	}
	for fnd.tried < maxPort-minPort {
		port := fnd.First + fnd.tried
		if port > maxPort {
			port -= maxPort - minPort
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
