package entry

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestIsDue guards against endpoints whose load reports go stale between
// reads, and against a read rate that grows with the number of endpoints.
func TestIsDue(t *testing.T) {
	for _, tc := range []struct{ watched, gap, most int }{{1, 1, 1}, {16, 1, 16}, {17, 2, 17}, {64, 4, 32}} {
		t.Run(strconv.Itoa(tc.watched), func(t *testing.T) {
			last := make(map[int]uint64)
			for round := uint64(1); round <= 20; round++ {
				reads := 0
				for num := range tc.watched {
					if isDue(wick.VMID(fmt.Sprint("vm", num)), round, tc.watched) {
						reads++
						last[num] = round
					}
					if round-last[num] >= uint64(tc.gap) {
						t.Fatalf("vm%d not read for %d rounds", num, round-last[num])
					}
				}
				if reads > tc.most {
					t.Errorf("%d reads in a round, want at most %d", reads, tc.most)
				}
			}
		})
	}
	if gap := maxStride * reportInterval; gap > 2*time.Second {
		t.Errorf("reports are read every %v, too close to the 3 s after which they are stale", gap)
	}
}

// TestReportReads guards against concurrent reads of a slow endpoint.
func TestReportReads(t *testing.T) {
	rds := &reportReads{inFlight: make(map[wick.VMID]bool)}
	if !rds.begin("vm1") || rds.begin("vm1") || !rds.begin("vm2") {
		t.Error("want exactly one read in flight per endpoint")
	}
	rds.end("vm1")
	if !rds.begin("vm1") {
		t.Error("no read is allowed after the previous one ended")
	}
}
