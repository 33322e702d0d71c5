package bench

import (
	"errors"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Limits of attempts and of the wait for an endpoint, as in the stream package.
const (
	pickTimeout = 10 * time.Second
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
	maxAttempts = 8
)

// A job is the state of one request at its entry. It models stream.Table.
type job struct {
	*request
	ent    *entry
	place  place
	began  time.Time
	tokens wick.Tokens
	// base is the value of tokens at the start of the attempt.
	base    wick.Tokens
	first   time.Time
	last    time.Time
	exclude []wick.VMID
	failed  int
	asg     *wick.Assignment
	eng     *engine
	cll     *call
	sent    time.Time
	firstAt time.Time
	blocks  []uint64
	// pickStart is when the wait for an endpoint began, tries counts the failed
	// picks since then.
	pickStart time.Time
	tries     int
	done      bool
}

// arrive creates the job of a request, which reaches its entry after
// ClientDelay.
func (sim *simulation) arrive(req *request) {
	jb := &job{request: req, ent: sim.entries[req.entry], began: sim.now}
	sim.res.countOffered(jb)
	sim.after(sim.wkl.ClientDelay, jb.admit)
}

func (jb *job) admit() {
	sim := jb.ent.sim
	query := wick.AdmitQuery{
		Service: service, Customer: jb.customer, Cost: jb.inputTokens() + jb.answer,
		Deadline: jb.began.Add(jb.deadline),
	}
	plc, err := jb.ent.admit(query)
	if err != nil {
		sim.res.countRefused(jb, err)
		jb.done = true
		return
	}
	jb.place = plc
	jb.ent.waiting = append(jb.ent.waiting, jb)
	sim.after(jb.began.Add(jb.deadline).Sub(sim.now), jb.expire)
	jb.ent.startAdmitted()
}

func (jb *job) inputTokens() wick.Tokens { return wick.Tokens(len(jb.input) / bytesPerToken) }

// startAdmitted starts the requests that have been admitted and removes the
// rejected ones.
func (ent *entry) startAdmitted() {
	for idx := 0; idx < len(ent.waiting); {
		jb := ent.waiting[idx]
		select {
		case <-jb.place.Ready():
		default:
			idx++
			continue
		}
		ent.waiting = slices.Delete(ent.waiting, idx, idx+1)
		if err := jb.place.Err(); err != nil {
			jb.place.Abandon()
			ent.sim.res.countRefused(jb, err)
			jb.done = true
			continue
		}
		jb.pickStart = ent.sim.now
		jb.pick()
	}
}

// expire ends a request whose deadline has passed.
func (jb *job) expire() {
	if jb.done {
		return
	}
	if idx := slices.Index(jb.ent.waiting, jb); idx >= 0 {
		jb.ent.waiting = slices.Delete(jb.ent.waiting, idx, idx+1)
		jb.place.Abandon()
		jb.ent.sim.res.countRefused(jb, wick.ErrDeadline)
		jb.done = true
		jb.ent.startAdmitted()
		return
	}
	out := wick.Outcome{Err: wick.ErrDeadline, Cancelled: true}
	jb.stop(out)
	jb.finish(out)
}

// pick selects an endpoint. As in the stream package, it retries with backoff
// until pickTimeout.
func (jb *job) pick() {
	if jb.done {
		return
	}
	sim := jb.ent.sim
	query := wick.RouteQuery{
		Service: service, Customer: jb.customer, Route: "/" + jb.kind, Input: jb.input, InputTokens: jb.inputTokens(),
		MaxTokens: jb.answer, Exclude: jb.exclude, Deadline: jb.began.Add(jb.deadline), Now: sim.now,
	}
	asg, err := jb.ent.table.Pick(query)
	if err != nil && !errors.Is(err, wick.ErrDeadline) && len(jb.exclude) > 0 {
		query.Exclude = nil
		asg, err = jb.ent.table.Pick(query)
	}
	if err == nil {
		jb.tries = 0
		jb.send(&asg)
		return
	}
	waited := sim.now.Sub(jb.pickStart)
	if errors.Is(err, wick.ErrDeadline) || waited >= pickTimeout || sim.pol.Refuse && jb.failed == 0 && jb.tokens == 0 {
		jb.finish(wick.Outcome{Err: err})
		return
	}
	wait := min(backoffBase<<min(jb.tries, 6), backoffMax)
	jb.tries++
	sim.after(wait*3/4, jb.pick)
}

// send starts an attempt at the chosen endpoint.
func (jb *job) send(asg *wick.Assignment) {
	sim := jb.ent.sim
	eng := sim.byID[asg.VM.ID]
	if jb.blocks == nil {
		jb.blocks = wick.PrefixBlocks(jb.input)
	}
	cll := &call{
		version: asg.Version, tokens: jb.inputTokens() + jb.tokens, blocks: jb.blocks, next: jb.tokens, count: jb.answer,
	}
	if sim.rollout != nil {
		sim.rollout.injectFault(cll, jb)
	}
	delay := sim.delay(jb.ent.zone, asg.VM.Zone)
	cll.onToken = func() { sim.after(delay, func() { jb.token(cll) }) }
	cll.onEnd = func(err error) { sim.after(delay, func() { jb.attemptEnded(cll, err) }) }
	jb.asg, jb.eng, jb.cll, jb.sent, jb.firstAt = asg, eng, cll, sim.now, time.Time{}
	jb.base = jb.tokens
	jb.ent.running = append(jb.ent.running, jb)
	sim.after(delay, func() {
		if cll.ended || jb.cll != cll {
			return
		}
		if err := eng.start(cll); err != nil {
			cll.ended = true
			cll.onEnd(err)
		}
	})
}

// token handles a token of the running attempt.
func (jb *job) token(cll *call) {
	if jb.cll != cll {
		return
	}
	now := jb.ent.sim.now
	if jb.firstAt.IsZero() {
		jb.firstAt = now
	}
	if jb.tokens == 0 {
		jb.first = now
	}
	jb.tokens++
	jb.last = now
}

// stop cancels the running attempt and discards its result.
func (jb *job) stop(out wick.Outcome) {
	if jb.cll == nil {
		return
	}
	if cll, eng := jb.cll, jb.eng; slices.Contains(eng.calls, cll) {
		eng.cancel(cll)
	} else {
		cll.ended = true
	}
	jb.detach(out)
}

// detach reports the end of an attempt to the router.
func (jb *job) detach(out wick.Outcome) {
	jb.ent.running = slices.DeleteFunc(jb.ent.running, func(oth *job) bool { return oth == jb })
	asg := jb.asg
	jb.cll, jb.asg = nil, nil
	asg.Done(out)
}

// attemptEnded handles the end of an attempt and retries a failed one.
func (jb *job) attemptEnded(cll *call, err error) {
	if jb.cll != cll {
		return
	}
	sim := jb.ent.sim
	out := wick.Outcome{Err: err, CachedTokens: cll.cached, PromptTokens: jb.inputTokens()}
	if !jb.firstAt.IsZero() {
		out.FirstToken = jb.firstAt.Sub(jb.sent)
	}
	if num := jb.tokens - jb.base; num > 1 {
		out.BetweenTokens = jb.last.Sub(jb.firstAt) / time.Duration(num-1)
	}
	vid := jb.asg.VM.ID
	jb.detach(out)
	if err == nil {
		sim.res.cached += min(cll.cached, jb.inputTokens())
		jb.finish(out)
		return
	}
	jb.exclude = append(jb.exclude, vid)
	if !errors.Is(err, wick.ErrLeaving) {
		jb.failed++
	}
	if jb.failed >= maxAttempts {
		jb.finish(out)
		return
	}
	jb.pickStart = sim.now
	jb.pick()
}

// finish completes the request and releases its admission place.
func (jb *job) finish(out wick.Outcome) {
	if jb.done {
		return
	}
	jb.done = true
	jb.ent.sim.res.countFinished(jb, out)
	jb.place.Release(out)
	jb.ent.startAdmitted()
}

// migrate moves running requests off leaving endpoints if another endpoint is
// available.
func (ent *entry) migrate() {
	for _, jb := range slices.Clone(ent.running) {
		select {
		case <-ent.table.Evacuation(jb.asg.VM.ID):
		default:
			continue
		}
		query := wick.RouteQuery{
			Service: service, Customer: jb.customer, Input: jb.input, InputTokens: jb.inputTokens() + jb.tokens,
			MaxTokens: jb.answer, Exclude: []wick.VMID{jb.asg.VM.ID}, Now: ent.sim.now,
		}
		if asg, err := ent.table.Pick(query); err == nil {
			jb.stop(wick.Outcome{Err: wick.ErrLeaving, Cancelled: true})
			jb.send(&asg)
		}
	}
}
