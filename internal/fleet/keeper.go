package fleet

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/invar"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxAttempts bounds the conflicts and lost responses of one update.
const maxAttempts = 6

// A keeper reads and writes fleet objects. Safety rests on conditional updates
// and on orders that may be repeated, never on the time of a lease.
type keeper struct {
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

// load reads the record of a service. Revision zero means that there is none.
func (kee *keeper) load(ctx context.Context, svc wick.Service) (Record, wick.Revision, error) {
	obj, err := kee.store.Get(ctx, wick.ObjectKey{Kind: wick.KindFleet, Name: string(svc)})
	if errors.Is(err, wick.ErrNotFound) {
		return Record{Service: svc, Series: string(svc) + "-" + string(wick.NewWriteID())}, 0, nil
	}
	if err != nil {
		return Record{}, 0, eris.Wrapf(err, "fleet: read %s", svc)
	}
	rec, err := Parse(obj)
	return rec, obj.Revision, err
}

// update applies decide to the newest record until a conditional write takes
// effect or nothing is to be changed. A holder whose fencing number is older
// than the record's gets wick.ErrStaleFence.
func (kee *keeper) update(
	ctx context.Context, svc wick.Service, fence wick.Fence, limit int, decide func(rec Record) (Record, bool),
) (Record, error) {
	var mine wick.WriteID
	var lastErr error
	for range maxAttempts {
		rec, rev, err := kee.load(ctx, svc)
		if err != nil {
			return rec, err
		}
		if mine != "" && rec.WriteID == mine {
			return rec, nil
		}
		if fence < rec.Fence {
			return rec, eris.Wrapf(wick.ErrStaleFence, "fleet: %s is held with %d, not %d", svc, rec.Fence, fence)
		}
		next, changed := decide(rec)
		if !changed && fence == rec.Fence {
			return rec, nil
		}
		// VMs found on the list may be more than the maximum; orders never are.
		held := next.Held()
		if !kee.checker.Check(held <= limit || !ordersMore(&rec, &next), invar.FleetBound, "%s would hold %d of at most %d", svc, held, limit) {
			return rec, eris.Wrapf(wick.ErrInvalid, "fleet: %s would hold %d", svc, held)
		}
		mine = wick.NewWriteID()
		next.WriteID, next.Holder, next.Fence = mine, kee.self, fence
		data, err := json.Marshal(&next)
		if err != nil {
			return rec, eris.Wrap(err, "fleet: encode")
		}
		if _, err = kee.store.Put(ctx, wick.ObjectKey{Kind: wick.KindFleet, Name: string(svc)}, data, rev); err == nil {
			return next, nil
		}
		lastErr = err
		if !errors.Is(err, wick.ErrConflict) && !errors.Is(err, wick.ErrUnavailable) {
			break
		}
	}
	return Record{}, eris.Wrapf(lastErr, "fleet: write %s", svc)
}

// ordersMore tells whether next has an order that rec has not.
func ordersMore(rec, next *Record) bool {
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
