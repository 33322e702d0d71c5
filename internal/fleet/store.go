package fleet

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/internal/revise"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxAttempts limits the retries of an update after conflicts and lost responses.
const maxAttempts = 6

// A recordStore reads and writes fleet records. Safety depends on conditional
// updates and idempotent orders, never on the expiry of a lease.
type recordStore struct {
	store   wick.Store
	self    wick.EntryID
	checker *invar.Checker
}

// Parse decodes a fleet object.
func Parse(obj wick.Object) (Record, error) {
	var rec Record
	if err := json.Unmarshal(obj.Data, &rec); err != nil {
		return Record{}, eris.Wrapf(errors.Join(wick.ErrInvalid, err), "fleet: object %s", obj.Key.Name)
	}
	return rec, nil
}

// decode returns the record of a service from its object, or a new one if the
// object does not exist.
func decode(obj wick.Object, svc wick.Service) (Record, error) {
	if obj.Revision == 0 {
		return Record{Service: svc, TokenPrefix: string(svc) + "-" + string(wick.NewWriteID())}, nil
	}
	return Parse(obj)
}

// load reads the record of a service, or returns a new one if there is none.
func (rst *recordStore) load(ctx context.Context, svc wick.Service) (Record, error) {
	obj, err := rst.store.Get(ctx, objectKey(svc))
	if err != nil && !errors.Is(err, wick.ErrNotFound) {
		return Record{}, eris.Wrapf(err, "fleet: read %s", svc)
	}
	return decode(obj, svc)
}

func objectKey(svc wick.Service) wick.ObjectKey {
	return wick.ObjectKey{Kind: wick.KindFleet, Name: string(svc)}
}

// update applies decide to the latest record and retries until a conditional
// write succeeds or there is nothing to change. It returns wick.ErrStaleFence if
// the record has a newer fencing token than the caller.
func (rst *recordStore) update(
	ctx context.Context, svc wick.Service, fence wick.Fence, maxSlots int, decide func(rec Record) (Record, bool),
) (Record, error) {
	var out Record
	var lastWriteID wick.WriteID
	err := revise.Object(ctx, rst.store, objectKey(svc), maxAttempts, func(obj wick.Object) ([]byte, error) {
		rec, err := decode(obj, svc)
		out = rec
		if err != nil || lastWriteID != "" && rec.WriteID == lastWriteID {
			return nil, err
		}
		if fence < rec.Fence {
			return nil, eris.Wrapf(wick.ErrStaleFence, "fleet: record of %s has fencing token %d, newer than %d", svc, rec.Fence, fence)
		}
		next, changed := decide(rec)
		if !changed && fence == rec.Fence {
			return nil, nil
		}
		if err := rst.checkBound(&rec, &next, svc, maxSlots); err != nil {
			return nil, err
		}
		lastWriteID = wick.NewWriteID()
		next.WriteID, next.Holder, next.Fence = lastWriteID, rst.self, fence
		out = next
		data, err := json.Marshal(&next)
		return data, eris.Wrap(err, "fleet: encode")
	})
	if err != nil {
		return Record{}, eris.Wrap(err, "fleet")
	}
	return out, nil
}

// checkBound rejects a record whose new orders exceed the maximum. Adopted VMs
// may exceed it, new orders must not.
func (rst *recordStore) checkBound(rec, next *Record, svc wick.Service, maxSlots int) error {
	occupied := next.OccupiedSlots()
	if !rst.checker.Check(occupied <= maxSlots || !hasNewOrder(rec, next), invar.FleetBound, "%s would occupy %d slots, maximum %d", svc, occupied, maxSlots) {
		return eris.Wrapf(wick.ErrInvalid, "fleet: %s would occupy %d slots", svc, occupied)
	}
	return nil
}

// hasNewOrder reports whether next has a start order that rec does not have.
func hasNewOrder(rec, next *Record) bool {
	old := make(map[string]bool)
	for idx := range rec.Slots {
		if slt := &rec.Slots[idx]; slt.State == StateOrdered {
			old[slt.Token] = true
		}
	}
	for idx := range next.Slots {
		if slt := &next.Slots[idx]; slt.State == StateOrdered && !old[slt.Token] {
			return true
		}
	}
	return false
}
