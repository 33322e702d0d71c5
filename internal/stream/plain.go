package stream

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// plainTimeout bounds a plain call without a deadline, and every
	// non-idempotent call once it was sent.
	plainTimeout = 60 * time.Second
	// maxPlainAttempts bounds the attempts of one plain call.
	maxPlainAttempts = 3
	// maxClaimWait bounds the wait for a claim that another attempt owns.
	maxClaimWait = 5 * time.Second
	// recordTimeout bounds how long a reply is delayed until its outcome is
	// recorded, recordRetryTimeout how long recording is retried after that.
	recordTimeout      = time.Second
	recordRetryTimeout = 30 * time.Second
)

// A PlainQuery is a call of a plain service.
type PlainQuery struct {
	Customer wick.Customer
	Service  wick.Service
	// Route is the path prefix of the call; canary statistics are grouped by
	// route.
	Route   string
	Method  string
	Path    string
	Headers []wick.Header
	Body    []byte
	// Key is the caller's idempotency key, or "".
	Key        wick.IdempotencyKey
	Idempotent bool
	// Deduplicates is set when the endpoints of the service deduplicate by key.
	Deduplicates bool
	Priority     wick.Priority
	Deadline     time.Time
}

// fingerprint identifies the content of the call.
func (que *PlainQuery) fingerprint() wick.Fingerprint {
	sum := sha256.New()
	for _, part := range []string{string(que.Service), que.Method, que.Path} {
		_, _ = sum.Write([]byte(part)) // never fails
		_, _ = sum.Write([]byte{0})
	}
	_, _ = sum.Write(que.Body)
	return wick.Fingerprint(hex.EncodeToString(sum.Sum(nil)))
}

// A PlainAnswer is the reply to a plain call.
type PlainAnswer struct {
	Reply wick.PlainReply
	// Replayed is set when the reply was recorded for an earlier call with the
	// same key.
	Replayed bool
}

// Call sends a plain call. An error is a *FailError or the error of ctx. A
// non-idempotent call that was sent continues after the end of ctx.
func (tab *Table) Call(ctx context.Context, que PlainQuery) (PlainAnswer, error) {
	if tab.rejectsNewWork() {
		return PlainAnswer{}, refusal(wick.ErrLeaving)
	}
	size := int64(len(que.Body)) + requestOverhead
	done := func() {
		tab.calls.Add(-1)
		tab.bytes.Add(-size)
	}
	bytes, calls := tab.bytes.Add(size), tab.calls.Add(1)
	if bytes > tab.cfg.MaxBytes || calls > tab.cfg.MaxRequests {
		done()
		return PlainAnswer{}, refusal(eris.Wrap(wick.ErrBusy, "stream: table is full"))
	}
	release, err := tab.admit(ctx, wick.AdmitQuery{
		Service: que.Service, Customer: que.Customer, Priority: que.Priority, Cost: 1, Deadline: que.Deadline,
	})
	if err != nil {
		done()
		return PlainAnswer{}, refusal(err)
	}
	cal := &call{tab: tab, que: que, caller: ctx}
	type answer struct {
		ans PlainAnswer
		err error
	}
	answers := make(chan answer, 1)
	if !tab.spawn(func() {
		defer done()
		ans, err := cal.run()
		cal.mu.Lock()
		out := cal.out
		cal.mu.Unlock()
		release(out)
		answers <- answer{ans, err}
		cal.finishRecord()
	}) {
		done()
		release(wick.Outcome{Cancelled: true})
		return PlainAnswer{}, refusal(wick.ErrStopped)
	}
	select {
	case got := <-answers:
		return got.ans, got.err
	case <-ctx.Done():
		return PlainAnswer{}, ctx.Err()
	}
}

// A call is the state of one plain call in progress.
type call struct {
	tab *Table
	que PlainQuery
	// caller is the caller's context.
	caller context.Context //nolint:containedctx // the call may outlive it by design
	// mu guards the fields up to out, since hedged attempts run concurrently.
	mu       sync.Mutex
	attempts attempts
	exclude  []wick.VMID
	out      wick.Outcome
	// record is set while the outcome of a claim is not recorded yet.
	record func(ctx context.Context) error
}

func (cal *call) run() (PlainAnswer, error) {
	ctx, cancel := context.WithTimeout(cal.caller, plainTimeout)
	defer cancel()
	if !cal.que.Deadline.IsZero() {
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, cal.que.Deadline)
		defer stop()
	}
	switch {
	case cal.que.Idempotent:
		return cal.runIdempotent(ctx)
	case cal.que.Key == "":
		return cal.runOnce(ctx, wick.NewAttemptID())
	}
	return cal.runClaimed(ctx)
}

