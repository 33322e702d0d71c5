package stream

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// bytesPerToken estimates prompt tokens before an engine has counted them.
	bytesPerToken = 4
	// maxAttempts bounds failed attempts; attempts that a leaving endpoint
	// rejected and migrations are not counted.
	maxAttempts = 8
	// newPickTimeout and resumePickTimeout bound the wait for an endpoint
	// before and after the first token or failure. Started work is worth a
	// longer wait.
	newPickTimeout    = 10 * time.Second
	resumePickTimeout = 30 * time.Second
	// versionPinTimeout is how long a continuation waits for an endpoint with
	// the same model version.
	versionPinTimeout = time.Second
	repickInterval    = 100 * time.Millisecond
	backoffBase       = 20 * time.Millisecond
	backoffMax        = time.Second
	// exportTimeout bounds a KV export. Without a remaining notice above
	// minExportNotice the export is skipped and the next endpoint starts a
	// prefill at once.
	exportTimeout   = time.Second
	minExportNotice = 3 * time.Second
	cancelTimeout   = time.Second
	// maxRunTime bounds requests without a deadline.
	maxRunTime = time.Hour
)

// start runs a request that this entry owns from now on.
func (tab *Table) start(req *Request, release func(wick.Outcome), handle wick.KVHandle) bool {
	deadline := req.Head.Deadline()
	if deadline.IsZero() {
		deadline = tab.now().Add(maxRunTime)
	}
	ctx, cancel := context.WithDeadline(tab.ctx, deadline)
	req.mu.Lock()
	err := req.fire(trgStart)
	if err == nil {
		req.owned, req.stop, req.idleSince = true, cancel, tab.now()
		req.epoch++
	}
	epoch := req.epoch
	req.mu.Unlock()
	if err != nil {
		cancel()
		if release != nil {
			release(wick.Outcome{Cancelled: true})
		}
		return false
	}
	run := &runner{tab: tab, req: req, handle: handle, epoch: epoch}
	if !tab.spawn(func() {
		defer cancel()
		if release == nil {
			release = run.admit(ctx)
		}
		if release != nil {
			run.loop(ctx)
			release(run.out)
		}
	}) {
		cancel()
		if release != nil {
			release(wick.Outcome{Cancelled: true})
		}
		req.abort(epoch, wick.ErrStopped)
		return false
	}
	return true
}

// A runner executes the attempts of one request on this entry, one after
// another.
type runner struct {
	tab     *Table
	req     *Request
	exclude []wick.VMID
	// version is the model version of the tokens so far, or "".
	version  wick.ModelVersion
	handle   wick.KVHandle
	epoch    int
	out      wick.Outcome
	failures int
}

// admit waits until an already accepted request is admitted. It returns the
// release function, or nil if the request was aborted.
func (run *runner) admit(ctx context.Context) func(wick.Outcome) {
	for num := 0; ; num++ {
		release, err := run.tab.cfg.Admitter.Admit(ctx, run.tab.admitQuery(&run.req.Head, true))
		if err == nil {
			return release
		}
		if !retry.Sleep(ctx, retry.Backoff(num, backoffBase, backoffMax)) {
			run.abortWithCause(ctx, err)
			return nil
		}
	}
}

// abortWithCause aborts the request with the reason why its context ended, or
// with err if the context is still active.
func (run *runner) abortWithCause(ctx context.Context, err error) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		err = wick.ErrDeadline
	case ctx.Err() != nil && run.tab.ctx.Err() != nil:
		err = wick.ErrStopped
	case ctx.Err() != nil:
		err = ErrCancelled
	}
	run.out = wick.Outcome{Err: err, Cancelled: ctx.Err() != nil}
	run.req.abort(run.epoch, err)
}

func (run *runner) loop(ctx context.Context) {
	asg, err := run.pick(ctx)
	for err == nil {
		var next *wick.Assignment
		next, err = run.attempt(ctx, asg)
		if err == nil && next == nil {
			run.tab.bud.Success()
			return
		}
		if next != nil {
			asg, err = *next, nil
			continue
		}
		if errors.Is(err, errStale) || ctx.Err() != nil {
			break
		}
		run.exclude = append(run.exclude, asg.VM.ID)
		if err = run.awaitRetry(ctx, err); err == nil {
			asg, err = run.pick(ctx)
		}
	}
	run.abortWithCause(ctx, err)
}

