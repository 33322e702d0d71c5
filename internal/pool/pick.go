package pool

import (
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// prefillRate is the prompt tokens that an endpoint is taken to read in a
	// millisecond.
	prefillRate = 36.0
	// homeCredit is the share of a prompt's shared parts that the first
	// endpoint in the parts' rendezvous order is taken to keep when this entry
	// has not sent them there: other entries have.
	homeCredit = 0.75
	// secondCredit is the same for the second endpoint of the order, which
	// takes the load that the first can't.
	secondCredit = 0.25
	// otherZoneMillis is the cost of leaving the zone.
	otherZoneMillis = 40.0
	// runningMillis is the cost of each request that an endpoint runs: every
	// one slows all tokens.
	runningMillis = 4.0
	// queuedMillis is the cost of each request that waits at an endpoint.
	queuedMillis = 60.0
	// slotMillis is the cost of a full set of slots at a plain endpoint.
	slotMillis = 100.0
	// failureMillis is the cost of an endpoint that fails every request.
	failureMillis = 2000.0
	// missingWeight counts the reading of a prompt more than waiting: the time
	// that one request spends on it is lost to those behind it.
	missingWeight = 2.0
	// reportAge is how old a report may be: queues change within a second.
	reportAge = time.Second
)

// A Query asks for an endpoint.
type Query struct {
	Service wick.Service
	// Model is set for requests that generate tokens.
	Model bool
	// Parts and Input describe the prompt of a model request.
	Parts []wick.PromptPart
	Input wick.Tokens
	// Output bounds the generated tokens.
	Output wick.Tokens
	// Only and Except restrict the versions of endpoints unless they are "".
	Only, Except wick.ModelVersion
	// Exclude lists endpoints that the request was sent to before.
	Exclude []wick.VMID
	Now     time.Time
}

// allows reports whether an endpoint may be chosen for the query.
func (que *Query) allows(end *endpoint) bool {
	if que.Only != "" && end.bke.Version != que.Only || que.Except != "" && end.bke.Version == que.Except {
		return false
	}
	return !slices.Contains(que.Exclude, end.bke.ID)
}

// A homeKey names a prompt part and an endpoint.
type homeKey struct {
	part string
	vid  wick.VMID
}

// A Ticket is an endpoint chosen for one request.
type Ticket struct {
	Backend wick.Backend
	// Leaving is closed when the endpoint leaves.
	Leaving <-chan struct{}
	// Band is the load of the endpoint when it was chosen.
	Band wick.LoadBand

	grp     *group
	end     *endpoint
	prefill wick.Tokens
	once    sync.Once
}

// Pick returns an endpoint. The error wraps wick.ErrNotFound when no endpoint
// of the service takes requests. Done must be called on the ticket.
func (pl *Pool) Pick(que Query) (*Ticket, error) {
	grp := pl.group(que.Service)
	if grp == nil {
		return nil, eris.Wrapf(wick.ErrNotFound, "pool: no endpoint of %s", que.Service)
	}
	grp.mu.Lock()
	defer grp.mu.Unlock()
	end := grp.best(que, pl.zone)
	if end == nil {
		return nil, eris.Wrapf(wick.ErrNotFound, "pool: no endpoint of %s is left", que.Service)
	}
	tic := &Ticket{Backend: end.bke, Leaving: end.leaving, grp: grp, end: end}
	tic.Band = bandOf(end)
	end.inFlight++
	grp.requests.add(1, que.Now)
	if que.Model {
		tic.prefill = grp.missing(end, que, grp.homesOf(que))
		end.prefill += tic.prefill
		end.remember(que.Parts, que.Now)
		grp.work.add(workOf(tic.prefill, que.Output).Seconds(), que.Now)
	}
	return tic, nil
}

// best returns the endpoint of the lowest cost among those of the best
// standing.
func (grp *group) best(que Query, zone wick.Zone) *endpoint {
	top := standsOut
	for _, end := range grp.eps {
		if que.allows(end) {
			top = max(top, end.standing(que.Now))
		}
	}
	if top == standsOut {
		return nil
	}
	var best *endpoint
	var least float64
	homes := grp.homesOf(que)
	for _, end := range grp.eps {
		if end.standing(que.Now) != top || !que.allows(end) {
			continue
		}
		cost := grp.cost(end, que, homes)
		if end.bke.Zone != zone {
			cost += otherZoneMillis
		}
		if best == nil || cost < least || cost == least && end.bke.ID < best.bke.ID {
			best, least = end, cost
		}
	}
	return best
}

