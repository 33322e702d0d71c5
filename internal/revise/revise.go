// Package revise updates objects of the platform's store with optimistic
// concurrency control: it retries conditional writes after conflicts and lost
// responses.
package revise

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Change returns the new data of an object, or nil to leave it unchanged. The
// object's revision is zero if it doesn't exist. Change is called again after
// each conflict and each lost response, and must then recognize its own write.
type Change func(obj wick.Object) (data []byte, err error)

// Object applies a change to the current state of an object until a conditional
// write succeeds or the change returns no data, at most attempts times. It
// returns the error of the change or wraps that of the store.
func Object(ctx context.Context, sto wick.Store, key wick.ObjectKey, attempts int, change Change) error {
	var lastErr error
	for range attempts {
		obj, err := sto.Get(ctx, key)
		if errors.Is(err, wick.ErrNotFound) {
			obj, err = wick.Object{Key: key}, nil
		}
		if err != nil {
			return eris.Wrapf(err, "read %s/%s", key.Kind, key.Name)
		}
		data, err := change(obj)
		if err != nil || data == nil {
			return err
		}
		if _, err = sto.Put(ctx, key, data, obj.Revision); err == nil {
			return nil
		}
		lastErr = err
		if !errors.Is(err, wick.ErrConflict) && !errors.Is(err, wick.ErrUnavailable) {
			break
		}
	}
	return eris.Wrapf(lastErr, "write %s/%s", key.Kind, key.Name)
}
