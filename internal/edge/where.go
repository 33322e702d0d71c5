package edge

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/crash"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/relay"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// WherePath is the path of the admin server that calls relay.Server.Explain.
const WherePath = "/where"

// A WhereAnswer is the response of WherePath.
type WhereAnswer struct {
	Entry wick.EntryID `json:"entry"`
	Zone  wick.Zone    `json:"zone"`
	relay.Explanation
}

// where handles a POST to WherePath. The body is a relay.Ask in JSON.
func (edg *Edge) where(body []byte) (any, error) {
	var ask relay.Ask
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&ask); err != nil {
		return nil, eris.Wrapf(wick.ErrInvalid, "decode question: %v", err)
	}
	out := WhereAnswer{Entry: edg.cfg.ID, Zone: edg.cfg.Zone, Explanation: edg.relay.Explain(ask, time.Now())}
	metrics.GetOrRegisterCounter("edge.whereAsked", nil).Inc(1)
	choices := make([]wick.VMID, len(out.Placements))
	for idx := range out.Placements {
		choices[idx] = out.Placements[idx].Choice
	}
	log.WithFields(logrus.Fields{
		"host": ask.Host, "path": ask.Path, "route": out.Route, logs.FieldCustomer: out.Customer, "inputTokens": ask.InputTokens,
		"outputTokens": ask.OutputTokens, logs.FieldReason: out.Refusal, logs.FieldEndpoints: choices,
	}).Info(logs.MsgWhereAnswered)
	return out, nil
}

// views implements relay.Views.
type views struct{ edg *Edge }

// QuotaLeft returns the units that this entry's allocation has left.
func (vws views) QuotaLeft(cus *wick.CustomerPlan, now time.Time) (float64, bool) {
	return vws.edg.quotas.book.Left(cus, now), true
}

// PeekPrompt returns what the crash tracker would decide about a prompt.
func (vws views) PeekPrompt(pro crash.Prompt) crash.Verdict { return vws.edg.crashes.peek(pro) }

// VersionOptions returns the choices of versions during and after a rollout. The candidate
// has its current share, which the bound on its requests in flight may lower.
func (vws views) VersionOptions(svc wick.Service) []relay.VersionOption {
	ord, ok := vws.edg.rollouts.order(svc)
	if choice, settled := settledChoice(&ord, ok); settled {
		return []relay.VersionOption{{Choice: choice, Share: 1}}
	}
	share := float64(vws.edg.rollouts.jdg.Share(svc))
	var out []relay.VersionOption
	if share < 1 {
		out = append(out, relay.VersionOption{Choice: oldVersions(&ord), Share: 1 - share})
	}
	if share > 0 {
		out = append(out, relay.VersionOption{Choice: newVersion(&ord), Share: share})
	}
	return out
}
