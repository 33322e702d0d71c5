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
	// loadPollInterval is the time between two polls of the endpoints' load.
	loadPollInterval = 400 * time.Millisecond
	// loadPollTimeout bounds the poll of one endpoint.
	loadPollTimeout = 250 * time.Millisecond
	// maxConcurrentPolls bounds the endpoints that are polled concurrently.
	maxConcurrentPolls = 16
)

// A loadNotice announces the load of endpoints to other entries.
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

// loadLoop polls the load of the model endpoints in this entry's availability
// zone and notifies the other entries, if this entry is the poller of the zone.
func (edg *Edge) loadLoop(ctx context.Context) {
	for edg.cfg.Loads != nil && retry.Sleep(ctx, loadPollInterval) {
		if !edg.isLoadPoller() {
			continue
		}
		if ntc := edg.pollLoads(ctx); len(ntc.Loads) > 0 {
			edg.applyLoads(ntc)
			edg.notify(ctx, wick.MsgLoad, ntc, edg.reachablePeers())
		}
	}
}

// isLoadPoller reports whether this entry is the one of its availability zone that
// polls endpoints.
func (edg *Edge) isLoadPoller() bool {
	mems := place.Within(edg.cfg.Zone, edg.roster.Members(time.Now(), memberTimeout))
	first, ok := place.First(string(edg.cfg.Zone), mems)
	return ok && first.ID == edg.cfg.ID
}

// pollLoads polls the model endpoints of this availability zone.
func (edg *Edge) pollLoads(ctx context.Context) loadNotice {
	var ntc loadNotice
	tbl := edg.plans.Load()
	if tbl == nil {
		return ntc
	}
	var mu sync.Mutex
	var grp errgroup.Group
	grp.SetLimit(maxConcurrentPolls)
	for idx := range tbl.Plan.Services {
		if !tbl.Plan.Services[idx].Model {
			continue
		}
		for _, bke := range edg.pool.Backends(tbl.Plan.Services[idx].Name) {
			if bke.Zone != edg.cfg.Zone {
				continue
			}
			grp.Go(func() error {
				ctx, cancel := context.WithTimeout(ctx, loadPollTimeout)
				defer cancel()
				load, err := edg.cfg.Loads.ReadLoad(ctx, bke)
				if err != nil {
					log.WithError(err).WithField("endpoint", bke.ID).Debug("edge: failed to poll load")
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

// applyLoads records the loads of a notice in the pool.
func (edg *Edge) applyLoads(ntc loadNotice) {
	now := time.Now()
	for _, load := range ntc.Loads {
		edg.pool.Report(load.ID, pool.Report{
			At: now, Load: wick.BackendLoad{Running: load.Running, Waiting: load.Waiting, NextTokens: load.Next},
		})
	}
}

// handleLoadNotice applies another entry's notice.
func (edg *Edge) handleLoadNotice(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
	var ntc loadNotice
	if err := peer.Decode(body, &ntc); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	edg.applyLoads(ntc)
	return struct{}{}, nil
}
