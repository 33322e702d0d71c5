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

// authorityKey is the object with the authority that signs the entries'
// certificates. Whoever reads the store may act as an entry, and could write
// the plan as well.
var authorityKey = wick.ObjectKey{Kind: wick.KindAuthority, Name: "peers"}

// authorityRetry passes between tries to read or make the authority.
const authorityRetry = 500 * time.Millisecond

// An authorityDoc is the value of the object.
type authorityDoc struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
}

// peerLoop joins the other entries once the authority is known, and leaves when
// ctx ends. Without it the entry serves alone.
func (edg *Edge) peerLoop(ctx context.Context) {
	for edg.cfg.PeerAddr != "" {
		trn, err := edg.join(ctx)
		if err == nil {
			edg.peers.Store(trn)
			<-ctx.Done()
			end, cancel := context.WithTimeout(context.WithoutCancel(ctx), authorityRetry)
			defer cancel()
			if err := trn.Close(end); err != nil {
				log.WithError(err).Debug("edge: peers left early")
			}
			return
		}
		log.WithError(err).Debug("edge: peers not joined")
		if !retry.Sleep(ctx, authorityRetry) {
			return
		}
	}
}

// join starts the transport with a certificate of its own.
func (edg *Edge) join(ctx context.Context) (*peer.Transport, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	aut, err := edg.authority(ctx)
	if err != nil {
		return nil, err
	}
	pair, err := aut.Issue(edg.cfg.ID, time.Now())
	if err != nil {
		return nil, eris.Wrap(err, "edge: certificate")
	}
	cert, err := tls.X509KeyPair([]byte(pair.Certificate), []byte(pair.Key))
	if err != nil {
		return nil, eris.Wrap(err, "edge: certificate")
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM([]byte(aut.PEM))
	trn, err := peer.New(edg.cfg.PeerAddr, edg.cfg.ID, edg.cfg.Incarnation, cert, roots)
	if err != nil {
		return nil, eris.Wrap(err, "edge: peers")
	}
	trn.Handle(wick.MsgQuota, edg.answerQuota)
	trn.Handle(wick.MsgLeaving, edg.takeLeaving)
	trn.Handle(wick.MsgBundlePush, edg.takePlan)
	trn.Handle(wick.MsgLoad, edg.takeLoads)
	return trn, nil
}

// authority reads the authority, or makes it if this is the first entry.
func (edg *Edge) authority(ctx context.Context) (*certs.Authority, error) {
	obj, err := edg.cfg.Store.Get(ctx, authorityKey)
	if errors.Is(err, wick.ErrNotFound) {
		if err = edg.makeAuthority(ctx); err == nil || errors.Is(err, wick.ErrConflict) {
			// Another entry may have been first: what the store holds counts.
			obj, err = edg.cfg.Store.Get(ctx, authorityKey)
		}
	}
	if err != nil {
		return nil, eris.Wrap(err, "edge: authority")
	}
	var doc authorityDoc
	if err := json.Unmarshal(obj.Data, &doc); err != nil {
		return nil, eris.Wrap(err, "edge: authority")
	}
	return certs.ParseAuthority(doc.Certificate, doc.Key) //nolint:wrapcheck // our own package
}

func (edg *Edge) makeAuthority(ctx context.Context) error {
	aut, err := certs.NewAuthority(time.Now())
	if err != nil {
		return eris.Wrap(err, "edge: authority")
	}
	key, err := aut.Key()
	if err != nil {
		return eris.Wrap(err, "edge: authority")
	}
	data, err := json.Marshal(authorityDoc{Certificate: aut.PEM, Key: key})
	if err != nil {
		return eris.Wrap(err, "edge: authority")
	}
	_, err = edg.cfg.Store.Put(ctx, authorityKey, data, 0)
	return eris.Wrap(err, "edge: authority")
}
