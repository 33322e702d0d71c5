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
	// noticeTimeout bounds a notice to one entry. An entry that misses it reads
	// the registry itself.
	noticeTimeout = 300 * time.Millisecond
	// noticeCalls bounds the notices that are sent at once.
	noticeCalls = 16
)

// A leavingNotice tells other entries which endpoints leave.
type leavingNotice struct {
	Endpoints []leavingEndpoint `cbor:"1,keyasint"`
}

// A leavingEndpoint is one start of an endpoint.
type leavingEndpoint struct {
	ID   wick.VMID `cbor:"1,keyasint"`
	Born int64     `cbor:"2,keyasint"`
}

// spreadLeaving tells the other entries of endpoints that leave. The entries
// read the registry at different times, so the first one to know saves the
// others the wait.
func (edg *Edge) spreadLeaving(ctx context.Context, ends []leavingEndpoint) {
	edg.notify(ctx, wick.MsgLeaving, leavingNotice{Endpoints: ends}, edg.others())
}

// others returns the other entries that take messages.
func (edg *Edge) others() []wick.Member {
	var out []wick.Member
	for _, mem := range edg.roster.Members(time.Now(), quotaMemory) {
		if mem.ID != edg.cfg.ID && mem.Address != "" {
			out = append(out, mem)
		}
	}
	return out
}

// notify sends a message to entries. One that misses it learns the same from
// the store.
func (edg *Edge) notify(ctx context.Context, typ wick.MessageType, body any, to []wick.Member) {
	trn := edg.peers.Load()
	if trn == nil {
		return
	}
	var grp errgroup.Group
	grp.SetLimit(noticeCalls)
	for _, mem := range to {
		grp.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			if err := trn.Call(ctx, mem, typ, body, nil); err != nil {
				log.WithError(err).WithFields(logrus.Fields{"entry": mem.ID, "type": typ}).Debug("edge: notice not delivered")
			}
			return nil
		})
	}
	_ = grp.Wait() // the calls return no errors
}

// planGossip is the number of entries that an entry tells of a new plan.
const planGossip = 3

// A planNotice tells that a version of the plan is in force.
type planNotice struct {
	Version wick.PlanVersion `cbor:"1,keyasint"`
}

// spreadPlan tells some entries of a new plan, in case their watch is silent.
func (edg *Edge) spreadPlan(ctx context.Context, ver wick.PlanVersion) {
	to := edg.others()
	rand.Shuffle(len(to), func(idx, jdx int) { to[idx], to[jdx] = to[jdx], to[idx] })
	edg.notify(ctx, wick.MsgBundlePush, planNotice{Version: ver}, to[:min(planGossip, len(to))])
}

// takePlan reads the plan again if another entry has a newer one.
func (edg *Edge) takePlan(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var ntc planNotice
	if err := peer.Decode(body, &ntc); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	if tbl := edg.plans.Load(); tbl == nil || tbl.Plan.Version < ntc.Version {
		log.WithFields(logrus.Fields{"plan": ntc.Version, "from": from}).Info("edge: another entry has a newer plan")
		edg.config.Kick()
	}
	return struct{}{}, nil
}

// takeLeaving takes another entry's notice.
func (edg *Edge) takeLeaving(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var ntc leavingNotice
	if err := peer.Decode(body, &ntc); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	for _, end := range ntc.Endpoints {
		if edg.pool.Leave(end.ID, end.Born) {
			log.WithField(logs.FieldEndpoint, end.ID).WithField("from", from).Info(logs.MsgLeavesSaid)
		}
	}
	return struct{}{}, nil
}
