package edge

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// catchUpFanout is the number of random entries that an entry asks.
	catchUpFanout = 5
	// catchUpWait bounds how long an entry that starts waits until it can ask others.
	catchUpWait = time.Second
)

// A catchUpRequest asks another entry for what the store may have lost in a restore.
type catchUpRequest struct {
	// Plan is the version that the sender has, 0 for none.
	Plan wick.PlanVersion `cbor:"1,keyasint,omitempty"`
	// Record asks for the record that an earlier process of the sender published.
	Record bool `cbor:"2,keyasint,omitempty"`
}

// A catchUpReply holds what an entry knows and the store may have lost.
type catchUpReply struct {
	// Plan is the name and the data of the plan's object if it is newer than that of the
	// sender.
	Plan     string `cbor:"1,keyasint,omitempty"`
	PlanData []byte `cbor:"2,keyasint,omitempty"`
	// Left holds the endpoints that are known to leave or to have left.
	Left []leavingEndpoint `cbor:"3,keyasint,omitempty"`
	// Record is the JSON of the sender's own record, if the request asks for it.
	Record []byte `cbor:"4,keyasint,omitempty"`
	// Held lists the evacuated zones that a restore of the store has lost, which stay
	// evacuated for HeldFor.
	Held    []wick.Zone   `cbor:"5,keyasint,omitempty"`
	HeldFor time.Duration `cbor:"6,keyasint,omitempty"`
}

// A planObject is the object of the plan in force. Its zero value is ready to use.
type planObject struct {
	mu  sync.Mutex
	ver wick.PlanVersion
	obj wick.Object
}

// set keeps the object of a plan unless it has one of a newer plan.
func (plo *planObject) set(ver wick.PlanVersion, obj wick.Object) {
	plo.mu.Lock()
	defer plo.mu.Unlock()
	if ver >= plo.ver {
		plo.ver, plo.obj = ver, obj
	}
}

// newer returns the object if its plan is newer than a version.
func (plo *planObject) newer(ver wick.PlanVersion) (wick.Object, bool) {
	plo.mu.Lock()
	defer plo.mu.Unlock()
	return plo.obj, plo.ver > ver
}

// handleCatchUp replies with what this entry knows and the store may have lost.
func (edg *Edge) handleCatchUp(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var req catchUpRequest
	if err := peer.Decode(body, &req); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	var rep catchUpReply
	if obj, ok := edg.planObject.newer(req.Plan); ok {
		rep.Plan, rep.PlanData = obj.Key.Name, obj.Data
	}
	rep.Held, rep.HeldFor = edg.evacuations.held(time.Now())
	for _, inc := range edg.pool.Left() {
		rep.Left = append(rep.Left, leavingEndpoint{ID: inc.ID, Born: inc.Born})
	}
	if rec, ok := edg.roster.Find(from); ok && req.Record {
		data, err := json.Marshal(rec)
		if err != nil {
			return nil, eris.Wrap(err, "edge: encode record")
		}
		rep.Record = data
	}
	return rep, nil
}

// catchUp asks other entries for what the store may have lost, and adopts it.
func (edg *Edge) catchUp(ctx context.Context, from []wick.Member) {
	var req catchUpRequest
	if tbl := edg.plans.Load(); tbl != nil {
		req.Plan = tbl.Plan.Version
	}
	edg.askCatchUp(ctx, from, req, edg.adoptCatchUp)
}

// askCatchUp sends a request to entries concurrently and passes on their replies, one at a
// time.
func (edg *Edge) askCatchUp(ctx context.Context, from []wick.Member, req catchUpRequest, handle func(from wick.EntryID, rep *catchUpReply)) {
	trn := edg.peers.Load()
	if trn == nil {
		return
	}
	var mu sync.Mutex
	var grp errgroup.Group
	for _, mem := range from {
		grp.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			var rep catchUpReply
			if err := trn.Call(ctx, mem, wick.MsgCatchUp, req, &rep); err != nil {
				log.WithError(err).WithField("entry", mem.ID).Debug("edge: failed to catch up with another entry")
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			handle(mem.ID, &rep)
			return nil
		})
	}
	_ = grp.Wait() // the calls return no errors
}

// adoptCatchUp adopts the reply of another entry.
func (edg *Edge) adoptCatchUp(from wick.EntryID, rep *catchUpReply) {
	edg.markLeft(from, rep.Left)
	edg.evacuations.adoptHeld(rep.Held, rep.HeldFor, time.Now())
	if rep.Plan == "" {
		return
	}
	log.WithFields(logrus.Fields{logs.FieldFrom: from}).Debug("edge: plan received from another entry")
	edg.adoptPlan(wick.Object{Key: wick.ObjectKey{Kind: edg.cfg.Kinds.Plan, Name: rep.Plan}, Data: rep.PlanData})
}

// randomPeers returns some of the other live entries.
func (edg *Edge) randomPeers() []wick.Member {
	out := edg.reachablePeers()
	rand.Shuffle(len(out), func(idx, jdx int) { out[idx], out[jdx] = out[jdx], out[idx] })
	return out[:min(catchUpFanout, len(out))]
}

// catchUpAtStart lets an entry that starts learn the newest plan before it adopts the one in
// the store, which may have been restored from an older copy.
func (edg *Edge) catchUpAtStart(ctx context.Context) {
	if edg.awaitPeers(ctx) {
		edg.catchUp(ctx, edg.randomPeers())
	}
}

// awaitPeers waits until an entry that starts can ask others. It returns false if it can't
// within catchUpWait.
func (edg *Edge) awaitPeers(ctx context.Context) bool {
	if edg.cfg.PeerAddr == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpWait)
	defer cancel()
	for edg.members.LastSuccess().IsZero() || edg.peers.Load() == nil && len(edg.reachablePeers()) > 0 {
		if !retry.Sleep(ctx, recordPollInterval) {
			return false
		}
	}
	return true
}

// ownFromPeers returns the newest record of an earlier process of this entry: the given one
// or one that other entries remember.
func (edg *Edge) ownFromPeers(ctx context.Context, own roster.Record) roster.Record {
	if !edg.awaitPeers(ctx) {
		return own
	}
	edg.askCatchUp(ctx, edg.randomPeers(), catchUpRequest{Record: true, Plan: math.MaxInt64}, func(from wick.EntryID, rep *catchUpReply) {
		var rec roster.Record
		if len(rep.Record) == 0 {
			return
		}
		if err := json.Unmarshal(rep.Record, &rec); err != nil {
			log.WithError(err).WithField(logs.FieldFrom, from).Warn("edge: cannot decode own record of another entry")
			return
		}
		if rec.ID == edg.cfg.ID && rec.Incarnation < edg.cfg.Incarnation && rec.IsNewer(&own) {
			own = rec
		}
	})
	return own
}
