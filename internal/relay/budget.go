package relay

import (
	"errors"
	"sync/atomic"
)

const (
	// maxBufferedBytes bounds the memory of partial replies beyond freeBufferBytes of each
	// and the bodies of requests beyond freeBodyBytes, unless Config.Memory is set.
	maxBufferedBytes = 48 << 20
	// freeBufferBytes is the memory that a reply may use without a reservation, so
	// that endless replies don't fail the usual ones.
	freeBufferBytes = 64 << 10
	// maxEventBytes bounds one event of a stream.
	maxEventBytes = 1 << 20
)

// Errors of replies that are too large to be those of a sound endpoint.
var (
	errReplySize   = errors.New("reply exceeds the size limit")
	errEventSize   = errors.New("event exceeds the size limit")
	errReplyMemory = errors.New("memory for replies is exhausted")
)

// A byteBudget is an amount of memory that requests share.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

// take takes a number of bytes and reports whether they were available. One that fails
// never counts, not even for a moment, in which it would fail others.
func (bud *byteBudget) take(num int64) bool { return bud.takeBelow(num, bud.limit) }

// takeBelow takes bytes if no more than limit are in use then.
func (bud *byteBudget) takeBelow(num, limit int64) bool {
	for {
		used := bud.used.Load()
		if used+num > limit {
			return false
		}
		if bud.used.CompareAndSwap(used, used+num) {
			return true
		}
	}
}

// A reservation is the part of a byteBudget that one request holds. It is not safe
// for concurrent use.
type reservation struct {
	bud  *byteBudget
	held int64
}

// grow extends the reservation to a buffer of a size and reports whether the memory
// was available.
func (rsv *reservation) grow(size int64) bool {
	more := size - freeBufferBytes - rsv.held
	if more <= 0 {
		return true
	}
	if !rsv.bud.take(more) {
		return false
	}
	rsv.held += more
	return true
}

// release returns the reserved memory.
func (rsv *reservation) release() {
	rsv.bud.used.Add(-rsv.held)
	rsv.held = 0
}

// checkPartial returns an error if an incomplete event is too large.
func (req *request) checkPartial(spl *eventSplitter) error {
	size := spl.partialBytes()
	if size > maxEventBytes {
		return errEventSize
	}
	if !req.buffered.grow(size) {
		return errReplyMemory
	}
	return nil
}
