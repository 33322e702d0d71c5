package procs

import (
	"testing"

	"github.com/wagtailwick/wagtailwick/internal/netem"
)

// A relay stands for a partition between a zone and the store.
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

// setCut cuts the relay, which closes all connections, or restores it.
func (rel *relay) setCut(cut bool) { rel.Set(netem.Fault{Refuse: cut}) }
