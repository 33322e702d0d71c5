package relay

import "time"

// applySignals applies what the endpoint says of itself in an answer to this request, before
// the answer is passed on.
func (att *attempt) applySignals(now time.Time) {
	cfg, bke := &att.req.srv.cfg, att.tgt.Backend
	att.tgt.SetLimit(att.note.Limit, now)
	if att.note.Leaving && cfg.Pool.MarkLeaving(bke.ID, bke.Born, now) {
		cfg.EndpointLeaves(bke)
	}
}
