package edge

import (
	"context"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/pace"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// loadPollInterval is the time between two polls of the load of a busy endpoint,
	// and between two notices.
	loadPollInterval = 400 * time.Millisecond
	// idlePollInterval is the time between two polls of an endpoint that is not
	// busy.
	idlePollInterval = 1200 * time.Millisecond
	// busyShare is the fraction of occupied slots from which an endpoint is busy.
	busyShare = 0.25
	// loadPollTimeout bounds the poll of one endpoint.
	loadPollTimeout = 250 * time.Millisecond
	// maxConcurrentPolls bounds the endpoints that are polled concurrently.
	maxConcurrentPolls = 16
)

// A loadNotice tells the other entries what the poller of a zone knows: the load of
// its endpoints, and the registry and the plan as it read them.
type loadNotice struct {
	Loads []endpointLoad `cbor:"1,keyasint"`
	// Current is set if the poller has read the registry within registryMaxAge.
	Current bool `cbor:"2,keyasint,omitempty"`
	// Left lists the endpoints that were found leaving or removed in the last
	// seconds.
	Left []leavingEndpoint `cbor:"3,keyasint,omitempty"`
	// Plan is the version of the plan in force.
	Plan wick.PlanVersion `cbor:"4,keyasint,omitempty"`
	// Orders is the highest revision of a version order that was read.
	Orders wick.Revision `cbor:"5,keyasint,omitempty"`
	// Evacuated lists the availability zones that are evacuated.
	Evacuated []wick.Zone `cbor:"6,keyasint,omitempty"`
	// Unreachable lists the endpoints that did not answer their polls, of services with a
	// rate for cold endpoints.
	Unreachable []wick.VMID `cbor:"7,keyasint,omitempty"`
	// Paces sums up the streams of the entries in the poller's zone since its last notice.
	Paces map[wick.VMID]pace.Sample `cbor:"8,keyasint,omitempty"`
	// Moves is the highest revision of a move's record that was read.
	Moves wick.Revision `cbor:"9,keyasint,omitempty"`
	// Leader is set if the poller is a watch leader and its watches work.
	Leader bool `cbor:"10,keyasint,omitempty"`
}

// An endpointLoad is the load of one endpoint.
type endpointLoad struct {
	ID      wick.VMID   `cbor:"1,keyasint"`
	Running int         `cbor:"2,keyasint"`
	Waiting int         `cbor:"3,keyasint"`
	Next    wick.Tokens `cbor:"4,keyasint"`
	// Limit is the request rate that the endpoint allows all entries, if HasLimit is set.
	Limit    float64 `cbor:"5,keyasint,omitempty"`
	HasLimit bool    `cbor:"6,keyasint,omitempty"`
	// Cold is how much longer the endpoint is cold, if its service limits the requests to
	// cold endpoints.
	Cold time.Duration `cbor:"7,keyasint,omitempty"`
	// Short is set if less than shortMemoryShare of the memory is free: Free tokens.
	Short bool        `cbor:"8,keyasint,omitempty"`
	Free  wick.Tokens `cbor:"9,keyasint,omitempty"`
}

// shortMemoryShare is the share of free memory below which an endpoint's memory is published.
// Prompts and outputs take less than a tenth of an endpoint's memory each.
const shortMemoryShare = 0.25

// setMemory sets the free memory if it is short.
func (epl *endpointLoad) setMemory(load *wick.BackendLoad) {
	free := load.MemoryTotal - load.MemoryUsed
	if load.MemoryTotal > 0 && float64(free) < shortMemoryShare*float64(load.MemoryTotal) {
		epl.Short, epl.Free = true, max(free, 0)
	}
}

// isLoadPoller reports whether this entry is the one of its availability zone that
// polls endpoints.
func (edg *Edge) isLoadPoller() bool {
	first, ok := edg.zonePoller(edg.roster.Members(time.Now(), memberTimeout))
	return ok && first.ID == edg.cfg.ID
}

// zonePoller returns the entry that polls the endpoints of this availability zone.
func (edg *Edge) zonePoller(mems []wick.Member) (wick.Member, bool) {
	return place.First(string(edg.cfg.Zone), place.Within(edg.cfg.Zone, mems))
}

// applyLoads records the loads of a notice in the pool.
func (edg *Edge) applyLoads(ntc loadNotice) {
	now := time.Now()
	for _, vid := range ntc.Unreachable {
		// The endpoint may return at any time before its next poll.
		edg.pool.MarkUnreachable(vid, now.Add(2*loadPollInterval), now)
	}
	for _, load := range ntc.Loads {
		edg.pool.MarkCold(load.ID, now.Add(load.Cold), now)
		edg.pool.Report(load.ID, pool.Report{
			At: now, MemoryShort: load.Short, FreeMemory: load.Free, Load: wick.BackendLoad{
				Running: load.Running, Waiting: load.Waiting, NextTokens: load.Next,
				Limit: wick.RateLimit{Set: load.HasLimit, PerSecond: max(load.Limit, 0)},
			},
		})
	}
}

// handleLoadNotice applies another entry's notice.
func (edg *Edge) handleLoadNotice(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var ntc loadNotice
	if err := peer.Decode(body, &ntc); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	edg.applyLoads(ntc)
	edg.markLeft(from, ntc.Left)
	edg.notePlan(from, ntc.Plan)
	edg.noteOrders(from, ntc.Orders)
	edg.noteMoves(ntc.Moves)
	edg.pool.AddPaces(ntc.Paces, time.Now())
	edg.evacuations.compare(from, ntc.Evacuated, time.Now())
	if ntc.Current {
		edg.informants.heard(time.Now())
	}
	if ntc.Leader {
		edg.informants.heardLeader(time.Now())
	}
	return struct{}{}, nil
}
