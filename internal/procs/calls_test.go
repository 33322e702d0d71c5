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

// callTimeout is the deadline of a call, reconnections included.
const callTimeout = 25 * time.Second

// A fate is the outcome of a booking as reported to its caller.
type fate string

const (
	ran         fate = "ran"
	notExecuted fate = "not executed"
	unknown     fate = "unknown"
)

// A tally collects the outcomes that were reported to callers.
type tally struct {
	mu sync.Mutex
	// streams and lookups count calls that were answered completely.
	streams    int
	lookups    int
	reconnects int
	// faults describes retryable calls that failed or got a wrong answer.
	faults []string
	// bookings holds the reported fate by idempotency key, errors the error of the
	// call, nil if there was none.
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

// stream sends a model call and compares its answer with that of an
// uninterrupted engine.
func (tal *tally) stream(ctx context.Context, cli *client.Client, prompt string, limit wick.Tokens) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// lookup sends an idempotent call to a plain service.
func (tal *tally) lookup(ctx context.Context, cli *client.Client) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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

// book sends a booking with an idempotency key.
func (tal *tally) book(ctx context.Context, cli *client.Client, key string, retry bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rep, err := cli.Do(ctx, client.Call{
		Service: "orders", Method: "POST", Path: "/book", Key: wick.IdempotencyKey(key), Body: []byte(`{"pallets":3}`), Retry: retry,
	})
	reported := unknown
	switch {
	case err == nil && rep.Status == 200:
		reported = ran
	case errors.Is(err, wick.ErrNotExecuted):
		reported = notExecuted
	}
	tal.mu.Lock()
	defer tal.mu.Unlock()
	tal.bookings[key], tal.errors[key] = reported, err
}

// load sends streams, bookings and lookups in turn until ctx ends, and waits
// until all of them have finished.
func (tal *tally) load(ctx context.Context, cli *client.Client, name string, interval time.Duration) {
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
		time.Sleep(interval)
	}
}

// count returns the number of bookings with a reported fate.
func (tal *tally) count(reported fate) int {
	num := 0
	for _, got := range tal.bookings {
		if got == reported {
			num++
		}
	}
	return num
}

// check verifies that no retryable call failed or got a wrong answer, that no
// key was executed twice, and that the reported fates agree with the executions.
func (tal *tally) check(t *testing.T, wld *world) {
	t.Helper()
	for _, text := range tal.faults {
		t.Error(text)
	}
	runs := wld.executions()
	for key, reported := range tal.bookings {
		switch num := runs[key]; {
		case num > 1:
			t.Errorf("booking %s was executed %d times", key, num)
		case reported == ran && num != 1:
			t.Errorf("booking %s was reported as done but was executed %d times", key, num)
		case reported == notExecuted && num != 0:
			t.Errorf("booking %s was reported as not executed but was executed: %v", key, tal.errors[key])
		}
	}
	t.Logf("streams %d (%d reconnections), lookups %d, bookings done %d, not executed %d, unknown %d",
		tal.streams, tal.reconnects, tal.lookups, tal.count(ran), tal.count(notExecuted), tal.count(unknown))
}

// checkAllExecuted verifies that every booking was reported as executed, so that
// no caller has to retry.
func (tal *tally) checkAllExecuted(t *testing.T) {
	t.Helper()
	for key, reported := range tal.bookings {
		if reported != ran {
			t.Errorf("booking %s: %s: %v", key, reported, tal.errors[key])
		}
	}
}
