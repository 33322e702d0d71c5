package edge

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/certs"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// authorityKey is the object with the certificate authority that signs the
// entries' certificates, private key included. Any client that can read the store
// can therefore act as an entry, but such a client could write the plan as well.
var authorityKey = wick.ObjectKey{Kind: wick.KindAuthority, Name: "peers"}

// authorityRetryInterval is the time between attempts to start the peer
// transport. It also bounds the transport's shutdown.
const authorityRetryInterval = 500 * time.Millisecond

// An authorityDoc is the value of the authority object, in PEM.
type authorityDoc struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// peerLoop starts the peer transport, with retries, and closes it when ctx is
// cancelled. Until it is started, the entry serves without peers.
func (edg *Edge) peerLoop(ctx context.Context) {
	for edg.cfg.PeerAddr != "" {
		trn, err := edg.startTransport(ctx)
		if err == nil {
			edg.peers.Store(trn)
			<-ctx.Done()
			closeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), authorityRetryInterval)
			defer cancel()
			if err := trn.Close(closeCtx); err != nil {
				log.WithError(err).Debug("edge: failed to close peer transport")
			}
			return
		}
		log.WithError(err).Debug("edge: failed to start peer transport")
		if !retry.Sleep(ctx, authorityRetryInterval) {
			return
		}
	}
}

// startTransport starts the peer transport with a newly issued certificate.
func (edg *Edge) startTransport(ctx context.Context) (*peer.Transport, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	aut, err := edg.loadAuthority(ctx)
	if err != nil {
		return nil, err
	}
	pair, err := aut.Issue(edg.cfg.ID, time.Now())
	if err != nil {
		return nil, eris.Wrap(err, "edge: issue certificate")
	}
	cert, err := tls.X509KeyPair([]byte(pair.Certificate), []byte(pair.Key))
	if err != nil {
		return nil, eris.Wrap(err, "edge: load certificate")
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM([]byte(aut.PEM))
	trn, err := peer.New(edg.cfg.PeerAddr, edg.cfg.ID, edg.cfg.Incarnation, cert, roots)
	if err != nil {
		return nil, eris.Wrap(err, "edge: start peer transport")
	}
	trn.Handle(wick.MsgQuota, edg.handleQuotaRequest)
	trn.Handle(wick.MsgLeaving, edg.handleLeavingNotice)
	trn.Handle(wick.MsgBundlePush, edg.handlePlanNotice)
	trn.Handle(wick.MsgLoad, edg.handleLoadNotice)
	trn.Handle(wick.MsgRecord, edg.handleRecord)
	trn.Handle(wick.MsgStop, edg.rollouts.handleStop)
	trn.Handle(wick.MsgCrash, edg.crashes.handleNews)
	trn.Handle(wick.MsgCatchUp, edg.handleCatchUp)
	return trn, nil
}

// loadAuthority reads the authority, and creates it if there is none.
func (edg *Edge) loadAuthority(ctx context.Context) (*certs.Authority, error) {
	obj, err := edg.cfg.Store.Get(ctx, authorityKey)
	if errors.Is(err, wick.ErrNotFound) {
		if err = edg.createAuthority(ctx); err == nil || errors.Is(err, wick.ErrConflict) {
			// Another entry may have created it first: the stored one is in force.
			obj, err = edg.cfg.Store.Get(ctx, authorityKey)
		}
	}
	if err != nil {
		return nil, eris.Wrap(err, "edge: read authority")
	}
	var doc authorityDoc
	if err := json.Unmarshal(obj.Data, &doc); err != nil {
		return nil, eris.Wrap(err, "edge: decode authority")
	}
	return certs.ParseAuthority(doc.Certificate, doc.Key) //nolint:wrapcheck // our own package
}

// createAuthority creates and stores an authority. The error wraps
// wick.ErrConflict if there is one already.
func (edg *Edge) createAuthority(ctx context.Context) error {
	aut, err := certs.NewAuthority(time.Now())
	if err != nil {
		return eris.Wrap(err, "edge: create authority")
	}
	key, err := aut.Key()
	if err != nil {
		return eris.Wrap(err, "edge: encode authority key")
	}
	data, err := json.Marshal(authorityDoc{Certificate: aut.PEM, Key: key})
	if err != nil {
		return eris.Wrap(err, "edge: encode authority")
	}
	_, err = edg.cfg.Store.Put(ctx, authorityKey, data, 0)
	return eris.Wrap(err, "edge: write authority")
}
