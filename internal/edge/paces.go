package edge

import (
	"sync"

	"github.com/wagtailwick/wagtailwick/internal/pace"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxPaces bounds the endpoints whose samples an entry holds for its next notice.
const maxPaces = 4096

// zonePaces collects, at the poller of a zone, the samples of the streams of the zone's entries. Its zero value is ready to use.
type zonePaces struct {
	mu      sync.Mutex
	samples map[wick.VMID]pace.Sample
}

// add adds the samples of an entry.
func (zps *zonePaces) add(samples map[wick.VMID]pace.Sample) {
	zps.mu.Lock()
	defer zps.mu.Unlock()
	if zps.samples == nil {
		zps.samples = make(map[wick.VMID]pace.Sample)
	}
	for vid, smp := range samples {
		if sum, ok := zps.samples[vid]; ok || len(zps.samples) < maxPaces {
			sum.Merge(smp)
			zps.samples[vid] = sum
		}
	}
}

// takeAll returns the samples of the zone's entries, those of this one included, and
// removes them.
func (zps *zonePaces) takeAll(pl *pool.Pool) map[wick.VMID]pace.Sample {
	zps.add(pl.TakePaces())
	zps.mu.Lock()
	defer zps.mu.Unlock()
	out := zps.samples
	zps.samples = nil
	return out
}
