package edge

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/certs"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// authorityKey is the object with the certificate authority that signs the
// entries' certificates, private key included. Any client that can read the store
// can therefore act as an entry, but such a client could write the plan as well.
var authorityKey = wick.ObjectKey{Kind: wick.KindAuthority, Name: "peers"}

// An authorityDoc is the value of the authority object, in PEM.
type authorityDoc struct {
	Certificate string `json:"certificate"`
	Key         string `json:"key"`
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
	return decodeAuthority(obj)
}

func decodeAuthority(obj wick.Object) (*certs.Authority, error) {
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
	return edg.writeAuthority(ctx, aut, 0)
}

// writeAuthority stores an authority in place of the one at a revision.
func (edg *Edge) writeAuthority(ctx context.Context, aut *certs.Authority, rev wick.Revision) error {
	key, err := aut.Key()
	if err != nil {
		return eris.Wrap(err, "edge: encode authority key")
	}
	data, err := json.Marshal(authorityDoc{Certificate: aut.PEM, Key: key})
	if err != nil {
		return eris.Wrap(err, "edge: encode authority")
	}
	_, err = edg.cfg.Store.Put(ctx, authorityKey, data, rev)
	return eris.Wrap(err, "edge: write authority")
}

// authorityChecks are the times after the start of the transport, and after a restore of the
// store, at which an entry checks the stored authority. A restore may lose it, and an entry
// that starts then may create another one.
var authorityChecks = []time.Duration{0, 2 * time.Second, 4 * time.Second, 8 * time.Second, 16 * time.Second}

// errOtherAuthority reports that another authority is in force.
var errOtherAuthority = errors.New("edge: another authority is in force")

// keepAuthority keeps the entry's authority in the store until ctx is done or the entry must
// adopt an older one, for which it returns errOtherAuthority.
func (edg *Edge) keepAuthority(ctx context.Context, aut *certs.Authority) error {
	for {
		since := time.Now()
		for _, after := range authorityChecks {
			if !retry.Sleep(ctx, after-time.Since(since)) {
				return nil
			}
			err := edg.checkAuthority(ctx, aut)
			if errors.Is(err, errOtherAuthority) {
				return err
			}
			if err != nil {
				log.WithError(err).Debug("edge: failed to check the authority")
			}
		}
		select {
		case <-edg.restored:
		case <-ctx.Done():
			return nil
		}
	}
}

// checkAuthority puts the entry's authority back if the store has none or a newer one.
func (edg *Edge) checkAuthority(ctx context.Context, aut *certs.Authority) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	obj, err := edg.cfg.Store.Get(ctx, authorityKey)
	switch {
	case errors.Is(err, wick.ErrNotFound):
		return edg.writeAuthority(ctx, aut, 0)
	case err != nil:
		return eris.Wrap(err, "edge: read authority")
	}
	stored, err := decodeAuthority(obj)
	switch {
	case err != nil || aut.IsOlder(stored):
		return edg.writeAuthority(ctx, aut, obj.Revision)
	case stored.PEM != aut.PEM:
		return errOtherAuthority
	default:
		return nil
	}
}

// noteRestored notes that the store was restored from an older copy.
func (edg *Edge) noteRestored() {
	select {
	case edg.restored <- struct{}{}:
	default:
	}
}