// awaitRetry returns nil once another attempt may start after a failed one. An
// accepted request waits for the retry budget instead of failing at once.
func (run *runner) awaitRetry(ctx context.Context, err error) error {
	if errors.Is(err, wick.ErrLeaving) {
		return nil
	}
	run.failures++
	logrus.WithError(err).WithField("request", run.req.Head.ID).Debug("stream: attempt failed")
	for num := range maxAttempts {
		if run.failures >= maxAttempts {
			return err
		}
		if run.tab.bud.Take() {
			return nil
		}
		if !retry.Sleep(ctx, retry.Backoff(num, backoffBase, backoffMax)) {
			return err
		}
	}
	return err
}

func (run *runner) query() wick.RouteQuery {
	hea := &run.req.Head
	input := hea.Prompt.Input()
	return wick.RouteQuery{
		Service: hea.Service, Customer: hea.Customer, Request: hea.ID, Route: hea.Route,
		Input: input, InputTokens: wick.Tokens(len(input) / bytesPerToken),
		MaxTokens: hea.MaxTokens, Exclude: run.exclude, Version: run.version,
		Deadline: hea.Deadline(), Now: run.tab.now(),
	}
}

// pick waits for an endpoint. If there is none, it drops the exclusions and
// later the version, since an answer of mixed versions is better than none.
func (run *runner) pick(ctx context.Context) (wick.Assignment, error) {
	started := run.tab.now()
	for num := 0; ; num++ {
		asg, err := run.tryPick(run.tab.now().Sub(started) >= versionPinTimeout)
		if err == nil {
			return asg, nil
		}
		timeout := newPickTimeout
		if run.failures > 0 || run.version != "" {
			timeout = resumePickTimeout
		}
		if errors.Is(err, wick.ErrDeadline) || run.tab.now().Sub(started) >= timeout {
			return asg, err
		}
		if !retry.Sleep(ctx, retry.Backoff(num, backoffBase, backoffMax)) {
			return asg, err
		}
	}
}

// tryPick requests an endpoint once, and once more with relaxed constraints if
// there is none.
func (run *runner) tryPick(anyVersion bool) (wick.Assignment, error) {
	query := run.query()
	asg, err := run.tab.cfg.Router.Pick(query)
	if err == nil || errors.Is(err, wick.ErrDeadline) {
		return asg, err
	}
	query.Exclude = nil
	if anyVersion || errors.Is(err, wick.ErrNotFound) {
		query.Version = ""
	}
	return run.tab.cfg.Router.Pick(query)
}

type result struct {
	gen   wick.Generated
	err   error
	phase phase
	out   wick.Outcome
}

// attempt runs one attempt. It returns the next assignment when the request had
// to leave the endpoint.
func (run *runner) attempt(ctx context.Context, asg wick.Assignment) (*wick.Assignment, error) {
	att := wick.NewAttemptID()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, 1)
	gen := wick.Generation{
		Attempt: att, Service: run.req.Head.Service, Version: asg.Version,
		Prompt: run.req.Head.Prompt, MaxTokens: run.req.Head.MaxTokens,
		Priority: run.req.Head.Priority, Continue: run.req.begin(run.epoch, att, asg.VM), Import: run.handle,
	}
	run.handle = ""
	run.tab.wg.Go(func() { results <- run.generate(ctx, asg, gen) })
	moving := run.tab.cfg.Router.Evacuation(asg.VM.ID)
	var repick <-chan time.Time
	for {
		select {
		case res := <-results:
			return nil, run.settle(asg, att, res)
		case <-moving:
			moving, repick = nil, time.After(0)
		case <-repick:
			next := run.pickNext(asg)
			if next == nil {
				repick = time.After(repickInterval)
				continue
			}
			run.exportKV(ctx, asg.VM, att)
			return run.migrate(asg, att, next, results)
		case <-ctx.Done():
			run.cancelAttempt(asg.VM, att)
			return nil, ctx.Err()
		}
	}
}

