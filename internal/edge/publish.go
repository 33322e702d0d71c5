package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/pace"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/internal/usage"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// restoreState loads the state that an earlier process of this entry published, before
// its record is overwritten.
func (edg *Edge) restoreState(ctx context.Context) {
	for failures := 0; ctx.Err() == nil; failures++ {
		rctx, cancel := context.WithTimeout(ctx, storeTimeout)
		rec, relayed, err := edg.roster.ReadOwn(rctx)
		cancel()
		if err == nil || errors.Is(err, wick.ErrNotFound) || errors.Is(err, wick.ErrInvalid) {
			edg.relayed.restore(relayed, time.Now())
			edg.restoreRecord(edg.ownFromPeers(ctx, edg.latestOwn(ctx, rec)))
			return
		}
		log.WithError(err).Debug("edge: failed to read own record")
		retry.Sleep(ctx, retry.Backoff(failures, allocationInterval, storeTimeout))
	}
}

// recordPollInterval is the time between two checks whether the records have been read.
const recordPollInterval = 50 * time.Millisecond

// latestOwn returns the newest record of an earlier process of this entry: the one of
// its own object, or one that another entry relayed.
func (edg *Edge) latestOwn(ctx context.Context, own roster.Record) roster.Record {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	for edg.members.LastSuccess().IsZero() && retry.Sleep(ctx, recordPollInterval) {
		continue
	}
	if rec, ok := edg.roster.Find(edg.cfg.ID); ok && rec.IsNewer(&own) {
		return rec
	}
	return own
}

// restoreRecord adopts the state of an earlier process.
func (edg *Edge) restoreRecord(rec roster.Record) {
	if rec.ID == "" {
		return
	}
	edg.tally.Restore(rec.Started)
	edg.initialCounts.restore(rec.InitialEndpoints)
	log.WithFields(logrus.Fields{"incarnation": rec.Incarnation, "windows": len(rec.Started)}).Info("edge: usage counts restored")
}

// publishLoop periodically publishes the entry's record, through the poller of its zone
// if that confirms it, and by itself otherwise.
func (edg *Edge) publishLoop(ctx context.Context) {
	edg.restoreState(ctx)
	for retry.Sleep(ctx, edg.publishInterval()) {
		edg.roster.Purge(time.Now(), recordTTL)
		rec := edg.record()
		if edg.sendRecord(ctx, &rec) {
			continue
		}
		if !edg.isLoadPoller() {
			edg.pool.AddPaces(edg.pool.TakePaces(), time.Now())
		}
		if err := edg.writeRecord(ctx, rec); err != nil {
			log.WithError(err).Debug("edge: failed to write own record")
		}
	}
}

// publishInterval returns the interval between two publications. Records that another
// entry relays go to it often, but each write of records is read and decoded by all
// entries.
func (edg *Edge) publishInterval() time.Duration {
	if _, ok := edg.relayTarget(); ok {
		return minMemberInterval
	}
	return edg.memberInterval()
}

// record returns the entry's present record.
func (edg *Edge) record() roster.Record {
	// It is computed before the counts are read, so that those of the windows up
	// to it are final.
	through := usage.FinalThrough(time.Now(), edg.cfg.Bounds.UsageWindow)
	peerAddr := ""
	if edg.peers.Load() != nil {
		peerAddr = edg.cfg.PeerAddr
	}
	now := time.Now()
	return roster.Record{
		ID: edg.cfg.ID, Incarnation: edg.cfg.Incarnation, Zone: edg.cfg.Zone, Peer: peerAddr,
		Beat: edg.heartbeat.Add(1), Leaving: edg.ready.draining.Load(),
		Demand: edg.quotas.book.Demand(now), Started: edg.tally.Counts(), CompleteThrough: through,
		Work: edg.pool.WorkRate(now), Requests: edg.pool.RequestRate(now), InitialEndpoints: edg.initialCounts.copy(),
		Engines: edg.pool.Engines(now), Occupied: edg.pool.Occupied(now), Evidence: edg.rollouts.evidence(), Crashes: edg.crashes.record(now),
	}
}

// publish writes the entry's present record.
func (edg *Edge) publish(ctx context.Context) error { return edg.writeRecord(ctx, edg.record()) }

// writeRecord writes the entry's record and those that it relays to the store.
func (edg *Edge) writeRecord(ctx context.Context, rec roster.Record) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	relayed := edg.relayed.collect(time.Now())
	if err := edg.roster.Publish(ctx, rec, relayed...); err != nil {
		return err //nolint:wrapcheck // our own package
	}
	edg.relayed.published(relayed)
	return nil
}

// relayMinEntries is the number of entries from which records are relayed. Fewer write
// them at little cost.
const relayMinEntries = 12

// relayTarget returns the entry that relays this one's records: the poller of its zone.
// It returns false if this entry writes them itself, which it also does during a rollout,
// since the evidence for the version is in them.
func (edg *Edge) relayTarget() (wick.Member, bool) {
	mems := edg.roster.Members(time.Now(), memberTimeout)
	if len(mems) < relayMinEntries || edg.ready.draining.Load() || edg.rollouts.anyInProgress() {
		return wick.Member{}, false
	}
	first, ok := edg.zonePoller(mems)
	return first, ok && first.ID != edg.cfg.ID && first.Address != ""
}

// A recordMessage carries the JSON of a record to the entry that relays it.
type recordMessage struct {
	Record []byte `cbor:"1,keyasint"`
	// Paces sums up the sender's streams since its last record.
	Paces map[wick.VMID]pace.Sample `cbor:"2,keyasint,omitempty"`
}

// A recordReply tells which record of the sender the store has last confirmed.
type recordReply struct {
	Incarnation wick.Incarnation `cbor:"1,keyasint,omitempty"`
	Beat        uint64           `cbor:"2,keyasint,omitempty"`
}

// maxUnconfirmedBeats is the number of records after the last confirmed one from which
// an entry writes its record itself.
const maxUnconfirmedBeats = 5

// sendRecord sends the record to the poller of the zone and reports whether the poller
// keeps publishing this entry's records.
func (edg *Edge) sendRecord(ctx context.Context, rec *roster.Record) bool {
	target, ok := edg.relayTarget()
	trn := edg.peers.Load()
	if !ok || trn == nil {
		return false
	}
	data, err := json.Marshal(rec)
	if err != nil {
		log.WithError(err).Error("edge: failed to encode own record")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
	defer cancel()
	var rep recordReply
	if err := trn.Call(ctx, target, wick.MsgRecord, recordMessage{data, edg.pool.TakePaces()}, &rep); err != nil {
		log.WithError(err).WithField("entry", target.ID).Debug("edge: record not relayed")
		return false
	}
	return rep.Incarnation == rec.Incarnation && rep.Beat+maxUnconfirmedBeats >= rec.Beat
}

// handleRecord keeps another entry's record for the next publication. The roster gets it
// from the store like those of all entries do: quotas are divided by what is published.
func (edg *Edge) handleRecord(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var msg recordMessage
	if err := peer.Decode(body, &msg); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	var rec roster.Record
	if err := json.Unmarshal(msg.Record, &rec); err != nil {
		return nil, eris.Wrapf(wick.ErrInvalid, "edge: record: %v", err)
	}
	if rec.ID != from {
		return nil, eris.Wrapf(wick.ErrInvalid, "edge: record of %s from %s", rec.ID, from)
	}
	edg.paces.add(msg.Paces)
	return edg.relayed.add(rec, time.Now()), nil
}
