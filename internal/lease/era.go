package lease

import "github.com/wagtailwick/wagtailwick/pkg/wick"

// observe records a value of the object unless a later one is known. The caller must
// hold mu.
func (lea *Lease) observe(rec Record, rev wick.Revision) {
	rises := rev.Era() > lea.rev.Era()
	lea.restored = lea.restored || rises && lea.observed
	lea.observed = true
	if rev <= lea.rev {
		return
	}
	now := lea.clk.Now()
	if rises {
		lea.eraSince = now
	}
	lea.rec, lea.rev, lea.observedAt = rec, rev, now
}

// firstEra is the highest era in which a store may begin.
const firstEra wick.Era = 1

// isNew reports whether the revision shows that no entry has ever held the lease. A record
// that a restored store lacks may be younger than its copy. The caller must hold mu.
func (lea *Lease) isNew(rev wick.Revision) bool {
	return rev.Number() == 0 && rev.Era() <= firstEra && !lea.restored
}

// isCurrent reports whether the record was written in the store's present era. The
// successors of an older one may be lost in a restore. The caller must hold mu.
func (lea *Lease) isCurrent() bool {
	return lea.rev.Number() != 0 && lea.rec.Era == lea.rev.Era()
}

// fenceBits is the number of bits of a fencing token below the era of its acquisition. It
// keeps tokens of eras up to 2^21 exact as JSON numbers.
const fenceBits = 32

// nextFence returns the fencing token of an acquisition. It is above all tokens of earlier
// eras, of which a restore may have discarded some. The caller must hold mu.
func (lea *Lease) nextFence() wick.Fence {
	return max(lea.rec.Fence, lea.fence, wick.Fence(lea.rev.Era())<<fenceBits) + 1
}

// mayWriteBack reports whether this entry may replace the record of a restored store by
// its own. Its lease must not have expired: until then no other entry acquires it, since
// each waits for the expiry from when it first read the restored record.
func (lea *Lease) mayWriteBack() bool {
	lea.mu.Lock()
	defer lea.mu.Unlock()
	return (lea.state == Held || lea.state == Suspect) && lea.unexpired() && (!lea.isCurrent() || lea.isOwn())
}
