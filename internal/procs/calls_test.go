package procs

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/client"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// callLimit bounds each call, reconnections included.
const callLimit = 25 * time.Second

// A fate is what a caller was told about a booking.
type fate string

const (
	ran     fate = "ran"
	notRun  fate = "not executed"
	unknown fate = "unknown"
)

// A tally collects what callers were told.
type tally struct {
	mu sync.Mutex
	// streams and lookups count calls that were answered completely.
	streams    int
	lookups    int
	reconnects int
	// faults describes calls that may repeat and failed, or got a wrong answer.
	faults []string
	// bookings holds the fate of each key, errors the error if there was one.
	bookings map[string]fate
	errors   map[string]error
}

func newTally() *tally {
	return &tally{bookings: make(map[string]fate), errors: make(map[string]error)}
}

func (tal *tally) faultf(format string, args ...any) {
	tal.mu.Lock()
	defer tal.mu.Unlock()
	tal.faults = append(tal.faults, fmt.Sprintf(format, args...))
}

// stream sends a model call and compares the answer with the one that an
// uninterrupted engine gives.
func (tal *tally) stream(ctx context.Context, cli *client.Client, prompt string, limit wick.Tokens) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	ans, err := cli.Complete(ctx, client.Completion{Model: "quotes", Prompt: prompt, MaxTokens: limit}, nil)
	if err != nil {
		tal.faultf("stream %q: %v after %d tokens and %d reconnections", prompt, err, ans.Tokens, ans.Reconnects)
		return
	}
	want := strings.Join((&fake.Engine{}).Answer(wick.Prompt{Text: prompt}, limit), "")
	if ans.Text != want {
		tal.faultf("stream %q, %d reconnections: got %q, want %q", prompt, ans.Reconnects, ans.Text, want)
	}
	tal.mu.Lock()
	defer tal.mu.Unlock()
	tal.streams++
	tal.reconnects += ans.Reconnects
}

// lookup sends an idempotent call of a plain service.
func (tal *tally) lookup(ctx context.Context, cli *client.Client) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	rep, err := cli.Do(ctx, client.Call{Service: "orders", Method: "GET", Path: "/stock", Retry: true})
	if err != nil || rep.Status != 200 {
		tal.faultf("lookup: status %d, %v", rep.Status, err)
		return
	}
	tal.mu.Lock()
	defer tal.mu.Unlock()
	tal.lookups++
}

// book sends a booking with a key.
func (tal *tally) book(ctx context.Context, cli *client.Client, key string, retry bool) {
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	rep, err := cli.Do(ctx, client.Call{
		Service: "orders", Method: "POST", Path: "/book", Key: wick.IdempotencyKey(key), Body: []byte(`{"pallets":3}`), Retry: retry,
	})
	told := unknown
	switch {
	case err == nil && rep.Status == 200:
		told = ran
	case errors.Is(err, wick.ErrNotExecuted):
		told = notRun
	}
	tal.mu.Lock()
	defer tal.mu.Unlock()
	tal.bookings[key], tal.errors[key] = told, err
}

// load sends streams, bookings and lookups in turn until ctx ends, and waits
// for their ends.
func (tal *tally) load(ctx context.Context, cli *client.Client, name string, every time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	calls := context.WithoutCancel(ctx)
	for num := 0; ctx.Err() == nil; num++ {
		wg.Go(func() {
			switch num % 3 {
			case 0:
				tal.stream(calls, cli, fmt.Sprintf("%s-%d", name, num), 120)
			case 1:
				tal.book(calls, cli, fmt.Sprintf("%s-%d", name, num), true)
			default:
				tal.lookup(calls, cli)
			}
		})
		time.Sleep(every)
	}
}

// count returns the number of bookings of a fate.
func (tal *tally) count(told fate) int {
	num := 0
	for _, got := range tal.bookings {
		if got == told {
			num++
		}
	}
	return num
}

// check guards against broken or wrong answers of calls that may repeat, keys
// that ran twice, and bookings whose caller was told something untrue.
func (tal *tally) check(t *testing.T, wld *world) {
	t.Helper()
	for _, text := range tal.faults {
		t.Error(text)
	}
	runs := wld.executions()
	for key, told := range tal.bookings {
		switch num := runs[key]; {
		case num > 1:
			t.Errorf("booking %s ran %d times", key, num)
		case told == ran && num != 1:
			t.Errorf("booking %s was reported as done and ran %d times", key, num)
		case told == notRun && num != 0:
			t.Errorf("booking %s was reported as not executed and ran: %v", key, tal.errors[key])
		}
	}
	t.Logf("streams %d (%d reconnections), lookups %d, bookings done %d, not executed %d, unknown %d",
		tal.streams, tal.reconnects, tal.lookups, tal.count(ran), tal.count(notRun), tal.count(unknown))
}

// checkAllRan guards against a booking that a caller has to do again.
func (tal *tally) checkAllRan(t *testing.T) {
	t.Helper()
	for key, told := range tal.bookings {
		if told != ran {
			t.Errorf("booking %s: %s: %v", key, told, tal.errors[key])
		}
	}
}
