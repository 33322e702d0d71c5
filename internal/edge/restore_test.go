package edge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A registry is a store with an endpoint and the handler of an entry that reads it.
type registry struct {
	*testing.T
	sto *fake.Store
	hdl *backendHandler
	rev wick.Revision
}

func newRegistry(t *testing.T) *registry {
	t.Helper()
	sto := &fake.Store{}
	reg := &registry{T: t, sto: sto, hdl: &backendHandler{edg: newIdleEdge(sto)}}
	reg.write(false)
	reg.list()
	reg.assertServes(true)
	return reg
}

// newIdleEdge returns an Edge that does not run.
func newIdleEdge(sto *fake.Store) *Edge {
	edg := New(Config{ID: "edge0", Zone: "z", Store: sto, Catalog: testCatalog{}, Kinds: Kinds{Plan: "plan", Backend: "backend", VersionOrder: "order"}, Bounds: Bounds{Entries: 1}})
	edg.ready = &readyServer{}
	return edg
}

var registryKey = wick.ObjectKey{Kind: "backend", Name: "i-1"}

// write writes the record of the endpoint.
func (reg *registry) write(leaving bool) {
	reg.Helper()
	data, err := json.Marshal(wick.Backend{ID: "i-1", Service: "s", Zone: "z", Address: "127.0.0.1:1", Slots: 8, Born: 1, Leaving: leaving})
	if err != nil {
		reg.Fatal(err)
	}
	if reg.rev, err = reg.sto.Put(reg.Context(), registryKey, data, reg.rev); err != nil {
		reg.Fatal(err)
	}
}

func (reg *registry) list() {
	reg.Helper()
	objs, _, err := reg.sto.List(reg.Context(), "backend")
	if err != nil {
		reg.Fatal(err)
	}
	reg.hdl.Replace(objs)
}

// change passes the current record of the endpoint to the handler like a watch.
func (reg *registry) change() {
	reg.Helper()
	obj, err := reg.sto.Get(reg.Context(), registryKey)
	if err != nil {
		obj = wick.Object{Key: registryKey, Deleted: true}
	}
	reg.hdl.Change(obj)
}

func (reg *registry) assertServes(want bool) {
	reg.Helper()
	_, err := reg.hdl.edg.pool.Pick(pool.Query{Service: "s", Now: time.Now()})
	if got := err == nil; got != want {
		reg.Errorf("the endpoint gets requests: %v, want %v", got, want)
	}
}

// TestRestoredRegistry guards against requests to endpoints that only the older copy of a
// restored store shows as ready.
func TestRestoredRegistry(t *testing.T) {
	t.Run("an endpoint that leaves", func(t *testing.T) {
		reg := newRegistry(t)
		cpy := reg.sto.Backup()
		reg.write(true)
		reg.change()
		for range 2 {
			reg.sto.Restore(cpy)
			reg.list()
			reg.assertServes(false)
		}
	})
	t.Run("an endpoint that has left", func(t *testing.T) {
		reg := newRegistry(t)
		cpy := reg.sto.Backup()
		reg.write(true)
		reg.change()
		if err := reg.sto.Delete(t.Context(), registryKey, reg.rev); err != nil {
			t.Fatal(err)
		}
		reg.change()
		reg.sto.Restore(cpy)
		reg.list()
		reg.assertServes(false)
	})
	t.Run("an endpoint that was removed", func(t *testing.T) {
		reg := newRegistry(t)
		cpy := reg.sto.Backup()
		if err := reg.sto.Delete(t.Context(), registryKey, reg.rev); err != nil {
			t.Fatal(err)
		}
		reg.change()
		reg.sto.Restore(cpy)
		reg.list()
		reg.assertServes(false)
	})
	t.Run("an endpoint whose leaving another entry told", func(t *testing.T) {
		sto := &fake.Store{}
		reg := &registry{T: t, sto: sto, hdl: &backendHandler{edg: newIdleEdge(sto)}}
		reg.hdl.edg.markLeft("other", []leavingEndpoint{{ID: "i-1", Born: 1}})
		reg.write(false)
		reg.list()
		reg.assertServes(false)
	})
}
