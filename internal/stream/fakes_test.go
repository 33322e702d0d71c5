package stream

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// faults are probabilities per attempt or message, a delay and flags.
type faults struct {
	// slowAdmit is the probability that a request waits for admission.
	slowAdmit float64
	// sampled makes every attempt return different tokens, as sampling does.
	sampled bool
	// prefill delays the first token.
	prefill time.Duration
	// noHeartbeats drops all heartbeats, as in a membership view so large that
	// heartbeats of one entry are rare.
	noHeartbeats bool

	truncate, wrongCount, duplicate, gap, late, notSent, reject, loseReply float64
}

// A world simulates entries, endpoints and the network between them. Answers
// are a function of prompt and index.
type world struct {
	mu        sync.Mutex
	rnd       *rand.Rand
	faults    faults
	disabled  ablation
	entries   []*simEntry
	endpoints map[wick.VMID]*simEndpoint
	// ran counts executed attempts by prompt.
	ran map[string]int
	// openAssignments counts assignments whose Done was not called yet.
	openAssignments int
	violations      []string
	chk             invar.Checker
}

type simEndpoint struct {
	vm         wick.VM
	leaving    bool
	moving     chan struct{}
	terminated chan struct{}
}

type simEntry struct {
	wld *world
	mem wick.Member
	tab *Table
	// ctx ends when the entry crashes.
	ctx  context.Context
	kill context.CancelFunc
	// resume is closed unless the entry is paused.
	resume    chan struct{}
	pausing   bool
	lostAt    time.Time
	drainedAt time.Time
}

func newWorld(seed uint64, flt faults, dis ablation) *world {
	wld := &world{
		rnd: rand.New(rand.NewPCG(seed, 7)), faults: flt, disabled: dis,
		endpoints: make(map[wick.VMID]*simEndpoint), ran: make(map[string]int),
	}
	wld.chk.OnViolation = func(name invar.Name, detail string) { wld.violatef("%s: %s", name, detail) }
	for num := range 6 {
		wld.addEndpoint(num)
	}
	for num := range 5 {
		wld.entries = append(wld.entries, &simEntry{wld: wld})
		wld.startEntry(num, 1)
	}
	return wld
}

func (wld *world) violatef(format string, args ...any) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.violations = append(wld.violations, fmt.Sprintf(format, args...))
}

func (wld *world) chance(prob float64) bool {
	if prob == 0 {
		return false
	}
	wld.mu.Lock()
	defer wld.mu.Unlock()
	return wld.rnd.Float64() < prob
}

func (wld *world) intn(num int) int {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	return wld.rnd.IntN(num)
}

func (wld *world) millis(low, high int) time.Duration {
	return time.Duration(low+wld.intn(high-low+1)) * time.Millisecond
}

func (wld *world) addEndpoint(num int) {
	vid := wick.VMID(fmt.Sprintf("vm%d", num))
	wld.mu.Lock()
	defer wld.mu.Unlock()
	wld.endpoints[vid] = &simEndpoint{
		vm: wick.VM{ID: vid, State: wick.VMLive}, moving: make(chan struct{}), terminated: make(chan struct{}),
	}
}

// startEntry starts an entry with an empty table.
func (wld *world) startEntry(num int, inc wick.Incarnation) {
	ent := &simEntry{wld: wld, mem: wick.Member{
		ID: wick.EntryID(fmt.Sprintf("e%d", num)), Incarnation: inc,
		Zone: wick.Zone(fmt.Sprintf("z%d", num%4)), State: wick.EntryServing,
	}}
	ent.resume = make(chan struct{})
	close(ent.resume)
	ent.ctx, ent.kill = context.WithCancel(context.Background())
	ent.tab = New(Config{
		Self: ent.mem.ID, Incarnation: inc, Zone: ent.mem.Zone, Router: wld, Admitter: wld, Engine: ent, Peers: ent,
		Members: ent, Invar: &wld.chk,
	})
	ent.tab.disabled = wld.disabled
	go ent.tab.Run(ent.ctx)
	wld.mu.Lock()
	wld.entries[num] = ent
	wld.mu.Unlock()
}

// paused blocks while the entry is paused and reports whether the entry still
// runs.
func (ent *simEntry) paused(ctx context.Context) bool {
	ent.wld.mu.Lock()
	resume := ent.resume
	ent.wld.mu.Unlock()
	select {
	case <-resume:
	case <-ctx.Done():
	case <-ent.ctx.Done():
	}
	return ent.ctx.Err() == nil && ctx.Err() == nil
}

