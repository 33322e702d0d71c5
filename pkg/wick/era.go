package wick

// An Era counts the restores of a platform's store from an older copy. A restore
// discards the newest writes, and the store assigns their revisions again. Zero is the
// era of a store that is never restored.
type Era uint32

// eraShift is the number of bits of a Revision below its era.
const eraShift = 44

// Revision returns the revision to which the store assigned num in the era.
func (era Era) Revision(num uint64) Revision {
	return Revision(uint64(era)<<eraShift | num&(1<<eraShift-1))
}

// Era returns the era in which the revision was assigned. Every revision of a later
// era is greater.
func (rev Revision) Era() Era { return Era(rev >> eraShift) }

// Number returns the store's own number of the revision, unique within its era.
func (rev Revision) Number() uint64 { return uint64(rev) & (1<<eraShift - 1) }
