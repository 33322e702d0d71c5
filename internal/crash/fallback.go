package crash

// Fallbacks counts how often a bound on what is kept was reached, and less exact evidence was
// kept in place of what exceeds it.
type Fallbacks struct {
	// MergedPrompts counts prompts that are kept in one digest with others of their crash.
	MergedPrompts uint64 `json:"mergedPrompts"`
	// SampledSets counts sets of parts of which a sample was examined or blocked.
	SampledSets uint64 `json:"sampledSets"`
	// UncomparedDigests counts digests that were not compared with the parts known by name.
	UncomparedDigests uint64 `json:"uncomparedDigests"`
	// FullDigests counts prompts without evidence, since too many others are in their digest.
	FullDigests uint64 `json:"fullDigests"`
	// UnsentSurvivals counts survivals, and parts of such, that were not sent to other entries.
	UnsentSurvivals uint64 `json:"unsentSurvivals"`
	// ForgottenSurvivals counts parts whose last survival is no longer known.
	ForgottenSurvivals uint64 `json:"forgottenSurvivals"`
	// ForgottenEndings and ForgottenBlocks count crashes and blocks that gave way to newer ones.
	ForgottenEndings uint64 `json:"forgottenEndings"`
	ForgottenBlocks  uint64 `json:"forgottenBlocks"`
}

// Fallbacks returns how often a bound was reached.
func (trk *Tracker) Fallbacks() Fallbacks {
	trk.mu.Lock()
	defer trk.mu.Unlock()
	out := trk.fallbacks
	out.ForgottenSurvivals = trk.survived.Forgotten()
	return out
}