// Members returns the other entries, without those that have been unreachable
// for originTimeout.
func (ent *simEntry) Members() []wick.Member {
	ent.wld.mu.Lock()
	defer ent.wld.mu.Unlock()
	var out []wick.Member
	for _, oth := range ent.wld.entries {
		if oth != ent && (oth.lostAt.IsZero() || time.Since(oth.lostAt) < originTimeout) {
			out = append(out, oth.mem)
		}
	}
	return out
}

// LastSeen returns the current time for entries that run and are not paused.
func (ent *simEntry) LastSeen(eid wick.EntryID) time.Time {
	ent.wld.mu.Lock()
	defer ent.wld.mu.Unlock()
	if ent.wld.faults.noHeartbeats {
		return time.Time{}
	}
	for _, oth := range ent.wld.entries {
		if oth.mem.ID == eid && oth.lostAt.IsZero() {
			return time.Now()
		} else if oth.mem.ID == eid {
			return oth.lostAt
		}
	}
	return time.Time{}
}

// Call delivers a message to the running entry with the receiver's id.
func (ent *simEntry) Call(ctx context.Context, to wick.Member, typ wick.MessageType, body, reply any) error {
	if !ent.paused(ctx) || !wait(ctx, ent.wld.millis(1, 3)) {
		return wick.ErrUnavailable
	}
	ent.wld.mu.Lock()
	var dst *simEntry
	for _, oth := range ent.wld.entries {
		if oth.mem.ID == to.ID && oth.ctx.Err() == nil {
			dst = oth
		}
	}
	ent.wld.mu.Unlock()
	if dst == nil || !dst.paused(ctx) {
		return wick.ErrUnavailable
	}
	raw, err := cbor.Marshal(body)
	if err != nil || len(raw) > wick.MaxMessageBytes {
		ent.wld.violatef("message of %d bytes: %v", len(raw), err)
	}
	rep, err := dst.tab.Handlers()[typ](ctx, ent.mem.ID, raw)
	if err != nil {
		return err
	}
	if !wait(ctx, ent.wld.millis(1, 3)) || ent.wld.chance(ent.wld.faults.loseReply) || !ent.paused(ctx) {
		return wick.ErrUnavailable
	}
	raw, err = cbor.Marshal(rep)
	if err != nil || len(raw) > wick.MaxMessageBytes {
		ent.wld.violatef("reply of %d bytes: %v", len(raw), err)
	}
	return cbor.Unmarshal(raw, reply)
}

func wait(ctx context.Context, dur time.Duration) bool {
	select {
	case <-time.After(dur):
		return true
	case <-ctx.Done():
		return false
	}
}

// Pick returns a random endpoint that is not leaving.
func (wld *world) Pick(query wick.RouteQuery) (wick.Assignment, error) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	var live []*simEndpoint
	for num := range 20 {
		end := wld.endpoints[wick.VMID(fmt.Sprintf("vm%d", num))]
		if end != nil && !end.leaving && !slices.Contains(query.Exclude, end.vm.ID) {
			live = append(live, end)
		}
	}
	if len(live) == 0 {
		return wick.Assignment{}, wick.ErrBusy
	}
	wld.openAssignments++
	var once bool
	return wick.Assignment{VM: live[wld.rnd.IntN(len(live))].vm, Version: "v1", Done: func(wick.Outcome) {
		wld.mu.Lock()
		defer wld.mu.Unlock()
		wld.openAssignments--
		if once {
			wld.violations = append(wld.violations, "Done called twice")
		}
		once = true
	}}, nil
}

// Evacuation returns a channel that is closed when the endpoint announces its end.
func (wld *world) Evacuation(vid wick.VMID) <-chan struct{} {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	return wld.endpoints[vid].moving
}

// Admit admits every request, some of them after a delay.
func (wld *world) Admit(ctx context.Context, _ wick.AdmitQuery) (func(wick.Outcome), error) {
	if wld.chance(wld.faults.slowAdmit) && !wait(ctx, wld.millis(1, 3000)) {
		return nil, ctx.Err()
	}
	return func(wick.Outcome) {}, nil
}

func answerLen(prompt string) int { return 1 + int(xxhash.Sum64String(prompt)%150) }

func answerText(prompt string, idx int) string {
	return fmt.Sprintf("%x ", xxhash.Sum64String(fmt.Sprint(prompt, idx))%4096)
}

func answer(prompt string) string {
	var bld strings.Builder
	for idx := range answerLen(prompt) {
		bld.WriteString(answerText(prompt, idx))
	}
	return bld.String()
}

