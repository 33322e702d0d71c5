package pool

import (
	"testing"
	"time"
)

// newColdPool returns the pool of an entry that alone sends to one endpoint, and assignments
// of that from before it became cold.
func newColdPool(t *testing.T, assigned int) (*Pool, []*Assignment) {
	t.Helper()
	pl := newColdFleet(t, 1, 1).pools[0]
	asgs := make([]*Assignment, 0, assigned)
	for range assigned {
		asgs = append(asgs, pick(t, pl, Query{Service: service, Now: start}))
	}
	pl.MarkZoneCold("a", start)
	pl.SetColdShare("e0", 1, start)
	return pl, asgs
}

// assertSendable checks how many assignments may be sent at a time.
func assertSendable(t *testing.T, asgs []*Assignment, now time.Time, want int) {
	t.Helper()
	got := 0
	for _, asg := range asgs {
		if asg.Sendable(now) {
			got++
		}
	}
	if got != want {
		t.Errorf("%d of %d assignments may be sent, want %d", got, len(asgs), want)
	}
}

// TestAssignedBeforeCold guards against secured attempts and moved runs that are sent to an
// endpoint which has become cold since they were assigned.
func TestAssignedBeforeCold(t *testing.T) {
	_, asgs := newColdPool(t, 10)
	assertSendable(t, asgs, start, 0)
	assertSendable(t, asgs, start.Add(time.Second), 1)
}

// TestUnsentBeforeCold guards against tokens of a cold endpoint that are returned for
// requests which were assigned before and took none.
func TestUnsentBeforeCold(t *testing.T) {
	pl, asgs := newColdPool(t, 10)
	for _, asg := range asgs {
		asg.Unsent()
	}
	if _, err := pl.Pick(Query{Service: service, Now: start}); err == nil {
		t.Error("a request is sent to an endpoint that has just become cold")
	}
}

// TestSuspendedTurns guards against an entry whose process is suspended while requests wait
// for their turns at a cold endpoint, and which then sends them all at once.
func TestSuspendedTurns(t *testing.T) {
	const waiting = 4
	pl, _ := newColdPool(t, 0)
	asgs := make([]*Assignment, 0, waiting)
	for range waiting {
		asgs = append(asgs, pick(t, pl, Query{Service: service, Now: start, MaxWait: time.Second}))
	}
	assertSendable(t, asgs[:1], start.Add(asgs[0].Wait), 1)
	usable := 0
	for _, asg := range asgs[1:] {
		if asg.Usable(start.Add(2 * time.Second)) {
			usable++
		}
	}
	if usable > 1 {
		t.Errorf("%d requests are sent at once after the suspension", usable)
	}
}

// TestDuplicateAtCold guards against runs that continue at their cold endpoint all at once
// because their moves have failed.
func TestDuplicateAtCold(t *testing.T) {
	_, asgs := newColdPool(t, 10)
	now, num := start.Add(time.Second), 0
	for _, asg := range asgs {
		if asg.Duplicate(now) != nil {
			num++
		}
	}
	if num != 1 {
		t.Errorf("%d runs continue at a cold endpoint at once, want 1", num)
	}
}

// TestColdShareLost guards against bursts when the parts of a cold endpoint's rate move to
// other entries: each of those that had one sent what it had saved up or had waiting.
func TestColdShareLost(t *testing.T) {
	const turn = 200 * time.Millisecond
	pl, _ := newColdPool(t, 0)
	now := start.Add(time.Second)
	asgs := []*Assignment{
		pick(t, pl, Query{Service: service, Now: now}),
		pick(t, pl, Query{Service: service, Now: now, MaxWait: turn}),
	}
	pl.SetColdShare("e0", 0, now)
	assertSendable(t, asgs, now.Add(turn), 0)
	pl, _ = newColdPool(t, 0)
	pl.SetColdShare("e0", 0, now)
	if _, err := pl.Pick(Query{Service: service, Now: now}); err == nil {
		t.Error("a request is sent without a share")
	}
}
