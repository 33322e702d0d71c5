package wick_test

import (
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestRevisionEra guards against a read after a restore of the store that is ignored as
// an old one, because the store's revisions went back.
func TestRevisionEra(t *testing.T) {
	for _, tst := range []struct {
		era wick.Era
		num uint64
	}{{0, 7}, {1, 7}, {3, 1<<44 - 1}} {
		rev := tst.era.Revision(tst.num)
		if rev.Era() != tst.era || rev.Number() != tst.num {
			t.Errorf("%d.Revision(%d) = era %d, number %d", tst.era, tst.num, rev.Era(), rev.Number())
		}
	}
	if before, after := wick.Era(1).Revision(900), wick.Era(2).Revision(100); after <= before {
		t.Errorf("revision %d of a later era is not greater than %d", after, before)
	}
}
