package edge

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// reportEvery is how often the load of the endpoints is read.
	reportEvery = 400 * time.Millisecond
	// reportTimeout bounds the reading of one endpoint.
	reportTimeout = 250 * time.Millisecond
	// reportCalls bounds the endpoints that are read at once.
	reportCalls = 16
)

// A loadNotice tells other entries the load of endpoints.
type loadNotice struct {
	Loads []endpointLoad `cbor:"1,keyasint"`
}

// An endpointLoad is the load of one endpoint.
type endpointLoad struct {
	ID      wick.VMID   `cbor:"1,keyasint"`
	Running int         `cbor:"2,keyasint"`
	Waiting int         `cbor:"3,keyasint"`
	Next    wick.Tokens `cbor:"4,keyasint"`
}

// reportLoop reads the load of the model endpoints in this entry's zone, if it
// is the one entry of the zone to do so, and tells the others.
func (edg *Edge) reportLoop(ctx context.Context) {
	for edg.cfg.Loads != nil && retry.Sleep(ctx, reportEvery) {
		if !edg.readsLoads() {
			continue
		}
		if ntc := edg.readLoads(ctx); len(ntc.Loads) > 0 {
			edg.applyLoads(ntc)
			edg.notify(ctx, wick.MsgLoad, ntc, edg.others())
		}
	}
}

// readsLoads reports whether this entry is the one of its zone that reads.
func (edg *Edge) readsLoads() bool {
	mems := place.Within(edg.cfg.Zone, edg.roster.Members(time.Now(), quotaMemory))
	first, ok := place.First(string(edg.cfg.Zone), mems)
	return ok && first.ID == edg.cfg.ID
}

// readLoads reads the endpoints of this zone.
func (edg *Edge) readLoads(ctx context.Context) loadNotice {
	var ntc loadNotice
	tbl := edg.plans.Load()
	if tbl == nil {
		return ntc
	}
	var mu sync.Mutex
	var grp errgroup.Group
	grp.SetLimit(reportCalls)
	for idx := range tbl.Plan.Services {
		if !tbl.Plan.Services[idx].Model {
			continue
		}
		for _, bke := range edg.pool.Backends(tbl.Plan.Services[idx].Name) {
			if bke.Zone != edg.cfg.Zone {
				continue
			}
			grp.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, reportTimeout)
				defer cancel()
				load, err := edg.cfg.Loads.ReadLoad(ctx, bke)
				if err != nil {
					log.WithError(err).WithField("endpoint", bke.ID).Debug("edge: load not read")
					return nil
				}
				mu.Lock()
				defer mu.Unlock()
				ntc.Loads = append(ntc.Loads, endpointLoad{bke.ID, load.Running, load.Waiting, load.NextTokens})
				return nil
			})
		}
	}
	_ = grp.Wait() // the calls return no errors
	return ntc
}

// applyLoads gives loads to the pool.
func (edg *Edge) applyLoads(ntc loadNotice) {
	now := time.Now()
	for _, one := range ntc.Loads {
		edg.pool.Report(one.ID, pool.Report{
			At: now, Load: wick.BackendLoad{Running: one.Running, Waiting: one.Waiting, NextTokens: one.Next},
		})
	}
}

// takeLoads takes another entry's notice.
func (edg *Edge) takeLoads(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
	var ntc loadNotice
	if err := peer.Decode(body, &ntc); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	edg.applyLoads(ntc)
	return struct{}{}, nil
}
