package move

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
const maxAttempts = 8

// A Keeper reads and writes move objects. Safety rests on conditional updates
// and on Step, never on the time of a lease.
type Keeper struct {
	Store   wick.Store
	Self    wick.EntryID
	Checker *invar.Checker
}

func objectKey(mid wick.MoveID) wick.ObjectKey {
	return wick.ObjectKey{Kind: wick.KindMove, Name: string(mid)}
}

// Parse decodes a move object.
func Parse(obj wick.Object) (Record, error) {
	var rec Record
	if err := json.Unmarshal(obj.Data, &rec); err != nil {
		return Record{}, eris.Wrapf(errors.Join(wick.ErrInvalid, err), "move: object %s", obj.Key.Name)
	}
	return rec, nil
}

// Load reads a move. Revision zero means that it does not exist.
func (kep *Keeper) Load(ctx context.Context, mid wick.MoveID) (Record, wick.Revision, error) {
	obj, err := kep.Store.Get(ctx, objectKey(mid))
	if errors.Is(err, wick.ErrNotFound) {
		return Record{}, 0, nil
	}
	if err != nil {
		return Record{}, 0, eris.Wrapf(err, "move: read %s", mid)
	}
	rec, err := Parse(obj)
	return rec, obj.Revision, err
}

// Update applies decide to the newest record until a conditional write takes
// effect or decide wants no change. A holder whose fencing number is older than
// the record's gets wick.ErrStaleFence; fence zero is for an undo by an entry
// without the duty. start is the record when none exists.
func (kep *Keeper) Update(
	ctx context.Context, start Record, fence wick.Fence, decide func(rec Record) (Record, bool),
) (Record, error) {
	var out Record
	var mine wick.WriteID
	err := revise.Object(ctx, kep.Store, objectKey(start.Move), maxAttempts, func(obj wick.Object) ([]byte, error) {
		rec, err := decode(obj, start)
		out = rec
		if err != nil || mine != "" && rec.WriteID == mine {
			return nil, err
		}
		if fence != 0 && fence < rec.Fence {
			return nil, eris.Wrapf(wick.ErrStaleFence, "move: %s is held with %d, not %d", start.Move, rec.Fence, fence)
		}
		next, changed := decide(rec)
		if !changed {
			return nil, nil
		}
		if !kep.Checker.Check(allowed(rec, next), invar.StopIsFinal, "%s from %s to %s", start.Move, rec.State, next.State) {
			return nil, eris.Wrapf(wick.ErrInvalid, "move: %s is %s", start.Move, rec.State)
		}
		mine = wick.NewWriteID()
		next.WriteID, next.Holder, next.Fence = mine, kep.Self, max(rec.Fence, fence)
		out = next
		data, err := json.Marshal(&next)
		return data, eris.Wrap(err, "move: encode")
	})
	if err != nil {
		return Record{}, eris.Wrap(err, "move")
	}
	return out, nil
}

// decode returns the record that an object holds, or start if there is none.
func decode(obj wick.Object, start Record) (Record, error) {
	if obj.Revision == 0 {
		return start, nil
	}
	return Parse(obj)
}

// allowed reports whether a record may follow another.
func allowed(rec, next Record) bool {
	switch rec.State {
	case StateUndone:
		return next.State == StateUndone
	case StateDone:
		return next.State == StateDone || next.State == StateUndone && !next.Since.After(rec.WatchUntil)
	default:
		return true
	}
}
