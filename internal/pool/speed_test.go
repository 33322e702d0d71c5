package pool

import (
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/pace"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestSpeed guards against endpoints that are chosen as if all took the same time, and
// against streams whose pace is lost on the way to the other entries.
func TestSpeed(t *testing.T) {
	const endpoints, fast = 8, 3
	from, to := New("a"), New("a")
	for num := range endpoints {
		from.Set(backend(num, "a"), start)
		to.Set(backend(num, "a"), start)
	}
	for num := range endpoints {
		var others []wick.VMID
		for oth := range endpoints {
			if oth != num {
				others = append(others, backend(oth, "a").ID)
			}
		}
		took := 900 * time.Millisecond
		if num == fast {
			took = 400 * time.Millisecond
		}
		for range 5 {
			asg := pick(t, from, Query{Service: service, Model: true, Exclude: others, Now: start})
			asg.Streamed(Stream{Events: 31, Took: took})
			asg.Done(ResultAnswered, start)
		}
	}
	to.AddPaces(from.TakePaces(), start)
	if again := from.TakePaces(); len(again) != 0 {
		t.Errorf("%d endpoints are sampled twice", len(again))
	}
	for num := range endpoints {
		to.Report(backend(num, "a").ID, Report{At: start, Load: wick.BackendLoad{Running: 2}})
	}
	asg := pick(t, to, Query{Service: service, Model: true, InputTokens: 2000, Now: start})
	assertPicked(t, asg, backend(fast, "a").ID)
	to.groups[service].eps[backend(fast, "a").ID].setPace(pace.Estimate{})
	asg = pick(t, to, Query{Service: service, Model: true, InputTokens: 2000, Now: start})
	assertPicked(t, asg, backend(0, "a").ID)
}
