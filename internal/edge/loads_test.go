package edge

import (
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestShortMemory guards against notices that grow by the memory of endpoints that have enough,
// and against reports without memory, or with more in use than there is, that look like others.
func TestShortMemory(t *testing.T) {
	for name, tst := range map[string]struct {
		used, total wick.Tokens
		short       bool
		free        wick.Tokens
	}{
		"enough":       {70000, 100000, false, 0},
		"short":        {76000, 100000, true, 24000},
		"full":         {100000, 100000, true, 0},
		"impossible":   {130000, 100000, true, 0},
		"not reported": {0, 0, false, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var epl endpointLoad
			epl.setMemory(&wick.BackendLoad{MemoryUsed: tst.used, MemoryTotal: tst.total})
			if epl.Short != tst.short || epl.Free != tst.free {
				t.Errorf("short %v, free %d; want %v, %d", epl.Short, epl.Free, tst.short, tst.free)
			}
		})
	}
}
