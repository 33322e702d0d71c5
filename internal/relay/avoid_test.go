package relay

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// An avoidingVersions avoids a version.
type avoidingVersions struct {
	anyVersion
	avoid wick.ModelVersion
}

func (vrs avoidingVersions) Choose(wick.Service, wick.RouteName, time.Time) Choice {
	return Choice{Avoid: []wick.ModelVersion{vrs.avoid}}
}

// TestAvoidedVersion guards against requests to a version that is avoided while another one
// serves, and against refusals while only the avoided one does.
func TestAvoidedVersion(t *testing.T) {
	const requests = 20
	rly := newTestRelay(t, 2, func(req *http.Request, con net.Conn, _ int) { reply(con, req, http.StatusOK, "answer") })
	for vid, ver := range map[wick.VMID]wick.ModelVersion{"e0": "v1", "e1": "v2"} {
		rly.pool.Set(wick.Backend{ID: vid, Service: "s", Zone: "a", Address: rly.addrs[vid], Slots: 4, Version: ver}, time.Now())
	}
	rly.srv.cfg.Versions = avoidingVersions{avoid: "v2"}
	for range requests {
		status, body, err := rly.post("/look/1")
		if status != http.StatusOK || err != nil {
			t.Fatal(status, body, err)
		}
	}
	if num := rly.received["e1"]; num > 0 {
		t.Errorf("the avoided version got %d of %d requests", num, requests)
	}
	rly.pool.Remove("e0")
	if status, body, err := rly.post("/look/1"); status != http.StatusOK || err != nil {
		t.Error(status, body, err)
	}
}
