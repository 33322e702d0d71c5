package bench

import (
	"errors"
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Bounds of stream's runner for attempts and the wait for an endpoint.
const (
	pickTimeout = 10 * time.Second
	backoffBase = 20 * time.Millisecond
	backoffMax  = time.Second
	maxAttempts = 8
)

// A job is one request at its entry, the part that stream.Table has in the
// product.
type job struct {
	*request
	ent    *entry
	place  place
	began  time.Time
	tokens wick.Tokens
	// base is tokens at the start of the attempt.
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
	// pickedAt is when the wait for an endpoint began, tries counts it.
	pickedAt time.Time
	tries    int
	done     bool
}

// arrive takes a request at its entry, a client's delay after it was sent.
func (wld *world) arrive(req *request) {
	jb := &job{request: req, ent: wld.entries[req.entry], began: wld.now}
	wld.res.offer(jb)
	wld.after(wld.wkl.ClientDelay, jb.admit)
}

func (jb *job) admit() {
	wld := jb.ent.wld
	query := wick.AdmitQuery{
		Service: service, Customer: jb.customer, Cost: jb.inputTokens() + jb.answer,
		Deadline: jb.began.Add(jb.deadline),
	}
	plc, err := jb.ent.admit(query)
	if err != nil {
		wld.res.refuse(jb, err)
		jb.done = true
		return
	}
	jb.place = plc
	jb.ent.waiting = append(jb.ent.waiting, jb)
	wld.after(jb.began.Add(jb.deadline).Sub(wld.now), jb.expire)
	jb.ent.pump()
}

func (jb *job) inputTokens() wick.Tokens { return wick.Tokens(len(jb.input) / bytesPerToken) }

// pump starts the requests that admission has let through.
func (ent *entry) pump() {
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
			ent.wld.res.refuse(jb, err)
			jb.done = true
			continue
		}
		jb.pickedAt = ent.wld.now
		jb.pick()
	}
}

// expire ends a request at its deadline.
func (jb *job) expire() {
	if jb.done {
		return
	}
	if idx := slices.Index(jb.ent.waiting, jb); idx >= 0 {
		jb.ent.waiting = slices.Delete(jb.ent.waiting, idx, idx+1)
		jb.place.Abandon()
		jb.ent.wld.res.refuse(jb, wick.ErrDeadline)
		jb.done = true
		jb.ent.pump()
		return
	}
	out := wick.Outcome{Err: wick.ErrDeadline, Cancelled: true}
	jb.stop(out)
	jb.finish(out)
}

// pick looks for an endpoint. As in stream, a request without one is held and
// tried again until its pick times out.
func (jb *job) pick() {
	if jb.done {
		return
	}
	wld := jb.ent.wld
	query := wick.RouteQuery{
		Service: service, Customer: jb.customer, Route: "/" + jb.kind, Input: jb.input, InputTokens: jb.inputTokens(),
		MaxTokens: jb.answer, Exclude: jb.exclude, Deadline: jb.began.Add(jb.deadline), Now: wld.now,
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
	held := wld.now.Sub(jb.pickedAt)
	if errors.Is(err, wick.ErrDeadline) || held >= pickTimeout || wld.pol.Refuse && jb.failed == 0 && jb.tokens == 0 {
		jb.finish(wick.Outcome{Err: err})
		return
	}
	wait := min(backoffBase<<min(jb.tries, 6), backoffMax)
	jb.tries++
	wld.after(wait*3/4, jb.pick)
}

// send starts an attempt at the chosen endpoint.
func (jb *job) send(asg *wick.Assignment) {
	wld := jb.ent.wld
	eng := wld.byID[asg.VM.ID]
	if jb.blocks == nil {
		jb.blocks = wick.PrefixBlocks(jb.input)
	}
	cll := &call{
		version: asg.Version, tokens: jb.inputTokens() + jb.tokens, blocks: jb.blocks, next: jb.tokens, count: jb.answer,
	}
	if wld.rollout != nil {
		wld.rollout.spoil(cll, jb)
	}
	delay := wld.delay(jb.ent.zone, asg.VM.Zone)
	cll.onToken = func() { wld.after(delay, func() { jb.token(cll) }) }
	cll.onEnd = func(err error) { wld.after(delay, func() { jb.ended(cll, err) }) }
	jb.asg, jb.eng, jb.cll, jb.sent, jb.firstAt = asg, eng, cll, wld.now, time.Time{}
	jb.base = jb.tokens
	jb.ent.running = append(jb.ent.running, jb)
	wld.after(delay, func() {
		if cll.ended || jb.cll != cll {
			return
		}
		if err := eng.start(cll); err != nil {
			cll.ended = true
			cll.onEnd(err)
		}
	})
}

// token takes a token of the running attempt.
func (jb *job) token(cll *call) {
	if jb.cll != cll {
		return
	}
	now := jb.ent.wld.now
	if jb.firstAt.IsZero() {
		jb.firstAt = now
	}
	if jb.tokens == 0 {
		jb.first = now
	}
	jb.tokens++
	jb.last = now
}

// stop ends the running attempt without its result.
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

// ended takes the end of an attempt.
func (jb *job) ended(cll *call, err error) {
	if jb.cll != cll {
		return
	}
	wld := jb.ent.wld
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
		wld.res.cached += min(cll.cached, jb.inputTokens())
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
	jb.pickedAt = wld.now
	jb.pick()
}

// finish ends the request.
func (jb *job) finish(out wick.Outcome) {
	if jb.done {
		return
	}
	jb.done = true
	jb.ent.wld.res.finish(jb, out)
	jb.place.Release(out)
	jb.ent.pump()
}

// moveAway starts running work of leaving endpoints elsewhere, when a place is
// free there.
func (ent *entry) moveAway() {
	for _, jb := range slices.Clone(ent.running) {
		select {
		case <-ent.table.Moving(jb.asg.VM.ID):
		default:
			continue
		}
		query := wick.RouteQuery{
			Service: service, Customer: jb.customer, Input: jb.input, InputTokens: jb.inputTokens() + jb.tokens,
			MaxTokens: jb.answer, Exclude: []wick.VMID{jb.asg.VM.ID}, Now: ent.wld.now,
		}
		if asg, err := ent.table.Pick(query); err == nil {
			jb.stop(wick.Outcome{Err: wick.ErrLeaving, Cancelled: true})
			jb.send(&asg)
		}
	}
}
