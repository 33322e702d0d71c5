package relay

import (
	"net/http"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
)

// TestCallerLeftStatus guards against a 404, which callers don't retry, for a caller that is
// taken for gone but still reads.
func TestCallerLeftStatus(t *testing.T) {
	req := &request{rct: app.NewContext(0)}
	req.finishWithoutReply(actDrop)
	if status := req.rct.Response.StatusCode(); status != http.StatusBadGateway || !req.rct.Response.ConnectionClose() {
		t.Errorf("status %d, connection closed %v", status, req.rct.Response.ConnectionClose())
	}
}
