// Package bench is a discrete-event simulation that replays generated traces
// through the routing, admission and rollout code. It runs in virtual time, so
// that a seed gives the same results on every machine. The endpoints are a
// model of fake.Engine; a test compares the two.
package bench

import (
	"container/heap"
	"time"
)

// An event is a function scheduled for a virtual time. Simultaneous events run
// in the order in which they were added.
type event struct {
	at  time.Time
	seq uint64
	do  func()
}

// An eventHeap is a heap.Interface of events ordered by time.
type eventHeap []event

// Len returns the number of events.
func (evh *eventHeap) Len() int { return len(*evh) }

// Less reports whether an event comes before another.
func (evh *eventHeap) Less(idx, jdx int) bool {
	left, right := &(*evh)[idx], &(*evh)[jdx]
	if !left.at.Equal(right.at) {
		return left.at.Before(right.at)
	}
	return left.seq < right.seq
}

// Swap swaps two events.
func (evh *eventHeap) Swap(idx, jdx int) { (*evh)[idx], (*evh)[jdx] = (*evh)[jdx], (*evh)[idx] }

// Push adds an event.
func (evh *eventHeap) Push(val any) {
	if ev, ok := val.(event); ok {
		*evh = append(*evh, ev)
	}
}

// Pop removes the last event.
func (evh *eventHeap) Pop() any {
	last := len(*evh) - 1
	ev := (*evh)[last]
	(*evh)[last] = event{}
	*evh = (*evh)[:last]
	return ev
}

// A timeline is an event queue and a wick.Clock in virtual time. Its zero value
// is ready to use.
type timeline struct {
	now    time.Time
	seq    uint64
	events eventHeap
}

// Now returns the virtual time.
func (tml *timeline) Now() time.Time { return tml.now }

// after schedules a function after a delay.
func (tml *timeline) after(wait time.Duration, do func()) {
	tml.seq++
	heap.Push(&tml.events, event{at: tml.now.Add(max(wait, 0)), seq: tml.seq, do: do})
}

// every schedules a function periodically until the end of the run.
func (tml *timeline) every(period time.Duration, do func()) {
	tml.after(period, func() {
		do()
		tml.every(period, do)
	})
}

// run executes the events up to and including end.
func (tml *timeline) run(end time.Time) {
	for len(tml.events) > 0 && !tml.events[0].at.After(end) {
		ev, ok := heap.Pop(&tml.events).(event)
		if !ok {
			return
		}
		tml.now = ev.at
		ev.do()
	}
	tml.now = end
}
