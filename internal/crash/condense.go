package crash

import (
	"slices"
	"strconv"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// The number of parts of a prompt is not bounded, but what is compared is: parts that the
// evidence can't distinguish, or that were present at a single crash, are left out.

// maxComparedDigests digests of the newest crashes are compared with the parts that are known by name.
const maxComparedDigests = 64

// A namedPart is a part with its hash.
type namedPart struct {
	part wick.PartID
	hash partHash
}

// addNamed adds to the prompts that are given by digests the parts that others of the evidence
// name, and one that stands for the parts without a name. trk.mu must be held.
func (trk *Tracker) addNamed(evi []suspicion) {
	var names []namedPart
	compared := 0
	for idx := len(evi) - 1; idx >= 0; idx-- {
		sus := &evi[idx]
		for jdx := range sus.prompts {
			pro := &sus.prompts[jdx]
			if len(pro.Digest) == 0 {
				continue
			}
			if compared++; compared > maxComparedDigests {
				trk.fallbacks.UncomparedDigests++
				continue
			}
			if names == nil {
				names = namedParts(evi)
			}
			trk.addNamedTo(pro, names, sus.at)
		}
	}
}

// namedParts returns the parts of the prompts that are given in full.
func namedParts(evi []suspicion) []namedPart {
	var out []namedPart
	for idx := range evi {
		for jdx := range evi[idx].prompts {
			pro := &evi[idx].prompts[jdx]
			if len(pro.Digest) > 0 {
				continue
			}
			for _, part := range pro.Shared {
				out = append(out, namedPart{part, hashPart(part)})
			}
		}
	}
	return out
}

// addNamedTo adds to a prompt the named parts that its digest has and that no endpoint has
// survived since a crash. trk.mu must be held.
func (trk *Tracker) addNamedTo(pro *Prompt, names []namedPart, at time.Time) {
	out := slices.Clone(pro.Shared)
	for _, nam := range names {
		if pro.Digest.hasHash(nam.hash) && !trk.hasSurvived(nam.part, at) {
			out = append(out, nam.part)
		}
	}
	out = append(out, wick.PartID("?"+string(pro.Own)+"@"+strconv.FormatInt(at.UnixNano(), 36)))
	slices.Sort(out)
	pro.Shared = slices.Compact(out)
}

// An occurrence is where a part was present.
type occurrence struct {
	// crashes is the number of crashes, last the index of the last one.
	crashes, last int
	// separate is the number of crashes at least crashSpacing apart, countedAt the last one.
	separate  int
	countedAt time.Time
	// prompts is a hash of the prompts that have the part.
	prompts uint64
}

// add adds a prompt of a crash, given by their positions in the evidence.
func (occ *occurrence) add(crash int, prompt uint64, at time.Time) {
	const prime = 1099511628211 // of FNV-1a, 64 bits
	occ.prompts = (occ.prompts ^ prompt) * prime
	if occ.crashes == 0 || occ.last != crash {
		occ.crashes, occ.last = occ.crashes+1, crash
	}
	if occ.separate == 0 || at.Sub(occ.countedAt) >= crashSpacing {
		occ.separate, occ.countedAt = occ.separate+1, at
	}
}

// occurrences returns where each part was present.
func occurrences(evi []suspicion) map[wick.PartID]*occurrence {
	out := make(map[wick.PartID]*occurrence)
	num := uint64(0)
	for idx := range evi {
		for jdx := range evi[idx].prompts {
			num++
			for _, part := range evi[idx].prompts[jdx].Shared {
				occ := out[part]
				if occ == nil {
					occ = &occurrence{}
					out[part] = occ
				}
				occ.add(idx, num, evi[idx].at)
			}
		}
	}
	return out
}

// condense returns the evidence without what does not change its evaluation: of the parts at a
// single crash each prompt keeps one, crashes without a part in common with another one are
// left out, and of the parts that the same prompts have at most maxListed remain. The newest
// maxEvidence crashes count. trk.mu must be held.
func (trk *Tracker) condense(evi []suspicion, occs map[wick.PartID]*occurrence) []suspicion {
	surplus := trk.surplusParts(occs)
	var out []suspicion
	for idx := range evi {
		sus := suspicion{at: evi[idx].at}
		isCommon := false
		for jdx := range evi[idx].prompts {
			pro := &evi[idx].prompts[jdx]
			kept, common := keepCommon(pro.Shared, occs, surplus)
			isCommon = isCommon || common
			sus.prompts = append(sus.prompts, Prompt{Shared: kept, Own: pro.Own})
		}
		if isCommon {
			out = append(out, sus)
		}
	}
	return out[max(len(out)-maxEvidence, 0):]
}

// keepCommon returns the parts of a set that were present at several crashes and are not
// surplus, and one of the others. It reports whether there are any of the former.
func keepCommon(prt Parts, occs map[wick.PartID]*occurrence, surplus map[wick.PartID]bool) (Parts, bool) {
	var out Parts
	single, common := false, false
	for _, part := range prt {
		if occs[part].crashes == 1 {
			if !single {
				out = append(out, part)
			}
			single = true
			continue
		}
		common = true
		if !surplus[part] {
			out = append(out, part)
		}
	}
	return out, common
}

// surplusParts returns parts that the evidence can't distinguish from maxListed others. trk.mu must be
// held.
func (trk *Tracker) surplusParts(occs map[wick.PartID]*occurrence) map[wick.PartID]bool {
	classes := make(map[uint64]Parts)
	for part, occ := range occs {
		if occ.crashes > 1 {
			classes[occ.prompts] = append(classes[occ.prompts], part)
		}
	}
	out := make(map[wick.PartID]bool)
	for _, class := range classes {
		if len(class) <= maxListed {
			continue
		}
		trk.fallbacks.SampledSets++
		slices.Sort(class)
		for _, part := range class.without(class.sample()) {
			out[part] = true
		}
	}
	return out
}
