package limit

import (
	"testing"
	"testing/synctest"

	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestRefusalBeforeTarget guards against queueing requests for longer than the
// latency target of the first token, since their responses would be late. The
// refusal must be ErrBusy, so that clients retry: with ErrDeadline they stopped
// repeating requests whose idempotency key was already recorded. Accepted work is
// queued regardless.
func TestRefusalBeforeTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lim := New()
		lim.SetBundle(&bundle.Bundle{Services: []bundle.Service{{
			Name: svcQuote, Targets: bundle.Targets{FirstTokenMillis: 700},
		}}})
		gat := lim.gate(svcQuote)
		gat.limit = 1
		query := wick.AdmitQuery{Service: svcQuote, Customer: "one"}
		// The first request runs, and the second waits for about 500 ms.
		for range 2 {
			if _, err := lim.Enqueue(query); err != nil {
				t.Fatal(err)
			}
		}
		_, err := lim.Enqueue(query)
		assertRefused(t, err, wick.ErrBusy)
		query.Accepted = true
		for range 5 {
			if _, err := lim.Enqueue(query); err != nil {
				t.Error(err)
			}
		}
	})
}
