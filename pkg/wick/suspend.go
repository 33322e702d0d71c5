package wick

import (
	"sync"
	"sync/atomic"
	"time"
)

// A BootClock is a clock whose times count the suspension of the machine, which Go's
// monotonic time leaves out. They can be compared with each other only. Its zero value is
// ready to use.
type BootClock struct{}

// Now returns the current time, later by what the machine has been suspended.
func (BootClock) Now() time.Time { return time.Now().Add(Suspended()) }

// Suspended returns how long the machine has been suspended since the first call, in whole
// milliseconds. It never decreases, and is 0 on platforms that don't report it.
func Suspended() time.Duration {
	suspendBase.once.Do(func() { suspendBase.offset = bootOffset(true) })
	total := (bootOffset(false) - suspendBase.offset).Truncate(time.Millisecond)
	for {
		most := suspendBase.most.Load()
		if int64(total) <= most {
			return time.Duration(most)
		}
		if suspendBase.most.CompareAndSwap(most, int64(total)) {
			return total
		}
	}
}

// suspendBase is the offset between the clocks at the first call, and the longest
// suspension that was measured.
var suspendBase struct {
	once   sync.Once
	offset time.Duration
	most   atomic.Int64
}