// cost estimates the time until an endpoint answers, in milliseconds.
func (grp *group) cost(end *endpoint, que Query, homes [2]wick.VMID) float64 {
	cost := end.failures * failureMillis
	if !que.Model {
		return cost + slotMillis*float64(end.inFlight)/float64(max(end.bke.Slots, 1))
	}
	running, wait := end.inFlight, float64(end.prefill)/prefillRate
	if que.Now.Sub(end.report.At) < reportAge {
		load := &end.report.Load
		running = max(running, load.Running)
		wait = max(wait, queuedMillis*float64(load.Waiting)+float64(load.NextTokens)/prefillRate)
	}
	cost += runningMillis*float64(running) + wait
	return cost + missingWeight*float64(grp.missing(end, que, homes))/prefillRate
}

// missing estimates the prompt tokens that an endpoint would have to read.
func (grp *group) missing(end *endpoint, que Query, homes [2]wick.VMID) wick.Tokens {
	missing := max(que.Input-end.cached(que.Parts), 0)
	shared := sharedTokens(que.Parts)
	if missing >= shared {
		switch end.bke.ID {
		case homes[0]:
			missing -= wick.Tokens(homeCredit * float64(shared))
		case homes[1]:
			missing -= wick.Tokens(secondCredit * float64(shared))
		}
	}
	return missing
}

// sharedTokens returns the tokens of all parts but the request's own.
func sharedTokens(parts []wick.PromptPart) wick.Tokens {
	var sum wick.Tokens
	for idx := 0; idx+1 < len(parts); idx++ {
		sum += parts[idx].Tokens
	}
	return sum
}

// homesOf returns the first two endpoints in the rendezvous order of the
// prompt's longest shared part. All entries find the same ones.
func (grp *group) homesOf(que Query) [2]wick.VMID {
	var homes [2]wick.VMID
	if len(que.Parts) < 2 {
		return homes
	}
	part := que.Parts[len(que.Parts)-2].ID
	var tops [2]uint64
	for vid, end := range grp.eps {
		if end.bke.Leaving || que.Except != "" && end.bke.Version == que.Except {
			continue
		}
		wgt := grp.weight(homeKey{part, vid})
		switch {
		case homes[0] == "" || wgt > tops[0]:
			homes[1], tops[1] = homes[0], tops[0]
			homes[0], tops[0] = vid, wgt
		case homes[1] == "" || wgt > tops[1]:
			homes[1], tops[1] = vid, wgt
		}
	}
	return homes
}

// maxHomes bounds the cache of rendezvous weights.
const maxHomes = 1 << 15

func (grp *group) weight(key homeKey) uint64 {
	wgt, ok := grp.homes[key]
	if !ok {
		if len(grp.homes) >= maxHomes {
			grp.homes = make(map[homeKey]uint64)
		}
		wgt = place.Weight(key.part, wick.EntryID(key.vid))
		grp.homes[key] = wgt
	}
	return wgt
}

// Again returns a second ticket for the same endpoint, for a run that goes on
// there although the endpoint leaves.
func (tic *Ticket) Again() *Ticket {
	tic.grp.mu.Lock()
	defer tic.grp.mu.Unlock()
	tic.end.inFlight++
	return &Ticket{Backend: tic.Backend, Leaving: make(chan struct{}), Band: tic.Band, grp: tic.grp, end: tic.end}
}

// LeavesAt returns when a leaving endpoint ends, the zero time if unknown.
func (tic *Ticket) LeavesAt() time.Time {
	tic.grp.mu.Lock()
	defer tic.grp.mu.Unlock()
	return tic.end.leavesAt
}

// Began notes that the request's answer has begun.
func (tic *Ticket) Began() {
	tic.grp.mu.Lock()
	defer tic.grp.mu.Unlock()
	tic.end.prefill -= tic.prefill
	tic.prefill = 0
}

// Done ends the request at the endpoint. Calls after the first do nothing.
func (tic *Ticket) Done(fate Fate, now time.Time) {
	tic.once.Do(func() {
		tic.Began()
		tic.grp.mu.Lock()
		defer tic.grp.mu.Unlock()
		tic.end.inFlight--
		tic.end.settle(fate, now)
	})
}
