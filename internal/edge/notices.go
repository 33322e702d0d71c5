package edge

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

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
	trn := edg.peers.Load()
	if trn == nil || len(ends) == 0 {
		return
	}
	var grp errgroup.Group
	grp.SetLimit(noticeCalls)
	for _, rec := range edg.roster.Alive(time.Now(), quotaMemory, false) {
		if rec.ID == edg.cfg.ID || rec.Peer == "" {
			continue
		}
		grp.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, noticeTimeout)
			defer cancel()
			if err := trn.Call(ctx, rec.Member(), wick.MsgLeaving, leavingNotice{Endpoints: ends}, nil); err != nil {
				log.WithError(err).WithField("entry", rec.ID).Debug("edge: notice not delivered")
			}
			return nil
		})
	}
	_ = grp.Wait() // the calls return no errors
}

// takeLeaving takes another entry's notice.
func (edg *Edge) takeLeaving(_ context.Context, from wick.EntryID, body []byte) (any, error) {
	var ntc leavingNotice
	if err := peer.Decode(body, &ntc); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	for _, end := range ntc.Endpoints {
		if edg.pool.Leave(end.ID, end.Born) {
			log.WithField("endpoint", end.ID).WithField("from", from).Info("edge: endpoint leaves, says another entry")
		}
	}
	return struct{}{}, nil
}
