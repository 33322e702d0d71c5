package crash

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// begin is the start of all simulations.
var begin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const (
	tick = 10 * time.Millisecond
	// backAfter is how long an endpoint is away after a crash.
	backAfter = 3 * time.Second
	// beginsWithin is when answers begin at the latest, lastsAtMost how long they last.
	beginsWithin = 700 * time.Millisecond
	lastsAtMost  = 2500 * time.Millisecond
	// progressAfter is how long after its beginning an answer has progressed.
	progressAfter = 300 * time.Millisecond
	// confirmAfter is the time until an entry knows that an endpoint has ended.
	confirmAfter = 120 * time.Millisecond
	// newsInterval is the time between two exchanges of news.
	newsInterval = 100 * time.Millisecond
)

// A simRun is one attempt at a request.
type simRun struct {
	pro          Prompt
	entry        int
	begins, ends time.Time
	survived     bool
	attempt      int
}

// A simEndpoint is an endpoint of a sim.
type simEndpoint struct {
	born int64
	// upAt is when it is back.
	upAt time.Time
	runs []*simRun
}

// A simCall is a function to call at an instant.
type simCall struct {
	at   time.Time
	call func()
}

// A sim simulates entries and endpoints in virtual time.
type sim struct {
	*testing.T
	rnd       *rand.Rand
	now       time.Time
	trackers  []*Tracker
	endpoints []simEndpoint
	calls     []simCall
	// perSecond is the rate of sound requests, deadlyPerSecond that of deadly ones, and
	// crashesPerSecond that of crashes without a cause in a prompt.
	perSecond, deadlyPerSecond, crashesPerSecond float64
	// deadlyPrompt returns a prompt with a deadly part.
	deadlyPrompt func(num int) Prompt
	// sound returns the prompt of a sound request; soundPrompt does if it is nil.
	sound    func(num int) Prompt
	requests int
	// silent entries neither send nor get news.
	silent map[int]bool

	crashes int
	// crashedAt holds the crashes and sentAt the requests that reached endpoints, by
	// their deadly part.
	crashedAt, sentAt map[wick.PartID][]time.Time
	refused           int
	// firsts are the first attempts of sound requests.
	firsts []soundFirst
}

// A soundFirst is the first attempt of a sound request, with the part that its prompt
// begins with.
type soundFirst struct {
	part    wick.PartID
	at      time.Time
	refused bool
}

// noteFirst records a first attempt of a sound request.
func (smt *sim) noteFirst(run *simRun, refused bool) {
	if run.attempt == 1 && deadlyPart(run.pro) == "" {
		smt.firsts = append(smt.firsts, soundFirst{run.pro.Shared[0], smt.now, refused})
	}
}

func newSim(t *testing.T, seed uint64, entries, endpoints int) *sim {
	t.Helper()
	smt := &sim{T: t, rnd: rand.New(rand.NewPCG(seed, 1)), now: begin, endpoints: make([]simEndpoint, endpoints), silent: make(map[int]bool)}
	smt.crashedAt, smt.sentAt = make(map[wick.PartID][]time.Time), make(map[wick.PartID][]time.Time)
	for range entries {
		smt.trackers = append(smt.trackers, &Tracker{})
	}
	return smt
}

// soundPrompt returns a prompt of one of three kinds of requests: with a part that few
// share, with one that many share, and with both.
func (smt *sim) soundPrompt() Prompt {
	if smt.sound != nil {
		return smt.sound(smt.requests)
	}
	own := wick.PartID(fmt.Sprint("own", smt.requests))
	rare := wick.PartID(fmt.Sprint("rare", smt.rnd.IntN(89)))
	popular := wick.PartID(fmt.Sprint("popular", smt.rnd.IntN(4)))
	switch smt.rnd.IntN(3) {
	case 0:
		return Prompt{Shared: Parts{rare}, Own: own}
	case 1:
		return Prompt{Shared: Parts{popular}, Own: own}
	default:
		return Prompt{Shared: Parts{popular, rare}, Own: own}
	}
}

// deadlyPart returns the deadly part of a prompt, "" if it has none. A last part can name
// another one before a slash.
func deadlyPart(pro Prompt) wick.PartID {
	for _, part := range slices.Concat(Parts{pro.Own}, pro.Shared) {
		if part[0] == '!' {
			name, _, _ := strings.Cut(string(part), "/")
			return wick.PartID(name)
		}
	}
	return ""
}

// run advances the simulation.
func (smt *sim) run(length time.Duration) {
	for end := smt.now.Add(length); smt.now.Before(end); smt.now = smt.now.Add(tick) {
		smt.arrive(smt.perSecond, func() Prompt { return smt.soundPrompt() })
		smt.arrive(smt.deadlyPerSecond, func() Prompt { return smt.deadlyPrompt(smt.requests) })
		if smt.rnd.Float64() < smt.crashesPerSecond*tick.Seconds() {
			smt.crash(smt.rnd.IntN(len(smt.endpoints)))
		}
		for idx := range smt.endpoints {
			smt.advance(idx)
		}
		smt.runCalls()
		if smt.now.Sub(begin)%newsInterval == 0 {
			smt.exchange()
		}
	}
}

