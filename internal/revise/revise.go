// Package revise changes objects of the platform's store by conditional updates
// that settle conflicts and lost responses.
package revise

import (
	"context"
	"errors"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Change decides what follows an object: its new data, or nil to leave it as it
// is. The object's revision is zero if there is none yet. It is called again
// after each conflict and each lost response, and must then recognize its own
// write.
type Change func(obj wick.Object) (data []byte, err error)

// Object applies a change to the newest state of an object until a conditional
// write takes effect or nothing is to be changed, at most attempts times. The
// error is that of the change, or wraps the store's.
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
