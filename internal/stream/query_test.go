package stream

import (
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestQueryUsesEngineInput guards against routing by a text other than the one
// that engines hash: the prefixes of chats would never match their cache
// events.
func TestQueryUsesEngineInput(t *testing.T) {
	pro := wick.Prompt{Messages: []wick.Message{{Role: "system", Content: "Be brief."}, {Role: "user", Content: "Pallets?"}}}
	run := &runner{tab: &Table{}, req: &Request{Head: Head{Prompt: pro}}}
	run.tab.cfg.Clock = wick.SystemClock{}
	if got := run.query().Input; got != pro.Input() {
		t.Errorf("input %q, want %q", got, pro.Input())
	}
}
