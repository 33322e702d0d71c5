package relay

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/wire"
)

// A reply without a length or chunks ends with its connection, whether it is whole or its
// endpoint has stopped. It counts as whole only if nothing that the entry knows or can find
// out speaks against it.

const (
	// endSettleTime is the time from the end of such a reply to the check of its endpoint. A
	// process that exits closes its connections and its listener one after the other, and
	// other entries record a completed rollout some milliseconds before they report it.
	endSettleTime = 50 * time.Millisecond
	// endRecheckDelay separates the two connections that must both fail: an endpoint at its
	// limit of connections may refuse one.
	endRecheckDelay = 100 * time.Millisecond
)

// Causes of outcomes other than outcomeReply for a reply without a length or chunks that has
// ended like a whole one.
var (
	// errRunStopped reports that this entry had ordered the run to stop.
	errRunStopped = errors.New("the run was stopped for its move, so that the end of its stream is unknown")
	// errEndsWithDeadline reports that the endpoint may have cut the reply at the deadline.
	errEndsWithDeadline = errors.New("the reply ended at the deadline, without a length or chunks")
	// errVersionRetired reports that a completed rollout stops the endpoint.
	errVersionRetired = errors.New("the reply ended without a length or chunks, and its version has been taken out of service")
	// errEndpointEnded reports that the endpoint accepts no more connections.
	errEndpointEnded = errors.New("the reply ended without a length or chunks, and its endpoint accepts no connections")
)

// confirmEnd returns the outcome of a reply that seems to be complete. One without a length or
// chunks is lost if its endpoint was stopped or has ended, since this may have cut it off. The
// context is that of the request.
func (att *attempt) confirmEnd(ctx context.Context) outcome {
	if att.rep.IsDelimited() {
		return outcomeReply
	}
	err := att.endDoubt(ctx)
	if err == nil {
		metrics.GetOrRegisterCounter("relay.undelimitedEnds.confirmed", nil).Inc(1)
		return outcomeReply
	}
	metrics.GetOrRegisterCounter("relay.undelimitedEnds.doubted", nil).Inc(1)
	otc := att.req.classifyError(ctx, err)
	att.recordIncomplete(logs.MsgResponseAborted, otc, err)
	return otc
}

// endDoubt returns what speaks against the end of a reply, nil if nothing does.
func (att *attempt) endDoubt(ctx context.Context) error {
	if att.isRetired() {
		return errVersionRetired
	}
	if !retry.Sleep(ctx, endSettleTime) {
		return context.Cause(ctx)
	}
	if att.isRetired() {
		return errVersionRetired
	}
	return checkListening(ctx, att.req.srv.cfg.Client, att.tgt.Backend.Address)
}

// isRetired reports whether a completed rollout stops the endpoint of the attempt.
func (att *attempt) isRetired() bool {
	bke := &att.tgt.Backend
	return att.req.srv.cfg.Versions.IsRetired(bke.Service, bke.Version)
}

// checkListening returns errEndpointEnded if an endpoint accepts neither of two connections. A
// process that is silent still accepts them, one that has ended doesn't.
func checkListening(ctx context.Context, cli *wire.Client, address string) error {
	if cli.CheckListening(ctx, address) == nil {
		return nil
	}
	if !retry.Sleep(ctx, endRecheckDelay) {
		return context.Cause(ctx)
	}
	if err := cli.CheckListening(ctx, address); err != nil {
		return errors.Join(errEndpointEnded, err)
	}
	return nil
}
