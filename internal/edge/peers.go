package edge

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/certs"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// authorityRetryInterval is the time between attempts to start the peer
// transport. It also bounds the transport's shutdown.
const authorityRetryInterval = 500 * time.Millisecond

// peerLoop starts the peer transport, with retries, and closes it when ctx is
// cancelled. Until it is started, the entry serves without peers. The transport is started
// anew if another authority is in force.
func (edg *Edge) peerLoop(ctx context.Context) {
	for edg.cfg.PeerAddr != "" {
		trn, aut, err := edg.startTransport(ctx)
		if err == nil {
			edg.peers.Store(trn)
			err = edg.keepAuthority(ctx, aut)
			edg.closeTransport(ctx, trn)
		}
		if err == nil {
			return
		}
		log.WithError(err).Debug("edge: no peer transport")
		if !retry.Sleep(ctx, authorityRetryInterval) {
			return
		}
	}
}

// closeTransport closes the peer transport.
func (edg *Edge) closeTransport(ctx context.Context, trn *peer.Transport) {
	edg.peers.CompareAndSwap(trn, nil)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), authorityRetryInterval)
	defer cancel()
	if err := trn.Close(ctx); err != nil {
		log.WithError(err).Debug("edge: failed to close peer transport")
	}
}

// startTransport starts the peer transport with a newly issued certificate, and returns the
// authority that issued it.
func (edg *Edge) startTransport(ctx context.Context) (*peer.Transport, *certs.Authority, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	aut, err := edg.loadAuthority(ctx)
	if err != nil {
		return nil, nil, err
	}
	pair, err := aut.Issue(edg.cfg.ID, time.Now())
	if err != nil {
		return nil, nil, eris.Wrap(err, "edge: issue certificate")
	}
	cert, err := tls.X509KeyPair([]byte(pair.Certificate), []byte(pair.Key))
	if err != nil {
		return nil, nil, eris.Wrap(err, "edge: load certificate")
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM([]byte(aut.PEM))
	trn, err := peer.New(edg.cfg.PeerAddr, edg.cfg.ID, edg.cfg.Incarnation, cert, roots)
	if err != nil {
		return nil, nil, eris.Wrap(err, "edge: start peer transport")
	}
	trn.Handle(wick.MsgQuota, edg.handleQuotaRequest)
	trn.Handle(wick.MsgLeaving, edg.handleLeavingNotice)
	trn.Handle(wick.MsgBundlePush, edg.handlePlanNotice)
	trn.Handle(wick.MsgLoad, edg.handleLoadNotice)
	trn.Handle(wick.MsgRecord, edg.handleRecord)
	trn.Handle(wick.MsgStop, edg.rollouts.handleStop)
	trn.Handle(wick.MsgCrash, edg.crashes.handleNews)
	trn.Handle(wick.MsgCatchUp, edg.handleCatchUp)
	return trn, aut, nil
}
