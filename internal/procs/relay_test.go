package procs

import (
	"testing"

	"github.com/wagtailwick/wagtailwick/internal/netem"
)

// A relay is a proxy that simulates a partition between a zone and the store.
type relay struct{ *netem.Proxy }

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	prx, err := netem.New(target)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(prx.Close)
	return &relay{prx}
}

func (rel *relay) addr() string { return rel.Addr() }

// setPartitioned starts a partition, which closes all connections, or ends it.
func (rel *relay) setPartitioned(partitioned bool) { rel.SetFault(netem.Fault{Refuse: partitioned}) }
