package route

import (
	"slices"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// scanBelow is the pool size up to which every endpoint is considered.
	scanBelow = 12
	// Larger pools are sampled; two of each kind would do, the third local
	// one makes up for samples that are full.
	localSamples  = 3
	remoteSamples = 2
	// localBias is the advantage of the entry's own zone, as a share of the
	// latency target. It shrinks to nothing while the local wait grows to
	// giveWay of the target.
	localBias = 0.1
	giveWay   = 0.5
)

// A choosing is the state of one choice.
type choosing struct {
	query *wick.RouteQuery
	pl    *pool
	now   time.Time
	// hashes are the blocks of the prompt, hits the known ones.
	hashes []uint64
	hits   []hit
	// tried endpoints were chosen and then refused.
	tried []*endpoint
}

// A score is the prediction for one endpoint.
type score struct {
	ep    *endpoint
	hit   wick.Tokens
	wait  time.Duration
	fill  time.Duration
	delay time.Duration
	local bool
}

// first predicts the time to the first token.
func (sc score) first() time.Duration { return sc.wait + sc.fill + sc.delay }

// A policy chooses an endpoint of a pool. It returns a score without endpoint
// when none is usable.
type policy interface {
	choose(tab *Table, cho *choosing) score
	// prefixes tells whether the policy uses the prefix index.
	prefixes() bool
}

// A roundRobin takes endpoints in turn.
type roundRobin struct{}

func (roundRobin) prefixes() bool { return false }

func (roundRobin) choose(tab *Table, cho *choosing) score {
	count := len(cho.pl.all)
	start := int(cho.pl.next.Add(1) % uint64(max(count, 1))) //nolint:gosec // smaller than an int
	for idx := range count {
		if sc := tab.score(cho, cho.pl.all[(start+idx)%count]); sc.ep != nil {
			return sc
		}
	}
	return score{}
}

// A predicted policy takes the endpoint with the least predicted time to the
// first token, among a few samples and the endpoints with a known prefix.
type predicted struct{}

func (predicted) prefixes() bool { return true }

func (predicted) choose(tab *Table, cho *choosing) score {
	var buf [scanBelow + maxHolders*2]score
	list := scores{tab: tab, cho: cho, list: buf[:0]}
	all := cho.pl.all
	if len(all) <= scanBelow {
		for _, ep := range all {
			list.add(ep)
		}
		return tab.best(cho, list.list)
	}
	for idx := len(cho.hits) - 1; idx >= max(0, len(cho.hits)-2); idx-- {
		for _, ep := range cho.hits[idx].holders {
			if ep != nil && slices.Contains(all, ep) {
				list.add(ep)
			}
		}
	}
	list.sample(all[:cho.pl.local], localSamples)
	list.sample(all[cho.pl.local:], remoteSamples)
	if len(list.list) == 0 {
		// The samples were full or away: the rest of the bounded subset.
		start := tab.random(len(all))
		for idx := range all {
			if list.add(all[(start+idx)%len(all)]); len(list.list) > 0 {
				break
			}
		}
	}
	return tab.best(cho, list.list)
}

// A scores collects the usable endpoints of a choice.
type scores struct {
	tab  *Table
	cho  *choosing
	list []score
}

// add adds an endpoint if it is usable and not there yet.
func (scs *scores) add(ep *endpoint) {
	for _, sc := range scs.list {
		if sc.ep == ep {
			return
		}
	}
	if sc := scs.tab.score(scs.cho, ep); sc.ep != nil {
		scs.list = append(scs.list, sc)
	}
}

// sample adds up to count random endpoints.
func (scs *scores) sample(from []*endpoint, count int) {
	for range min(count, len(from)) {
		scs.add(from[scs.tab.random(len(from))])
	}
}

// best returns the least score, with the advantage of the entry's own zone.
func (tab *Table) best(cho *choosing, list []score) score {
	target := float64(tab.target(cho.query.Service))
	localWait := target
	for _, sc := range list {
		if sc.local {
			localWait = min(localWait, float64(sc.first()))
		}
	}
	bias := time.Duration(target * localBias * max(0, 1-localWait/(target*giveWay)))
	var out score
	var least time.Duration
	for _, sc := range list {
		cost := sc.first()
		if !sc.local {
			cost += bias
		}
		if out.ep == nil || cost < least {
			out, least = sc, cost
		}
	}
	return out
}

// score predicts for one endpoint. It has no endpoint when it is not usable.
func (tab *Table) score(cho *choosing, ep *endpoint) score {
	if slices.Contains(cho.query.Exclude, ep.vid) || slices.Contains(cho.tried, ep) {
		return score{}
	}
	blocks := 0
	for idx := len(cho.hits) - 1; idx >= 0 && blocks == 0; idx-- {
		if cho.hits[idx].holders.has(ep) {
			blocks = cho.hits[idx].blocks
		}
	}
	sc := score{ep: ep, hit: hitTokens(cho.query, blocks)}
	ep.shd.mu.Lock()
	defer ep.shd.mu.Unlock()
	if !ep.usable(cho.now) {
		return score{}
	}
	sc.wait = ep.wait()
	sc.fill = ep.prefill(cho.query.InputTokens, sc.hit)
	sc.local = ep.vm.Zone == tab.zone
	sc.delay = tab.delay(ep.vm.Zone)
	return sc
}

func (tab *Table) delay(zone wick.Zone) time.Duration {
	tab.infoMu.RLock()
	defer tab.infoMu.RUnlock()
	return tab.delays[zone]
}

// random returns a number below limit. The sequence is fixed by the entry, so
// that runs repeat.
func (tab *Table) random(limit int) int {
	// SplitMix64 needs one shared word only.
	num := tab.rnd.Add(0x9e3779b97f4a7c15)
	num = (num ^ num>>30) * 0xbf58476d1ce4e5b9
	num = (num ^ num>>27) * 0x94d049bb133111eb
	return int((num ^ num>>31) % uint64(limit)) //nolint:gosec // smaller than an int
}