// Generate returns the answer with the faults of the world.
func (ent *simEntry) Generate(
	ctx context.Context, vm wick.VM, gen wick.Generation, sink func(wick.Token) error,
) (wick.Generated, error) {
	wld, flt, prompt := ent.wld, ent.wld.faults, gen.Prompt.Text
	wld.mu.Lock()
	end := wld.endpoints[vm.ID]
	leaving := end.leaving
	wld.mu.Unlock()
	if !wait(ctx, wld.millis(1, 2)) || isClosed(end.terminated) || wld.chance(flt.notSent) {
		return wick.Generated{}, wick.ErrNotSent
	}
	if leaving {
		return wick.Generated{}, errors.Join(wick.ErrNotExecuted, wick.ErrLeaving)
	}
	if wld.chance(flt.reject) {
		return wick.Generated{}, wick.ErrNotExecuted
	}
	wld.mu.Lock()
	wld.ran[prompt]++
	wld.mu.Unlock()
	if !wait(ctx, flt.prefill) {
		return wick.Generated{}, wick.ErrTruncated
	}
	for idx, text := range gen.Continue {
		if !flt.sampled && text != answerText(prompt, idx) {
			wld.violatef("continuation with a wrong token at %d", idx)
		}
	}
	num := answerLen(prompt)
	// A quarter of the answers takes longer than a drain.
	pace := 1
	if num%4 == 0 {
		pace = 10
	}
	token := func(idx int) wick.Token {
		tok := wick.Token{Attempt: gen.Attempt, Index: wick.Tokens(idx), Text: answerText(prompt, idx)}
		if flt.sampled {
			tok.Text = string(gen.Attempt[:3]) + " "
		}
		return tok
	}
	truncateAt := -1
	if wld.chance(flt.truncate) {
		truncateAt = wld.intn(num + 1)
	}
	if wld.chance(flt.late) {
		// Send late events of an attempt that was cancelled or has ended.
		defer func() {
			go func() {
				time.Sleep(wld.millis(1, 200))
				for idx := range num {
					_ = sink(wick.Token{Attempt: gen.Attempt, Index: wick.Tokens(idx), Text: "late "})
				}
			}()
		}()
	}
	lastLost := false
	for idx := len(gen.Continue); idx < num; idx++ {
		if idx == truncateAt {
			return wick.Generated{Count: wick.Tokens(idx)}, wick.ErrTruncated
		}
		select {
		case <-time.After(wld.millis(5*pace, 40*pace)):
		case <-end.terminated:
			return wick.Generated{}, wick.ErrTruncated
		case <-ctx.Done():
			return wick.Generated{}, ctx.Err()
		}
		if !ent.paused(ctx) {
			return wick.Generated{}, wick.ErrUnknownOutcome
		}
		if wld.chance(flt.gap) {
			lastLost = idx == num-1
			continue
		}
		if wld.chance(flt.duplicate) {
			_ = sink(token(idx))
		}
		if err := sink(token(idx)); err != nil {
			return wick.Generated{}, err
		}
	}
	out := wick.Generated{Attempt: gen.Attempt, Count: wick.Tokens(num), Finish: wick.FinishStop}
	// A wrong count must differ from the number of tokens sent: a shorter
	// answer with a matching count and end marker is indistinguishable from a
	// complete one.
	if !lastLost && wld.chance(flt.wrongCount) {
		out.Count--
	}
	if wld.chance(flt.truncate) {
		out.Finish = ""
	}
	return out, nil
}

func isClosed(chn chan struct{}) bool {
	select {
	case <-chn:
		return true
	default:
		return false
	}
}

// Cancel does nothing: Generate ends with its context.
func (*simEntry) Cancel(context.Context, wick.VM, wick.AttemptID) error { return nil }

// Export succeeds half of the time.
func (ent *simEntry) Export(ctx context.Context, _ wick.VM, att wick.AttemptID) (wick.KVHandle, error) {
	if !wait(ctx, ent.wld.millis(1, 400)) || ent.wld.intn(2) == 0 {
		return "", wick.ErrUnavailable
	}
	return wick.KVHandle(att), nil
}

// Load, CacheEvents and Order are not used by this package.
func (*simEntry) Load(context.Context, wick.VM) (wick.LoadReport, error) {
	return wick.LoadReport{}, nil
}

func (*simEntry) CacheEvents(context.Context, wick.VM, uint64) ([]wick.CacheEvent, error) {
	return nil, nil
}

func (*simEntry) Order(context.Context, wick.VM, wick.Order) error { return nil }