// fail returns the failure of the call after its attempts.
func (cal *call) fail(ctx context.Context, err error) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		err = wick.ErrDeadline
	}
	cal.mu.Lock()
	defer cal.mu.Unlock()
	return cal.attempts.failure(cal.tab.chk, err)
}

func (cal *call) mayHaveRun() bool {
	cal.mu.Lock()
	defer cal.mu.Unlock()
	return cal.attempts.maybeRan > 0
}

// runIdempotent retries the call until it succeeds, within the retry budget.
func (cal *call) runIdempotent(ctx context.Context) (PlainAnswer, error) {
	var err error
	for num := range maxPlainAttempts {
		var rep wick.PlainReply
		if rep, err = cal.runHedged(ctx); err == nil {
			cal.tab.bud.Success()
			return PlainAnswer{Reply: rep}, nil
		}
		if ctx.Err() != nil || num == maxPlainAttempts-1 {
			break
		}
		if !errors.Is(err, wick.ErrLeaving) && !cal.tab.bud.Take() {
			break
		}
		if !retry.Sleep(ctx, retry.Backoff(num, backoffBase, backoffMax)) {
			break
		}
	}
	return PlainAnswer{}, cal.fail(ctx, err)
}

// runHedged sends the call, and a hedge if hedging is on and the first attempt
// is slow.
func (cal *call) runHedged(ctx context.Context) (wick.PlainReply, error) {
	type hedgeResult struct {
		asg wick.Assignment
		rep wick.PlainReply
		err error
	}
	var slots [2]hedgeResult
	hed := retry.Hedge{After: cal.tab.cfg.HedgeAfter, Budget: cal.tab.bud}
	results := make(chan int, 2)
	winner, err := hed.Do(ctx, func(ctx context.Context, num int) error {
		// Each slot is written before its number is sent to results.
		defer func() { results <- num }()
		slot := &slots[num]
		if slot.asg, slot.err = cal.pick(ctx); slot.err == nil {
			slot.rep, slot.err = cal.send(ctx, slot.asg, wick.NewAttemptID())
		}
		return slot.err
	})
	for num := range results {
		if num == winner {
			break
		}
	}
	return slots[winner].rep, err
}

// runOnce executes the call at most once. An attempt that provably did not run
// is retried on another endpoint.
func (cal *call) runOnce(ctx context.Context, att wick.AttemptID) (PlainAnswer, error) {
	var err error
	for range maxPlainAttempts {
		var asg wick.Assignment
		if asg, err = cal.pick(ctx); err != nil {
			break
		}
		if err = ctx.Err(); err != nil {
			asg.Done(wick.Outcome{Cancelled: true})
			break
		}
		// A non-idempotent call is not cancelled once it was sent.
		sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), plainTimeout)
		var rep wick.PlainReply
		rep, err = cal.send(sendCtx, asg, att)
		cancel()
		if err == nil {
			return PlainAnswer{Reply: rep}, nil
		}
		if cal.mayHaveRun() {
			err = eris.Wrapf(wick.ErrUnknownOutcome, "stream: %v", err)
			break
		}
	}
	return PlainAnswer{}, cal.fail(ctx, err)
}

// runClaimed sends the call under a claim of its idempotency key.
func (cal *call) runClaimed(ctx context.Context) (PlainAnswer, error) {
	claim := wick.ClaimQuery{
		Service: cal.que.Service, Customer: cal.que.Customer, Key: cal.que.Key,
		Fingerprint: cal.que.fingerprint(), Attempt: wick.NewAttemptID(), Deduplicates: cal.que.Deduplicates,
	}
	res, err := cal.claim(ctx, claim)
	switch {
	case err != nil && cal.que.Deduplicates && errors.Is(err, wick.ErrUnavailable):
		// The endpoint deduplicates by key, so the call cannot run twice.
		return cal.runOnce(ctx, claim.Attempt)
	case err != nil:
		return PlainAnswer{}, refusal(err)
	}
	switch res.State {
	case wick.ClaimDone:
		metrics.GetOrRegisterCounter("stream.replayed", nil).Inc(1)
		return PlainAnswer{Reply: res.Reply, Replayed: true}, nil
	case wick.ClaimUnknown:
		return PlainAnswer{}, &FailError{Err: wick.ErrUnknownOutcome, Executed: ExecutedUnknown}
	case wick.ClaimRunning:
		return PlainAnswer{}, &FailError{Err: ErrClaimRunning, Executed: ExecutedUnknown, RetryAfter: time.Second}
	case wick.ClaimGranted:
		ans, err := cal.runOnce(ctx, claim.Attempt)
		cal.recordOutcome(claim, ans, err)
		return ans, err
	}
	return PlainAnswer{}, refusal(eris.Wrapf(wick.ErrUnavailable, "stream: unknown claim state %q", res.State))
}

