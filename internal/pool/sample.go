package pool

import (
	"math/rand/v2"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// maxFullScan is the number of endpoints up to which all of them are compared for
	// each request. Of more, a sample is.
	maxFullScan = 32
	// localSamples is the number of endpoints of the entry's own zone in a sample,
	// remoteSamples that of all zones.
	localSamples  = 10
	remoteSamples = 6
	// limitedSamples is the number of endpoints in a sample that limit their requests and
	// may be sent one. An entry may use few of these, so random ones seldom are.
	limitedSamples = 8
	// maxHolders bounds the endpoints that are remembered to cache a prompt part.
	maxHolders = 4
	// maxHeldParts bounds the prompt parts whose holders are remembered.
	maxHeldParts = 1 << 16
)

// maxCandidates is the size of a sample: the preferred endpoints, the holders, the random
// ones and those that limit their requests.
const maxCandidates = 2 + maxHolders + localSamples + remoteSamples + limitedSamples

// candidates are the endpoints compared for one request. Some may be listed twice.
type candidates struct {
	ends [maxCandidates]*endpoint
	num  int
}

func (cnd *candidates) add(end *endpoint) {
	if end != nil && cnd.num < len(cnd.ends) {
		cnd.ends[cnd.num] = end
		cnd.num++
	}
}

// addRandom adds consecutive endpoints of a list, from a random position on.
func (cnd *candidates) addRandom(ends []*endpoint, num int) {
	if len(ends) == 0 {
		return
	}
	at := rand.IntN(len(ends)) //nolint:gosec // need not be unpredictable
	for step := range min(num, len(ends)) {
		cnd.add(ends[(at+step)%len(ends)])
	}
}

// sample returns the candidates for a request: the preferred endpoints, those that
// have cached the longest shared part of the prompt, and random ones, by which the
// load is balanced.
func (grp *group) sample(que *Query, preferred [2]*endpoint, zone wick.Zone) candidates {
	var cnd candidates
	cnd.add(preferred[0])
	cnd.add(preferred[1])
	for _, end := range grp.holdersOf(que.Parts) {
		cnd.add(end)
	}
	cnd.addRandom(grp.byZone[zone], localSamples)
	cnd.addRandom(grp.all, remoteSamples)
	grp.addLimited(&cnd, que)
	return cnd
}

// addLimited adds endpoints that limit their requests and may be sent one soon, from a
// random position on.
func (grp *group) addLimited(cnd *candidates, que *Query) {
	if len(grp.limited) == 0 {
		return
	}
	at := rand.IntN(len(grp.limited)) //nolint:gosec // need not be unpredictable
	for step, num := 0, 0; step < len(grp.limited) && num < limitedSamples; step++ {
		end := grp.limited[(at+step)%len(grp.limited)]
		if end.wait(que.Now) <= que.MaxWait {
			cnd.add(end)
			num++
		}
	}
}

// holdersOf returns endpoints that have probably cached the longest known shared part
// of a prompt.
func (grp *group) holdersOf(parts []wick.PromptPart) []*endpoint {
	for idx := len(parts) - 2; idx >= 0; idx-- {
		if ends := grp.holders[parts[idx].ID]; len(ends) > 0 {
			return ends
		}
		if ends := grp.oldHolders[parts[idx].ID]; len(ends) > 0 {
			return ends
		}
	}
	return nil
}

// addHolder remembers that an endpoint caches the shared parts of a prompt.
func (grp *group) addHolder(end *endpoint, parts []wick.PromptPart) {
	if grp.holders == nil || len(grp.holders) > maxHeldParts/2 {
		grp.oldHolders, grp.holders = grp.holders, make(map[wick.PartID][]*endpoint)
	}
	for idx := 0; idx+1 < len(parts); idx++ {
		ends, ok := grp.holders[parts[idx].ID]
		if !ok {
			ends = grp.oldHolders[parts[idx].ID]
			grp.holders[parts[idx].ID] = ends
		}
		if contains(ends, end) {
			continue
		}
		if len(ends) == maxHolders {
			// The oldest holder is forgotten.
			copy(ends, ends[1:])
			ends[len(ends)-1] = end
			continue
		}
		grp.holders[parts[idx].ID] = append(ends, end)
	}
}

func contains(ends []*endpoint, end *endpoint) bool {
	for _, other := range ends {
		if other == end {
			return true
		}
	}
	return false
}
