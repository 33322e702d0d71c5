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

// maxAttempts bounds the attempts of one update, which conflicts and lost
// responses repeat.
const maxAttempts = 8

// A Keeper reads and writes move objects. Safety relies on conditional updates
// and on Step, never on the expiry of a lease.
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

// Update applies decide to the current record until a conditional write succeeds
// or decide reports no change. It returns wick.ErrStaleFence if fence is lower
// than the record's fencing token; fence zero is for an undo by an entry that
// doesn't hold the duty. start is used as the record if none exists.
func (kep *Keeper) Update(
	ctx context.Context, start Record, fence wick.Fence, decide func(rec Record) (Record, bool),
) (Record, error) {
	var out Record
	var ownWrite wick.WriteID
	err := revise.Object(ctx, kep.Store, objectKey(start.Move), maxAttempts, func(obj wick.Object) ([]byte, error) {
		rec, err := decode(obj, start)
		out = rec
		if err != nil || ownWrite != "" && rec.WriteID == ownWrite {
			return nil, err
		}
		if fence != 0 && fence < rec.Fence {
			return nil, eris.Wrapf(wick.ErrStaleFence, "move: %s has fencing token %d, got %d", start.Move, rec.Fence, fence)
		}
		next, changed := decide(rec)
		if !changed {
			return nil, nil
		}
		if !kep.Checker.Check(allowed(rec, next), invar.StopIsFinal, "%s from %s to %s", start.Move, rec.State, next.State) {
			return nil, eris.Wrapf(wick.ErrInvalid, "move: %s is %s", start.Move, rec.State)
		}
		ownWrite = wick.NewWriteID()
		next.WriteID, next.Holder, next.Fence = ownWrite, kep.Self, max(rec.Fence, fence)
		out = next
		data, err := json.Marshal(&next)
		return data, eris.Wrap(err, "move: encode")
	})
	if err != nil {
		return Record{}, eris.Wrap(err, "move")
	}
	return out, nil
}

// decode returns the record stored in an object, or start if there is no object.
func decode(obj wick.Object, start Record) (Record, error) {
	if obj.Revision == 0 {
		return start, nil
	}
	return Parse(obj)
}

// order ranks the states by their sequence. Undone is last: it is final.
var order = map[State]int{StatePending: 1, StateProving: 2, StateRamping: 3, StateWatching: 4, StateDone: 5, StateUndone: 6}

// Latest returns the later one of two records of a move, one of which may have come back
// with a restored store.
func Latest(one, two Record) Record {
	switch first, second := order[one.State], order[two.State]; {
	case first > second, first == second && one.StepAt.After(two.StepAt):
		return one
	default:
		return two
	}
}

// allowed reports whether the transition from rec to next is permitted.
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