func (smt *sim) arrive(rate float64, prompt func() Prompt) {
	if smt.rnd.Float64() >= rate*tick.Seconds() {
		return
	}
	smt.requests++
	smt.send(&simRun{pro: prompt(), entry: smt.rnd.IntN(len(smt.trackers)), attempt: 1})
}

// send starts an attempt at the endpoint that the rendezvous order of its first part
// prefers, so that the attempts of one kind meet.
func (smt *sim) send(run *simRun) {
	if smt.trackers[run.entry].Check(run.pro, func(string) int { return run.entry }, smt.now).Blocked {
		if deadlyPart(run.pro) == "" {
			smt.refused++
			smt.noteFirst(run, true)
		}
		return
	}
	smt.noteFirst(run, false)
	best, top := -1, uint64(0)
	for idx := range smt.endpoints {
		if smt.now.Before(smt.endpoints[idx].upAt) {
			continue
		}
		if wgt := uint64(len(run.pro.Shared[0])*31+int(run.pro.Shared[0][len(run.pro.Shared[0])-1])) * uint64(idx*2654435761+97) % 1009; best < 0 || wgt > top {
			best, top = idx, wgt
		}
	}
	if best < 0 {
		return
	}
	run.begins = smt.now.Add(time.Duration(smt.rnd.Int64N(int64(beginsWithin))))
	run.ends = run.begins.Add(time.Duration(smt.rnd.Int64N(int64(lastsAtMost))))
	run.survived = false
	smt.endpoints[best].runs = append(smt.endpoints[best].runs, run)
	if part := deadlyPart(run.pro); part != "" {
		smt.sentAt[part] = append(smt.sentAt[part], smt.now)
	}
}

// advance handles the runs of one endpoint.
func (smt *sim) advance(num int) {
	edp := &smt.endpoints[num]
	var left []*simRun
	for _, run := range edp.runs {
		switch {
		case deadlyPart(run.pro) != "" && !smt.now.Before(run.begins):
			smt.crashedAt[deadlyPart(run.pro)] = append(smt.crashedAt[deadlyPart(run.pro)], smt.now)
			smt.crash(num)
			return
		case !smt.now.Before(run.ends):
			smt.survive(num, run)
			continue
		case !run.survived && smt.now.Sub(run.begins) >= progressAfter:
			smt.survive(num, run)
		}
		left = append(left, run)
	}
	edp.runs = left
}

func (smt *sim) survive(num int, run *simRun) {
	run.survived = true
	smt.trackers[run.entry].AddSurvival(smt.ending(num), run.pro, run.begins, smt.now)
}

func (smt *sim) ending(num int) Ending {
	return Ending{Endpoint: wick.VMID(fmt.Sprint("e", num)), Born: smt.endpoints[num].born}
}

// crash ends an endpoint. Its entries report the prompts that had not progressed, and
// send each lost request once more.
func (smt *sim) crash(num int) {
	edp := &smt.endpoints[num]
	if smt.now.Before(edp.upAt) {
		return
	}
	end := smt.ending(num)
	lost := make(map[int][]Prompt)
	runs := edp.runs
	edp.runs, edp.born, edp.upAt = nil, edp.born+1, smt.now.Add(backAfter)
	smt.crashes++
	for _, run := range runs {
		if !run.survived {
			lost[run.entry] = append(lost[run.entry], run.pro)
		}
	}
	for entry, prompts := range lost {
		smt.later(confirmAfter, func() { smt.trackers[entry].AddEnding(end, prompts, smt.now) })
	}
	for _, run := range runs {
		if run.attempt > 1 {
			continue
		}
		run.attempt++
		if smt.trackers[run.entry].IsSuspected(run.pro) {
			smt.later(confirmAfter+SettleTime, func() { smt.send(run) })
			continue
		}
		smt.send(run)
	}
}

// later calls a function after a delay.
func (smt *sim) later(delay time.Duration, call func()) {
	smt.calls = append(smt.calls, simCall{smt.now.Add(delay), call})
}

// runCalls makes the calls that are due.
func (smt *sim) runCalls() {
	calls := smt.calls
	smt.calls = nil
	for _, cal := range calls {
		if smt.now.Before(cal.at) {
			smt.calls = append(smt.calls, cal)
			continue
		}
		cal.call()
	}
}

// exchange delivers the news of each entry to all others.
func (smt *sim) exchange() {
	for from, trk := range smt.trackers {
		nws, _ := trk.TakeNews(smt.now)
		if smt.silent[from] || nws.IsEmpty() {
			continue
		}
		for to, other := range smt.trackers {
			if to != from && !smt.silent[to] {
				other.Merge(nws, smt.now)
			}
		}
	}
}

// late returns the largest number of requests with one deadly part that reached
// endpoints later than window after the fifth crash by that part.
func (smt *sim) late(window time.Duration) int {
	const freeCrashes = 5
	most := 0
	for part, crashes := range smt.crashedAt {
		num := 0
		for _, at := range smt.sentAt[part] {
			if len(crashes) >= freeCrashes && at.After(crashes[freeCrashes-1].Add(window)) {
				num++
			}
		}
		most = max(most, num)
	}
	return most
}
