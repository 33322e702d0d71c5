package revise

import (
	"context"
	"errors"
	"testing"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var (
	testKey   = wick.ObjectKey{Kind: "k", Name: "n"}
	errChange = errors.New("no")
)

// A lossyStore fails its first writes with the errors in lose, whether they take
// effect or not, and counts writes.
type lossyStore struct {
	wick.Store
	lose    []error
	effect  bool
	getErr  error
	puts    int
	rewrite []byte
}

func (sto *lossyStore) Get(ctx context.Context, key wick.ObjectKey) (wick.Object, error) {
	if sto.getErr != nil {
		return wick.Object{}, sto.getErr
	}
	return sto.Store.Get(ctx, key)
}

func (sto *lossyStore) Put(ctx context.Context, key wick.ObjectKey, data []byte, rev wick.Revision) (wick.Revision, error) {
	sto.puts++
	if len(sto.lose) == 0 {
		return sto.Store.Put(ctx, key, data, rev)
	}
	err := sto.lose[0]
	sto.lose = sto.lose[1:]
	if sto.rewrite != nil {
		data = sto.rewrite
	}
	if sto.effect {
		if _, err := sto.Store.Put(ctx, key, data, rev); err != nil {
			return 0, err
		}
	}
	return 0, err
}

// appendX adds an x to the data unless the object ends with one.
func appendX(obj wick.Object) ([]byte, error) {
	if num := len(obj.Data); num > 0 && obj.Data[num-1] == 'x' {
		return nil, nil
	}
	return append(append([]byte{}, obj.Data...), 'x'), nil
}

func assertObject(t *testing.T, sto wick.Store, want string) {
	t.Helper()
	obj, err := sto.Get(t.Context(), testKey)
	if err != nil && !errors.Is(err, wick.ErrNotFound) {
		t.Fatal(err)
	}
	if string(obj.Data) != want {
		t.Errorf("object data %q, want %q", obj.Data, want)
	}
}

// TestObject guards against updates that are lost, applied twice or retried
// without bound after lost responses and concurrent writes.
func TestObject(t *testing.T) {
	for _, tst := range []struct {
		name   string
		sto    lossyStore
		change Change
		err    error
		want   string
		puts   int
	}{
		{"created", lossyStore{}, appendX, nil, "x", 1},
		{"response lost after the write", lossyStore{lose: []error{wick.ErrUnavailable}, effect: true}, appendX, nil, "x", 1},
		{"response lost before the write", lossyStore{lose: []error{wick.ErrUnavailable}}, appendX, nil, "x", 2},
		{"concurrent write", lossyStore{lose: []error{wick.ErrConflict}, effect: true, rewrite: []byte("a")}, appendX, nil, "ax", 2},
		{"permanent error", lossyStore{lose: []error{wick.ErrInvalid}}, appendX, wick.ErrInvalid, "", 1},
		{
			"persistent conflict",
			lossyStore{lose: []error{wick.ErrConflict, wick.ErrConflict, wick.ErrConflict, wick.ErrConflict}},
			appendX, wick.ErrConflict, "", 3,
		},
		{"read failed", lossyStore{getErr: wick.ErrUnavailable}, appendX, wick.ErrUnavailable, "", 0},
		{"no change", lossyStore{}, func(wick.Object) ([]byte, error) { return nil, nil }, nil, "", 0},
		{"change refused", lossyStore{}, func(wick.Object) ([]byte, error) { return nil, errChange }, errChange, "", 0},
	} {
		t.Run(tst.name, func(t *testing.T) {
			inner := &fake.Store{}
			tst.sto.Store = inner
			if err := Object(t.Context(), &tst.sto, testKey, 3, tst.change); !errors.Is(err, tst.err) {
				t.Errorf("error %v, want %v", err, tst.err)
			}
			assertObject(t, inner, tst.want)
			if tst.sto.puts != tst.puts {
				t.Errorf("%d writes, want %d", tst.sto.puts, tst.puts)
			}
		})
	}
}
