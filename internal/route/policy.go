package route

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// fullScanMax is the pool size up to which every endpoint is scored.
	fullScanMax = 12
	// Larger pools are sampled. Two samples of each kind would suffice (power
	// of two choices); the third local one compensates for samples that are
	// full.
	localSamples  = 3
	remoteSamples = 2
	// localBias is the latency advantage of the entry's own zone, as a share
	// of the latency target. It falls linearly to zero as the lowest predicted
	// local time to first token grows to localBiasLimit of the target.
	localBias      = 0.1
	localBiasLimit = 0.5
)

// A selection is the state of one endpoint selection.
type selection struct {
	query *wick.RouteQuery
	pl    *pool
	now   time.Time
	// hashes are the block hashes of the prompt, hits the indexed ones.
	hashes []uint64
	hits   []hit
	// rejected endpoints were chosen but had become unusable before their
	// assignment.
	rejected []*endpoint
}

// A score is the latency prediction for one endpoint.
type score struct {
	ep           *endpoint
	hit          wick.Tokens
	wait         time.Duration
	prefill      time.Duration
	networkDelay time.Duration
	local        bool
}

// timeToFirstToken returns the predicted time to the first token.
func (sc score) timeToFirstToken() time.Duration { return sc.wait + sc.prefill + sc.networkDelay }

// A policy chooses an endpoint of a pool. It returns a score without an endpoint
// when none is usable.
type policy interface {
	choose(tab *Table, sel *selection) score
	// usesPrefixes reports whether the policy uses the prefix index.
	usesPrefixes() bool
}

// A roundRobin is a policy that chooses the usable endpoints in rotation.
type roundRobin struct{}

func (roundRobin) usesPrefixes() bool { return false }

func (roundRobin) choose(tab *Table, sel *selection) score {
	count := len(sel.pl.eps)
	start := int(sel.pl.next.Add(1) % uint64(max(count, 1))) //nolint:gosec // smaller than an int
	for idx := range count {
		if sc := tab.score(sel, sel.pl.eps[(start+idx)%count]); sc.ep != nil {
			return sc
		}
	}
	return score{}
}

// A leastLatency is a policy that chooses the endpoint with the lowest predicted
// time to first token, among a few samples and the endpoints that are indexed
// for a prefix of the prompt.
type leastLatency struct{}

func (leastLatency) usesPrefixes() bool { return true }

func (leastLatency) choose(tab *Table, sel *selection) score {
	var buf [fullScanMax + maxHolders*2]score
	scs := scoreSet{tab: tab, sel: sel, scored: buf[:0]}
	eps := sel.pl.eps
	if len(eps) <= fullScanMax {
		for _, ep := range eps {
			scs.add(ep)
		}
		return tab.best(sel, scs.scored)
	}
	for idx := len(sel.hits) - 1; idx >= max(0, len(sel.hits)-2); idx-- {
		for _, ep := range sel.hits[idx].holders {
			if ep != nil && slices.Contains(eps, ep) {
				scs.add(ep)
			}
		}
	}
	scs.sample(eps[:sel.pl.localCount], localSamples)
	scs.sample(eps[sel.pl.localCount:], remoteSamples)
	if len(scs.scored) == 0 {
		// No sample was usable: scan the whole pool from a random position.
		start := tab.random(len(eps))
		for idx := range eps {
			if scs.add(eps[(start+idx)%len(eps)]); len(scs.scored) > 0 {
				break
			}
		}
	}
	return tab.best(sel, scs.scored)
}

// A scoreSet collects the scores of usable endpoints for one selection.
type scoreSet struct {
	tab    *Table
	sel    *selection
	scored []score
}

// add scores an endpoint and adds it if it is usable and not in the set yet.
func (scs *scoreSet) add(ep *endpoint) {
	for _, sc := range scs.scored {
		if sc.ep == ep {
			return
		}
	}
	if sc := scs.tab.score(scs.sel, ep); sc.ep != nil {
		scs.scored = append(scs.scored, sc)
	}
}

// sample adds up to count random endpoints.
func (scs *scoreSet) sample(eps []*endpoint, count int) {
	for range min(count, len(eps)) {
		scs.add(eps[scs.tab.random(len(eps))])
	}
}

// best returns the score with the lowest time to first token, after applying
// localBias.
func (tab *Table) best(sel *selection, scored []score) score {
	target := float64(tab.firstTokenTarget(sel.query.Service))
	localWait := target
	for _, sc := range scored {
		if sc.local {
			localWait = min(localWait, float64(sc.timeToFirstToken()))
		}
	}
	bias := time.Duration(target * localBias * max(0, 1-localWait/(target*localBiasLimit)))
	var chosen score
	var lowest time.Duration
	for _, sc := range scored {
		cost := sc.timeToFirstToken()
		if !sc.local {
			cost += bias
		}
		if chosen.ep == nil || cost < lowest {
			chosen, lowest = sc, cost
		}
	}
	return chosen
}

// score predicts the latency at one endpoint. The score has no endpoint when the
// endpoint is excluded, rejected or not usable.
func (tab *Table) score(sel *selection, ep *endpoint) score {
	if slices.Contains(sel.query.Exclude, ep.vid) || slices.Contains(sel.rejected, ep) {
		return score{}
	}
	blocks := 0
	for idx := len(sel.hits) - 1; idx >= 0 && blocks == 0; idx-- {
		if sel.hits[idx].holders.has(ep) {
			blocks = sel.hits[idx].blocks
		}
	}
	sc := score{ep: ep, hit: hitTokens(sel.query, blocks)}
	ep.shd.mu.Lock()
	defer ep.shd.mu.Unlock()
	if !ep.usable(sel.now) {
		return score{}
	}
	sc.wait = ep.wait()
	sc.prefill = ep.prefillTime(sel.query.InputTokens, sc.hit)
	sc.local = ep.vm.Zone == tab.zone
	sc.networkDelay = tab.delay(ep.vm.Zone)
	return sc
}

func (tab *Table) delay(zone wick.Zone) time.Duration {
	tab.infoMu.RLock()
	defer tab.infoMu.RUnlock()
	return tab.delays[zone]
}

// random returns a number below limit. The generator is seeded with the entry's
// id, so that simulations are reproducible.
func (tab *Table) random(limit int) int {
	// SplitMix64: its state is a single word, which is advanced atomically.
	num := tab.rnd.Add(0x9e3779b97f4a7c15)
	num = (num ^ num>>30) * 0xbf58476d1ce4e5b9
	num = (num ^ num>>27) * 0x94d049bb133111eb
	return int((num ^ num>>31) % uint64(limit)) //nolint:gosec // smaller than an int
}
