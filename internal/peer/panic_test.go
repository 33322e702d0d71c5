package peer

import (
	"context"
	"testing"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// TestHandlerPanic guards against a message whose handler panics and ends the process.
func TestHandlerPanic(t *testing.T) {
	var han Handlers
	han.Handle(wick.MsgQuota, func(context.Context, wick.EntryID, []byte) (any, error) { panic("malformed message") })
	if rep := han.dispatch(t.Context(), wick.Envelope{Type: wick.MsgQuota, From: "e1"}); rep.Code != codeFailed {
		t.Errorf("reply %+v, want code %v", rep, codeFailed)
	}
}
