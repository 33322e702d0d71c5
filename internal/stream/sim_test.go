package stream

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var (
	stepsFlag = flag.Int("steps", 40, "requests per seed")
	seedFlag  = flag.Uint64("seed", 1, "first seed")
	seedsFlag = flag.Uint64("seeds", 5, "number of seeds per scenario")
)

// A scenario selects the faults of a run and what callers may observe.
type scenario struct {
	faults faults
	// reclaims to pauses enable these events; reconnects makes callers
	// disconnect and resume.
	reclaims, drops, drains, crashes, pauses, reconnects bool
	// mayFail allows explicit failures. A wrong answer is never allowed.
	mayFail bool
	// minNoticeMillis is the shortest notice of a drain. A rolling restart is
	// long enough for a complete drain.
	minNoticeMillis int
}

var scenarios = map[string]scenario{
	"announced": {faults: faults{slowAdmit: 0.1}, reclaims: true, drains: true, reconnects: true, minNoticeMillis: 3000},
	"drain":     {faults: faults{slowAdmit: 0.1}, drains: true, minNoticeMillis: 8000},
	"deaths":    {crashes: true, reconnects: true},
	"sampled": {
		faults:   faults{sampled: true, truncate: 0.2, late: 0.2},
		reclaims: true, drops: true, drains: true, crashes: true, pauses: true, reconnects: true, mayFail: true,
		minNoticeMillis: 1000,
	},
	"everything": {
		faults: faults{
			truncate: 0.1, wrongCount: 0.05, duplicate: 0.02, gap: 0.002, late: 0.2,
			notSent: 0.05, reject: 0.05, loseReply: 0.02,
		},
		reclaims: true, drops: true, drains: true, crashes: true, pauses: true, reconnects: true, mayFail: true,
		minNoticeMillis: 1000,
	},
}

// callerStats counts what the callers of a run observed.
type callerStats struct {
	mu                                          sync.Mutex
	complete, failed, refused, resumed, unknown int
	reasons                                     map[string]int
}

func (cst *callerStats) add(field *int) {
	cst.mu.Lock()
	defer cst.mu.Unlock()
	*field++
}

// runSim runs the scenario with one seed and returns the violations.
func runSim(t *testing.T, scn scenario, seed uint64, dis ablation, cst *callerStats) []string {
	t.Helper()
	logrus.SetOutput(io.Discard)
	uuid.SetRand(&lockedReader{rnd: rand.NewChaCha8([32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16)})})
	defer uuid.SetRand(nil)
	var wld *world
	synctest.Test(t, func(t *testing.T) {
		wld = newWorld(seed, scn.faults, dis)
		ctx, cancel := context.WithCancel(t.Context())
		var drivers, callers sync.WaitGroup
		drivers.Go(func() { wld.reclaim(ctx, scn) })
		drivers.Go(func() { wld.churn(ctx, scn) })
		for num := range *stepsFlag {
			callers.Go(func() {
				time.Sleep(wld.millis(0, 20000))
				wld.runCaller(scn, fmt.Sprintf("prompt %d of %d", num, seed), cst)
			})
		}
		callers.Wait()
		cancel()
		drivers.Wait()
		for _, ent := range wld.entries {
			ent.kill()
			ent.tab.Close()
		}
		time.Sleep(time.Minute)
		if wld.openAssignments != 0 {
			wld.violatef("%d assignments not done", wld.openAssignments)
		}
	})
	return wld.violations
}

type lockedReader struct {
	mu  sync.Mutex
	rnd *rand.ChaCha8
}

func (rea *lockedReader) Read(buf []byte) (int, error) {
	rea.mu.Lock()
	defer rea.mu.Unlock()
	return rea.rnd.Read(buf)
}

// reclaim terminates endpoints, with or without notice, and starts new ones.
func (wld *world) reclaim(ctx context.Context, scn scenario) {
	next := 6
	for scn.reclaims && wait(ctx, wld.millis(200, 3000)) {
		wld.mu.Lock()
		var live []*simEndpoint
		for num := range next {
			if end := wld.endpoints[wick.VMID(fmt.Sprintf("vm%d", num))]; !end.leaving {
				live = append(live, end)
			}
		}
		wld.mu.Unlock()
		if len(live) <= 2 {
			if next < 20 {
				wld.addEndpoint(next)
				next++
			}
			continue
		}
		end := live[wld.intn(len(live))]
		notice := wld.millis(2000, 8000)
		if scn.drops && wld.intn(2) == 0 {
			notice = 0
		}
		wld.mu.Lock()
		end.leaving = true
		wld.mu.Unlock()
		go func() {
			time.Sleep(notice / 10)
			close(end.moving)
			time.Sleep(notice - notice/10)
			close(end.terminated)
		}()
	}
}

