package wick

import (
	"time"

	"golang.org/x/sys/unix"
)

// offsetReads is the number of reads of which the closest is taken: the process may be
// interrupted between the two clocks.
const offsetReads = 3

// bootOffset returns by how much the clock that counts suspension is ahead of the one that
// doesn't: at least that much if atLeast is set, and at most that much otherwise.
func bootOffset(atLeast bool) time.Duration {
	first, second := int32(unix.CLOCK_BOOTTIME), int32(unix.CLOCK_MONOTONIC)
	if atLeast {
		first, second = second, first
	}
	var out time.Duration
	for num := range offsetReads {
		one, two := readClock(first), readClock(second)
		switch diff := one - two; {
		case atLeast && (num == 0 || -diff < out):
			out = -diff
		case !atLeast && (num == 0 || diff > out):
			out = diff
		}
	}
	return out
}

// readClock returns the reading of a clock, 0 if there is none.
func readClock(clk int32) time.Duration {
	var ts unix.Timespec
	if unix.ClockGettime(clk, &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
