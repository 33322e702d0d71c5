package httpio

import (
	"cmp"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// defaultHeadMemory bounds the memory of heads if a Listener has no HeadMemory: 1,000
	// heads of the default size.
	defaultHeadMemory = 64 << 20
	// headCopies is how often the bytes of a head are held while its request is read and
	// served: by the reader, the audit, the server's raw and parsed header and the handler.
	headCopies = 4
	// freeHeadBytes is the size up to which a head needs no reservation, so that large heads
	// don't fail the usual ones. It is part of the memory of a connection.
	freeHeadBytes = 4 << 10
	// slowHeadGrace is how long an incomplete head keeps its memory once others need it.
	slowHeadGrace = 2 * time.Second
)

// A headMemory lends memory to the heads and trailers of all connections of a listener. The
// zero value works.
type headMemory struct {
	mu   sync.Mutex
	used int64
	// reading holds the reservations of heads and trailers that are not complete.
	reading map[*headReservation]struct{}
}

// A headReservation is the memory that one connection holds of a headMemory.
type headReservation struct {
	// held is used by the connection's own goroutine only.
	held int64
	// since is when the current head or trailer first needed memory.
	since time.Time
	// end makes the connection's read fail.
	end func()
}

// grow extends a reservation to that of a head or trailer of a size. It returns false if that
// would exceed the limit of all reservations, 0 for defaultHeadMemory. It then ends the slow
// reads, so that later requests can use their memory.
func (hmm *headMemory) grow(rsv *headReservation, size int, limit int64, now time.Time) bool {
	more := int64(size)*headCopies - rsv.held
	if size <= freeHeadBytes || more <= 0 {
		return true
	}
	hmm.mu.Lock()
	defer hmm.mu.Unlock()
	if hmm.used+more > cmp.Or(limit, defaultHeadMemory) {
		hmm.endSlow(now)
		return false
	}
	if hmm.reading == nil {
		hmm.reading = make(map[*headReservation]struct{})
	}
	if _, ok := hmm.reading[rsv]; !ok {
		hmm.reading[rsv], rsv.since = struct{}{}, now
	}
	hmm.used += more
	rsv.held += more
	return true
}

// endSlow ends the reads of heads and trailers that have been incomplete for slowHeadGrace.
func (hmm *headMemory) endSlow(now time.Time) {
	for rsv := range hmm.reading {
		if now.Sub(rsv.since) >= slowHeadGrace {
			metrics.GetOrRegisterCounter("front.inputs.slowHeadsEnded", nil).Inc(1)
			delete(hmm.reading, rsv)
			rsv.end()
		}
	}
}

// complete notes that a head or trailer was read. Its memory remains reserved while the
// request is served.
func (hmm *headMemory) complete(rsv *headReservation) {
	if rsv.held == 0 {
		return
	}
	hmm.mu.Lock()
	defer hmm.mu.Unlock()
	delete(hmm.reading, rsv)
}

// release returns the memory of a reservation.
func (hmm *headMemory) release(rsv *headReservation) {
	if rsv.held == 0 {
		return
	}
	hmm.mu.Lock()
	defer hmm.mu.Unlock()
	delete(hmm.reading, rsv)
	hmm.used -= rsv.held
	rsv.held = 0
}