// churn drains, crashes and pauses entries, one at a time.
func (wld *world) churn(ctx context.Context, scn scenario) {
	for num, inc := 0, wick.Incarnation(2); ctx.Err() == nil; num, inc = (num+1)%5, inc+1 {
		if !wait(ctx, wld.millis(500, 4000)) {
			return
		}
		wld.mu.Lock()
		ent := wld.entries[num]
		wld.mu.Unlock()
		events := []func(*simEntry, wick.Incarnation, scenario){}
		if scn.drains {
			events = append(events, wld.drain)
		}
		if scn.crashes {
			events = append(events, wld.crash)
		}
		if scn.pauses {
			events = append(events, wld.pause)
		}
		if len(events) > 0 {
			events[wld.intn(len(events))](ent, inc, scn)
		}
	}
}

func (wld *world) setState(ent *simEntry, sta wick.EntryState) {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	ent.mem.State, ent.drainedAt = sta, time.Now()
}

func (wld *world) drain(ent *simEntry, inc wick.Incarnation, scn scenario) {
	wld.setState(ent, wick.EntryDraining)
	if err := ent.tab.Drain(ent.ctx, wld.millis(scn.minNoticeMillis, 9000)); err != nil && !scn.mayFail {
		wld.violatef("drain: %v", err)
	}
	wld.replace(ent, inc)
}

func (wld *world) crash(ent *simEntry, inc wick.Incarnation, _ scenario) {
	wld.replace(ent, inc)
	// The replicas have to take over before the next crash.
	time.Sleep(8 * time.Second)
}

// replace ends the process of an entry and starts a new one later.
func (wld *world) replace(ent *simEntry, inc wick.Incarnation) {
	wld.mu.Lock()
	ent.lostAt = time.Now()
	wld.mu.Unlock()
	ent.kill()
	ent.tab.Close()
	time.Sleep(wld.millis(3100, 5000))
	wld.startEntry(int(ent.mem.ID[1]-'0'), inc)
}

func (wld *world) pause(ent *simEntry, _ wick.Incarnation, _ scenario) {
	resume := make(chan struct{})
	wld.mu.Lock()
	ent.resume, ent.pausing, ent.lostAt = resume, true, time.Now()
	wld.mu.Unlock()
	time.Sleep(wld.millis(500, 6000))
	wld.mu.Lock()
	ent.pausing, ent.lostAt = false, time.Time{}
	wld.mu.Unlock()
	close(resume)
}