// claim requests the claim and polls while another attempt owns it.
func (cal *call) claim(ctx context.Context, claim wick.ClaimQuery) (wick.ClaimResult, error) {
	started := cal.tab.now()
	for num := 0; ; num++ {
		res, err := cal.tab.cfg.Ledger.Claim(ctx, claim)
		if err != nil || res.State != wick.ClaimRunning {
			return res, err
		}
		if cal.tab.now().Sub(started) >= maxClaimWait || !retry.Sleep(ctx, retry.Backoff(num, backoffBase, backoffMax)) {
			return res, nil
		}
	}
}

// recordOutcome records how the claimed call ended. It delays the reply by at
// most recordTimeout; finishRecord continues after that.
func (cal *call) recordOutcome(claim wick.ClaimQuery, ans PlainAnswer, err error) {
	out := wick.ClaimOutcome{State: wick.OutcomeDone, Reply: ans.Reply}
	if err != nil {
		out = wick.ClaimOutcome{State: wick.OutcomeUnknown}
		if !cal.mayHaveRun() {
			out.State = wick.OutcomeNotExecuted
		}
	}
	cal.record = func(ctx context.Context) error { return cal.tab.cfg.Ledger.Record(ctx, claim, out) }
	cal.recordWithRetry(recordTimeout)
}

func (cal *call) recordWithRetry(limit time.Duration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(cal.caller), limit)
	defer cancel()
	for num := 0; ; num++ {
		err := cal.record(ctx)
		if err == nil {
			cal.record = nil
			return
		}
		if !retry.Sleep(ctx, retry.Backoff(num, backoffBase, backoffMax)) {
			logrus.WithError(err).Warn("stream: outcome of a claim not recorded yet")
			return
		}
	}
}

// finishRecord retries a record that recordOutcome could not complete.
func (cal *call) finishRecord() {
	if cal.record != nil {
		cal.recordWithRetry(recordRetryTimeout)
	}
}

// pick waits for an endpoint, first for one that has not failed this call.
func (cal *call) pick(ctx context.Context) (wick.Assignment, error) {
	for num := 0; ; num++ {
		cal.mu.Lock()
		exclude := slices.Clone(cal.exclude)
		cal.mu.Unlock()
		if num > 0 {
			exclude = nil
		}
		asg, err := cal.tab.cfg.Router.Pick(wick.RouteQuery{
			Service: cal.que.Service, Customer: cal.que.Customer, Route: cal.que.Route,
			Exclude: exclude, Deadline: cal.que.Deadline, Now: cal.tab.now(),
		})
		if err == nil || num >= maxPlainAttempts || errors.Is(err, wick.ErrDeadline) {
			return asg, err
		}
		if !retry.Sleep(ctx, retry.Backoff(num, backoffBase, backoffMax)) {
			return asg, err
		}
	}
}

// send runs one attempt.
func (cal *call) send(ctx context.Context, asg wick.Assignment, att wick.AttemptID) (wick.PlainReply, error) {
	cal.tab.chk.Check(cal.que.Idempotent || !cal.mayHaveRun(), invar.AtMostOnce,
		"a second attempt of a call that is not idempotent: %s %s", cal.que.Method, cal.que.Path)
	cal.mu.Lock()
	cal.attempts.begin()
	cal.mu.Unlock()
	started := cal.tab.now()
	rep, err := cal.tab.cfg.Plain.Call(ctx, asg.VM, wick.PlainCall{
		Attempt: att, Key: endpointKey(cal.que.Customer, cal.que.Key), Method: cal.que.Method, Path: cal.que.Path,
		Headers: cal.que.Headers, Body: cal.que.Body,
	})
	out := wick.Outcome{Err: err, FirstToken: cal.tab.now().Sub(started), Cancelled: err != nil && ctx.Err() != nil}
	asg.Done(out)
	cal.mu.Lock()
	defer cal.mu.Unlock()
	cal.out = out
	if err != nil {
		cal.attempts.settle(cal.tab.phaseOf(asg.VM, err, false))
		cal.exclude = append(cal.exclude, asg.VM.ID)
	}
	return rep, err
}

// endpointKey returns the idempotency key for the endpoint. It includes the
// customer: two customers may choose the same key, and an endpoint that
// deduplicates by key would return the reply of one to the other.
func endpointKey(cus wick.Customer, key wick.IdempotencyKey) wick.IdempotencyKey {
	if key == "" {
		return ""
	}
	return wick.IdempotencyKey(cus) + "/" + key
}
