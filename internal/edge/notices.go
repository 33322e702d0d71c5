package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// noticeTimeout bounds the delivery of a notice to one entry. Delivery is best
	// effort: an entry that misses a notice reads the same from the store.
	noticeTimeout = 300 * time.Millisecond
	// maxConcurrentNotices bounds the notices in flight.
	maxConcurrentNotices = 16
)

// A leavingNotice announces endpoints that are leaving.
type leavingNotice struct {
	Endpoints []leavingEndpoint `cbor:"1,keyasint"`
}

// A leavingEndpoint identifies an endpoint by its id and start time.
type leavingEndpoint struct {
	ID   wick.VMID `cbor:"1,keyasint"`
	Born int64     `cbor:"2,keyasint"`
	// Gone is set if the endpoint was removed from the registry without having been
	// listed as leaving. It may be listed again.
	Gone bool `cbor:"3,keyasint,omitempty"`
}

// broadcastLeaving notifies the other entries of leaving endpoints. The entries
// read the registry at different times, so the notice of the first reader
// shortens the delay for the others.
func (edg *Edge) broadcastLeaving(ctx context.Context, ends []leavingEndpoint) {
	edg.notify(ctx, wick.MsgLeaving, leavingNotice{Endpoints: ends}, edg.reachablePeers())
}

// announceLeaving tells the other entries of an endpoint that has signalled in an answer or
// a report that it leaves.
func (edg *Edge) announceLeaving(bke wick.Backend) {
	log.WithField(logs.FieldEndpoint, bke.ID).Info(logs.MsgEndpointLeavingAnswered)
	ends := []leavingEndpoint{{ID: bke.ID, Born: bke.Born}}
	edg.informants.left(ends, time.Now())
	go edg.broadcastLeaving(context.Background(), ends)
}

// reachablePeers returns the other live entries that have a peer address.
func (edg *Edge) reachablePeers() []wick.Member {
	var out []wick.Member
	for _, mem := range edg.roster.Members(time.Now(), memberTimeout) {
		if mem.ID != edg.cfg.ID && mem.Address != "" {
			out = append(out, mem)
		}
	}
	return out
}

// notify sends a message to entries concurrently, best effort, and waits for the
// calls to end.
func (edg *Edge) notify(ctx context.Context, typ wick.MessageType, body any, to []wick.Member) {
	trn := edg.peers.Load()
	if trn == nil {
		return
	}
	var grp errgroup.Group
	grp.SetLimit(maxConcurrentNotices)
	for _, mem := range to {
		grp.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			if err := trn.Call(ctx, mem, typ, body, nil); err != nil {
				log.WithError(err).WithFields(logrus.Fields{"entry": mem.ID, "type": typ}).Debug("edge: failed to deliver notice")
			}
			return nil
		})
	}
	_ = grp.Wait() // the calls return no errors
}

// planFanout is the number of random entries that are notified of a new plan.
const planFanout = 3

// A planNotice announces a version of the plan.
type planNotice struct {
	Version wick.PlanVersion `cbor:"1,keyasint"`
}

// gossipPlan notifies random entries of a new plan, in case the connection of
// their watch is dead.
func (edg *Edge) gossipPlan(ctx context.Context, ver wick.PlanVersion) {
	to := edg.reachablePeers()
	rand.Shuffle(len(to), func(idx, jdx int) { to[idx], to[jdx] = to[jdx], to[idx] })
	edg.notify(ctx, wick.MsgBundlePush, planNotice{Version: ver}, to[:min(planFanout, len(to))])
}

// handlePlanNotice makes the entry reread the plan if another entry has a newer
// one.
func (edg *Edge) handlePlanNotice(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var ntc planNotice
	if err := peer.Decode(body, &ntc); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	edg.notePlan(from, ntc.Version)
	return struct{}{}, nil
}

// handleLeavingNotice marks the endpoints of another entry's notice as leaving.
func (edg *Edge) handleLeavingNotice(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var ntc leavingNotice
	if err := peer.Decode(body, &ntc); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	edg.markLeft(from, ntc.Endpoints)
	return struct{}{}, nil
}

// goneTime is how long an endpoint that another entry found removed gets no requests.
// Within it this entry reads the removal itself, if the endpoint is not listed again.
const goneTime = 3 * time.Second

// markLeft marks endpoints that another entry found leaving or removed.
func (edg *Edge) markLeft(from wick.EntryID, ends []leavingEndpoint) {
	for _, end := range ends {
		if end.Gone {
			edg.pool.MarkGone(end.ID, end.Born, time.Now().Add(goneTime))
			continue
		}
		if edg.pool.MarkLeaving(end.ID, end.Born, time.Now()) {
			log.WithField(logs.FieldEndpoint, end.ID).WithField(logs.FieldFrom, from).Info(logs.MsgEndpointLeavingReported)
		}
	}
}

// noteOrders rereads the version orders if another entry has read a newer one and this
// entry's own watch doesn't show it.
func (edg *Edge) noteOrders(from wick.EntryID, rev wick.Revision) {
	if !edg.informants.mayRelistOrders(rev, edg.rollouts.newestRevision(), time.Now()) {
		return
	}
	log.WithFields(logrus.Fields{"revision": rev, logs.FieldFrom: from}).Info("edge: another entry has a newer version order")
	edg.orders.Relist()
}

// noteMoves rereads the records of moves if another entry has read a newer one, while a version
// is being moved.
func (edg *Edge) noteMoves(rev wick.Revision) {
	if edg.rollouts.anyInProgress() && edg.informants.mayRelistMoves(rev, edg.rollouts.newestMoveRevision(), time.Now()) {
		edg.moves.Relist()
	}
}

// notePlan rereads the plan if another entry has a newer one, and asks that entry for it: a
// store that was restored may not have it.
func (edg *Edge) notePlan(from wick.EntryID, ver wick.PlanVersion) {
	if tbl := edg.plans.Load(); tbl != nil && tbl.Plan.Version >= ver || !edg.informants.mayRelist(ver, time.Now()) {
		return
	}
	log.WithFields(logrus.Fields{"plan": ver, logs.FieldFrom: from}).Info("edge: another entry has a newer plan")
	edg.config.Relist()
	if rec, ok := edg.roster.Find(from); ok && rec.Peer != "" {
		go edg.catchUp(context.Background(), []wick.Member{rec.Member()})
	}
}