// generate calls the engine and reports the outcome to the router.
func (run *runner) generate(ctx context.Context, asg wick.Assignment, gen wick.Generation) result {
	started := run.tab.now()
	// A late event may arrive while the outcome is read.
	var first, num atomic.Int64
	res := result{}
	res.gen, res.err = run.tab.cfg.Engine.Generate(ctx, asg.VM, gen, func(tok wick.Token) error {
		if num.Add(1) == 1 {
			first.Store(int64(run.tab.now().Sub(started)))
		}
		return run.req.accept(gen.Attempt, tok)
	})
	run.req.markAttemptEnded(gen.Attempt)
	out := wick.Outcome{
		Err: res.err, FirstToken: time.Duration(first.Load()), Cancelled: res.err != nil && (ctx.Err() != nil || errors.Is(res.err, errStale)),
		CachedTokens: res.gen.CachedTokens, PromptTokens: res.gen.PromptTokens,
	}
	if cnt := num.Load(); cnt > 1 {
		out.BetweenTokens = (run.tab.now().Sub(started) - time.Duration(first.Load())) / time.Duration(cnt-1)
	}
	asg.Done(out)
	res.out = out
	res.phase = run.tab.phaseOf(asg.VM, res.err, num.Load() > 0)
	return res
}

func (tab *Table) trustsRejections(vm wick.VM) bool {
	return tab.cfg.TrustsRejections == nil || tab.cfg.TrustsRejections(vm)
}

// settle applies the result of an attempt to the request.
func (run *runner) settle(asg wick.Assignment, att wick.AttemptID, res result) error {
	run.out = res.out
	if res.phase == phaseMaybeRan && run.req.count() > 0 {
		run.version = asg.Version
	}
	return run.req.settle(att, res.gen, res.err, res.phase)
}

func (req *Request) count() int {
	req.mu.Lock()
	defer req.mu.Unlock()
	return len(req.texts)
}

// pickNext picks the next endpoint before the current attempt is cancelled, so
// that the attempt continues while there is no other capacity.
func (run *runner) pickNext(asg wick.Assignment) *wick.Assignment {
	run.exclude = append(run.exclude, asg.VM.ID)
	if run.req.count() > 0 {
		run.version = asg.Version
	}
	next, err := run.tab.cfg.Router.Pick(run.query())
	if err != nil {
		query := run.query()
		query.Exclude, query.Version = []wick.VMID{asg.VM.ID}, ""
		if next, err = run.tab.cfg.Router.Pick(query); err != nil {
			return nil
		}
	}
	return &next
}

// exportKV exports the KV cache of the attempt if the notice leaves time for
// it.
func (run *runner) exportKV(ctx context.Context, vm wick.VM, att wick.AttemptID) {
	notice := exportTimeout
	if !vm.ReclaimAt.IsZero() {
		notice = vm.ReclaimAt.Sub(run.tab.now()) - minExportNotice
	}
	if notice <= 0 || run.req.count() == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(notice, exportTimeout))
	defer cancel()
	if handle, err := run.tab.cfg.Engine.Export(ctx, vm, att); err == nil {
		run.handle = handle
	}
}

// migrate cancels the attempt in favor of the next assignment, unless the
// attempt has ended.
func (run *runner) migrate(
	asg wick.Assignment, att wick.AttemptID, next *wick.Assignment, results <-chan result,
) (*wick.Assignment, error) {
	select {
	case res := <-results:
		err := run.settle(asg, att, res)
		if err == nil || errors.Is(err, errStale) {
			next.Done(wick.Outcome{Cancelled: true})
			return nil, err
		}
	default:
		run.cancelAttempt(asg.VM, att)
	}
	metrics.GetOrRegisterCounter("stream.moved", nil).Inc(1)
	return next, nil
}

// cancelAttempt makes the attempt stale and cancels it at the endpoint.
func (run *runner) cancelAttempt(vm wick.VM, att wick.AttemptID) {
	run.req.detachAttempt(att)
	run.tab.wg.Go(func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(run.tab.ctx), cancelTimeout)
		defer cancel()
		if err := run.tab.cfg.Engine.Cancel(ctx, vm, att); err != nil {
			logrus.WithError(err).Debug("stream: cannot cancel the attempt at the endpoint")
		}
	})
}

// cancel ends a running request that has no reader.
func (req *Request) cancel() {
	req.mu.Lock()
	epoch, stop := req.epoch, req.stop
	req.mu.Unlock()
	req.abort(epoch, eris.Wrap(ErrCancelled, "stream"))
	if stop != nil {
		stop()
	}
}
