package httpio

import (
	"errors"
	"os"
	"time"
)

const (
	// writeChecks is the number of times per WriteTimeout that the progress of a write is
	// checked. The kernel reports a socket as writable only once a third of its buffer is
	// free, which a slow caller may need more than WriteTimeout for; a new write takes less.
	writeChecks = 4
	// minWriteRate is the least average rate in bytes per second. It bounds the time that a
	// slow caller holds the memory of a response: 9 minutes for 8 MiB.
	minWriteRate = 16 << 10
)

// write writes all of buf, however long that takes, as long as the caller takes bytes: it
// fails if the caller took none for limit, or less than minWriteRate since limit has
// passed. It returns the number of bytes written, and an error if that is less than
// len(buf), as io.Writer requires; the rest can't be sent later. Time is counted in checks,
// so that a pause of the process counts once.
func (con *limitConn) write(buf []byte, limit time.Duration) (int, error) {
	step := limit / writeChecks
	done, idle := 0, 0
	for checks := 1; ; checks++ {
		if err := con.SetWriteDeadline(time.Now().Add(step)); err != nil {
			return done, err //nolint:wrapcheck // net.Conn returns net errors
		}
		num, err := con.Conn.Write(buf[done:])
		done += num
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return done, err //nolint:wrapcheck // net.Conn returns net errors
		}
		idle++
		if num > 0 {
			idle = 0
		}
		late := time.Duration(checks-writeChecks) * step
		if idle >= writeChecks || float64(done) < late.Seconds()*minWriteRate {
			return done, err //nolint:wrapcheck // net.Conn returns net errors
		}
	}
}
