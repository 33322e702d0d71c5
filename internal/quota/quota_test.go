package quota

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const customer = wick.Customer("c")

func plan(rate, burst float64) *wick.CustomerPlan {
	return &wick.CustomerPlan{Name: customer, Quota: wick.Quota{Rate: rate, Burst: burst}}
}

// spend takes as much as it can over a time in steps and returns the sum.
func spend(bok *Book, cus *wick.CustomerPlan, cost float64, from time.Time, length time.Duration) float64 {
	var sum float64
	for at := from; at.Before(from.Add(length)); at = at.Add(10 * time.Millisecond) {
		for ok := true; ok; {
			if ok, _ = bok.Take(cus, cost, at); ok {
				sum += cost
			}
		}
	}
	return sum
}

func assertWithin(t *testing.T, what string, got, least, most float64) {
	t.Helper()
	if got < least || got > most {
		t.Errorf("%s = %v, want %v to %v", what, got, least, most)
	}
}

// TestHotCustomer answers the pattern in which one customer sends many times
// its usual on all entries at once: together they must stay within the quota,
// its overshoot and its slack over any window.
func TestHotCustomer(t *testing.T) {
	const entries, window = 5, 8.0
	start := time.Unix(1000, 0)
	cus := plan(1000, 1000)
	books := make([]*Book, entries)
	for idx := range books {
		books[idx] = &Book{Overshoot: 0.1, Slack: 1500}
		books[idx].SetShares(nil, make([]Demand, entries-1), false)
	}
	var sum float64
	for step := range int(window) {
		at := start.Add(time.Duration(step) * time.Second)
		published := make([]Demand, entries)
		for idx, bok := range books {
			published[idx] = bok.Demand(at)
		}
		for idx, bok := range books {
			// Entry 0 gets ten times the others' load.
			sum += spend(bok, cus, float64(10+90*min(1, max(0, 1-idx))), at, time.Second)
			others := append(append([]Demand{}, published[:idx]...), published[idx+1:]...)
			bok.SetShares(published[idx], others, false)
		}
	}
	allowed := (1000*window+1000)*1.1 + 1500
	assertWithin(t, "spent by a hot customer", sum, 1000*window, allowed)
}

// TestUsualDemand guards against refusals below the quota where demand is
// uneven: an entry with 2/5 of a demand of 1/1.8 of the quota must not refuse.
func TestUsualDemand(t *testing.T) {
	cus := plan(1800, 1800)
	bok := &Book{}
	bok.SetShares(Demand{customer: 400}, []Demand{{customer: 150}, {customer: 150}, {customer: 150}, {customer: 150}}, false)
	start := time.Unix(1000, 0)
	for step := range 400 {
		if ok, _ := bok.Take(cus, 10, start.Add(time.Duration(step)*25*time.Millisecond)); !ok {
			t.Fatalf("refused at step %d", step)
		}
	}
}

// TestTake guards against wrong costs and times to come back.
func TestTake(t *testing.T) {
	now := time.Unix(1000, 0)
	t.Run("after", func(t *testing.T) {
		bok := &Book{}
		bok.SetShares(nil, nil, false)
		cus := plan(100, 100)
		spend(bok, cus, 100, now, 10*time.Millisecond)
		ok, after := bok.Take(cus, 50, now)
		if ok || after != 500*time.Millisecond {
			t.Errorf("Take = %v, %v, want a refusal for 500 ms", ok, after)
		}
		bok.Refund(cus, 50)
		if ok, _ := bok.Take(cus, 50, now); !ok {
			t.Error("refused after a refund")
		}
	})
	t.Run("no bound", func(t *testing.T) {
		if ok, _ := new(Book).Take(plan(0, 0), 1e9, now); !ok {
			t.Error("refused without a quota")
		}
	})
	t.Run("cut off", func(t *testing.T) {
		whole, half := &Book{}, &Book{}
		whole.SetShares(nil, make([]Demand, 4), false)
		half.SetShares(nil, make([]Demand, 4), true)
		cus := plan(1000, 1000)
		got := spend(half, cus, 1, now, time.Second) / spend(whole, cus, 1, now, time.Second)
		assertWithin(t, "part of a share that is left", got, 0.4, 0.6)
	})
	t.Run("cost", func(t *testing.T) {
		quo := wick.Quota{ByTokens: true, PlainTokens: 200}
		assertWithin(t, "model request", Cost(quo, wick.Ask{InputTokens: 10, OutputTokens: 5}), 15, 15)
		assertWithin(t, "plain request", Cost(quo, wick.Ask{}), 200, 200)
		assertWithin(t, "quota of requests", Cost(wick.Quota{}, wick.Ask{InputTokens: 10}), 1, 1)
	})
}