// pickEntry returns a random entry as the load balancer does: it detects a
// drain after a second.
func (wld *world) pickEntry() *simEntry {
	for {
		wld.mu.Lock()
		ent := wld.entries[wld.rnd.IntN(len(wld.entries))]
		drainDetected := ent.mem.State == wick.EntryDraining && time.Since(ent.drainedAt) > time.Second
		ok := ent.lostAt.IsZero() && !drainDetected
		wld.mu.Unlock()
		if ok {
			return ent
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// runCaller sends one request, reconnects as often as needed and verifies the
// answer.
func (wld *world) runCaller(scn scenario, prompt string, cst *callerStats) {
	ent := wld.pickEntry()
	req, err := ent.tab.Accept(ent.ctx, Head{
		Customer: "cus", Service: "svc", Prompt: wick.Prompt{Text: prompt}, MaxTokens: 200,
	})
	if err != nil {
		cst.add(&cst.refused)
		wld.checkFailure(scn, prompt, 0, err, cst)
		return
	}
	rid := req.Head.ID
	rdr := req.Attach(Cursor{})
	var got strings.Builder
	for {
		ctx, cancel := context.WithTimeout(ent.ctx, 4*time.Second)
		if scn.reconnects && wld.chance(0.02) {
			ctx, cancel = context.WithTimeout(ent.ctx, wld.millis(1, 100))
		}
		bat, err := rdr.Next(ctx)
		cancel()
		if err == nil {
			got.WriteString(strings.Join(bat.Texts, ""))
			if bat.Done {
				break
			}
			continue
		}
		var fai *FailError
		if errors.As(err, &fai) && ent.ctx.Err() == nil && !errors.Is(err, wick.ErrStopped) {
			rdr.Close()
			wld.checkFailure(scn, prompt, rdr.Cursor().Events, err, cst)
			return
		}
		cur, _ := ParseCursor(rdr.Cursor().String())
		rdr.Close()
		time.Sleep(wld.millis(1, 1500))
		cst.add(&cst.resumed)
		ent = wld.pickEntry()
		rdr = ent.tab.Resume(rid, "cus", cur)
	}
	rdr.Close()
	if scn.faults.sampled {
		if !wld.hasAnswer(prompt, got.String()) {
			wld.violatef("%s: answer mixed from several continuations: %q", prompt, got.String())
		}
	} else if got.String() != answer(prompt) {
		wld.violatef("%s: wrong answer:\n got %q\nwant %q", prompt, got.String(), answer(prompt))
	}
	cst.add(&cst.complete)
}

// hasAnswer reports whether the log of an entry has exactly this answer.
func (wld *world) hasAnswer(prompt, text string) bool {
	found := false
	for _, ent := range wld.currentEntries() {
		ent.tab.forEach(func(req *Request) {
			req.mu.Lock()
			defer req.mu.Unlock()
			found = found || (req.Head.Prompt.Text == prompt && strings.Join(req.texts, "") == text)
		})
	}
	return found
}

// describeRequest describes the state of a prompt's request on each entry.
func (wld *world) describeRequest(prompt string) string {
	var bld strings.Builder
	for _, ent := range wld.currentEntries() {
		ent.tab.forEach(func(req *Request) {
			req.mu.Lock()
			defer req.mu.Unlock()
			if req.Head.Prompt.Text == prompt {
				fmt.Fprintf(&bld, "%s inc %d lost %v: %s owned %v source %s replica %s, id %s; ",
					ent.mem.ID, ent.mem.Incarnation, !ent.lostAt.IsZero(), req.state, req.owned, req.source,
					req.rep.member.ID, req.Head.ID)
			}
		})
	}
	return bld.String()
}

// currentEntries returns a copy of the entries.
func (wld *world) currentEntries() []*simEntry {
	wld.mu.Lock()
	defer wld.mu.Unlock()
	return slices.Clone(wld.entries)
}

// checkFailure asserts that a failure is allowed and that its Executed is
// correct.
func (wld *world) checkFailure(scn scenario, prompt string, events int, err error, cst *callerStats) {
	var fai *FailError
	if !errors.As(err, &fai) {
		wld.violatef("%s: error is not a FailError: %v", prompt, err)
		return
	}
	wld.mu.Lock()
	ran := wld.ran[prompt]
	wld.mu.Unlock()
	if fai.Executed == ExecutedNo && ran > 0 {
		wld.violatef("%s: refused as not executed after %d attempts: %v", prompt, ran, err)
	}
	// Before the first event of an entry that crashes, a caller has no id to
	// resume with. A refusal before acceptance loses nothing when the notice is
	// short.
	short := scn.reclaims && errors.Is(err, wick.ErrLeaving) && fai.Executed == ExecutedNo
	if !scn.mayFail && !short && (events > 0 || !scn.crashes) {
		wld.violatef("%s: failed after %d events: %v; %s", prompt, events, err, wld.describeRequest(prompt))
	}
	cst.mu.Lock()
	defer cst.mu.Unlock()
	cst.failed++
	if fai.Executed == ExecutedUnknown {
		cst.unknown++
	}
	if cst.reasons == nil {
		cst.reasons = make(map[string]int)
	}
	cst.reasons[err.Error()]++
}

// Guards against answers that are lost, mixed up or reported as complete when
// they are not, and against failures that wrongly report "not executed" (P1,
// P3, P4, P7).
func TestSimulation(t *testing.T) {
	for name, scn := range scenarios {
		t.Run(name, func(t *testing.T) {
			var cst callerStats
			for seed := *seedFlag; seed < *seedFlag+*seedsFlag; seed++ {
				if vios := runSim(t, scn, seed, ablation{}, &cst); len(vios) > 0 {
					t.Errorf("seed %d: %d violations, first: %.2000s", seed, len(vios), vios[0])
				}
				if t.Failed() {
					break
				}
			}
			t.Logf("%d complete, %d failed (%d unknown), %d refused, %d resumed, reasons %v",
				cst.complete, cst.failed, cst.unknown, cst.refused, cst.resumed, cst.reasons)
		})
	}
}

// Guards against a simulation that does not detect a missing mechanism.
func TestSimulationDetectsMissingMechanism(t *testing.T) {
	for name, tst := range map[string]struct {
		scenario string
		disabled ablation
	}{
		"attempt check": {"everything", ablation{attemptCheck: true}},
		"replica":       {"deaths", ablation{replica: true}},
		"handover":      {"drain", ablation{handover: true}},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := *seedFlag; seed < *seedFlag+*seedsFlag; seed++ {
				if vios := runSim(t, scenarios[tst.scenario], seed, tst.disabled, &callerStats{}); len(vios) > 0 {
					t.Logf("seed %d: %d violations, first: %.200s", seed, len(vios), vios[0])
					return
				}
			}
			t.Error("no violation without the mechanism")
		})
	}
}
