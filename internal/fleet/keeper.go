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

// decode returns the record of a service that an object holds, or a new one if
// there is no object.
func decode(obj wick.Object, svc wick.Service) (Record, error) {
	if obj.Revision == 0 {
		return Record{Service: svc, Series: string(svc) + "-" + string(wick.NewWriteID())}, nil
	}
	return Parse(obj)
}

// load reads the record of a service, or returns a new one.
func (kee *keeper) load(ctx context.Context, svc wick.Service) (Record, error) {
	obj, err := kee.store.Get(ctx, objectKey(svc))
	if err != nil && !errors.Is(err, wick.ErrNotFound) {
		return Record{}, eris.Wrapf(err, "fleet: read %s", svc)
	}
	return decode(obj, svc)
}

func objectKey(svc wick.Service) wick.ObjectKey {
	return wick.ObjectKey{Kind: wick.KindFleet, Name: string(svc)}
}

// update applies decide to the newest record until a conditional write takes
// effect or nothing is to be changed. A holder whose fencing number is older
// than the record's gets wick.ErrStaleFence.
func (kee *keeper) update(
	ctx context.Context, svc wick.Service, fence wick.Fence, limit int, decide func(rec Record) (Record, bool),
) (Record, error) {
	var out Record
	var mine wick.WriteID
	err := revise.Object(ctx, kee.store, objectKey(svc), maxAttempts, func(obj wick.Object) ([]byte, error) {
		rec, err := decode(obj, svc)
		out = rec
		if err != nil || mine != "" && rec.WriteID == mine {
			return nil, err
		}
		if fence < rec.Fence {
			return nil, eris.Wrapf(wick.ErrStaleFence, "fleet: %s is held with %d, not %d", svc, rec.Fence, fence)
		}
		next, changed := decide(rec)
		if !changed && fence == rec.Fence {
			return nil, nil
		}
		if err := kee.check(&rec, &next, svc, limit); err != nil {
			return nil, err
		}
		mine = wick.NewWriteID()
		next.WriteID, next.Holder, next.Fence = mine, kee.self, fence
		out = next
		data, err := json.Marshal(&next)
		return data, eris.Wrap(err, "fleet: encode")
	})
	if err != nil {
		return Record{}, eris.Wrap(err, "fleet")
	}
	return out, nil
}

// check refuses a record that orders more VMs than the limit. VMs found on the
// list may be more than the maximum; orders never are.
func (kee *keeper) check(rec, next *Record, svc wick.Service, limit int) error {
	held := next.Held()
	if !kee.checker.Check(held <= limit || !ordersMore(rec, next), invar.FleetBound, "%s would hold %d of at most %d", svc, held, limit) {
		return eris.Wrapf(wick.ErrInvalid, "fleet: %s would hold %d", svc, held)
	}
	return nil
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
