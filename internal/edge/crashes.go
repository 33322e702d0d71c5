package edge

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/crash"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/peer"
	"github.com/wagtailwick/wagtailwick/internal/place"
	"github.com/wagtailwick/wagtailwick/internal/relay"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/roster"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	// endingProbeTimeout bounds one probe of an endpoint whose connection has ended.
	endingProbeTimeout = 250 * time.Millisecond
	// endingProbeDelay is the time between two such probes, both of which must fail: an
	// endpoint that is full may reset a connection.
	endingProbeDelay = 100 * time.Millisecond
	// crashNewsInterval is the least time between two messages with news.
	crashNewsInterval = 100 * time.Millisecond
	// evaluationMargin is the time after the evidence has settled by which it has been
	// evaluated.
	evaluationMargin = 50 * time.Millisecond
	// maxLoggedPrompts bounds the prompts in the log line of an endpoint that ended.
	maxLoggedPrompts = 16
)

// errNoProbeAnswer is the error of a probe that the endpoint did not answer in time.
var errNoProbeAnswer = errors.New("endpoint does not answer")

// crashes tracks the ends of endpoints and the prompts that caused them. It implements
// relay.Crashes.
type crashes struct {
	edg     *Edge
	tracker crash.Tracker
	// wake tells the loop that there may be news.
	wake chan struct{}

	mu sync.Mutex
	// probes holds the endpoints whose end is being confirmed.
	probes map[crash.Ending]*endingProbe
	// merged is the last record of each entry whose news were merged.
	merged map[wick.EntryID]recordReply
}

// An endingProbe finds out whether an endpoint has ended.
type endingProbe struct {
	prompts []crash.Prompt
	// heardAt is when anything last came from the endpoint.
	heardAt time.Time
	// done is closed when the fate of the endpoint is known and told.
	done chan struct{}
}

// Check decides whether a prompt may be sent to an endpoint.
func (crs *crashes) Check(pro crash.Prompt) crash.Verdict {
	vdc := crs.tracker.Check(pro, crs.trialRank, time.Now())
	if vdc.Trial {
		metrics.GetOrRegisterCounter("edge.blockTrials", nil).Inc(1)
		crs.signal()
	}
	return vdc
}

// peek returns what Check would decide, without starting a trial.
func (crs *crashes) peek(pro crash.Prompt) crash.Verdict {
	return crs.tracker.Peek(pro, crs.trialRank, time.Now())
}

// trialRank returns this entry's position among those that may start a trial.
func (crs *crashes) trialRank(key string) int {
	mems := place.Rank(key, crs.edg.roster.Members(time.Now(), memberTimeout))
	return max(0, slices.IndexFunc(mems, func(mem wick.Member) bool { return mem.ID == crs.edg.cfg.ID }))
}

// Survived records that an endpoint survived a prompt.
func (crs *crashes) Survived(bke wick.Backend, pro crash.Prompt, began time.Time) {
	if crs.tracker.AddSurvival(endingOf(&bke), pro, began, time.Now()) {
		crs.signal()
	}
}

// Lost finds out whether an endpoint has ended whose connection ended before its answer
// to a prompt had progressed.
func (crs *crashes) Lost(bke wick.Backend, pro crash.Prompt, heardAt time.Time) <-chan struct{} {
	if crs.edg.cfg.Prober == nil {
		return nil
	}
	end := endingOf(&bke)
	crs.mu.Lock()
	defer crs.mu.Unlock()
	prb := crs.probes[end]
	if prb == nil {
		prb = &endingProbe{done: make(chan struct{})}
		if crs.probes == nil {
			crs.probes = make(map[crash.Ending]*endingProbe)
		}
		crs.probes[end] = prb
		go crs.confirm(bke, prb)
	}
	prb.prompts = append(prb.prompts, pro)
	if heardAt.After(prb.heardAt) {
		prb.heardAt = heardAt
	}
	if crs.tracker.IsSuspected(pro) {
		return prb.done
	}
	return nil
}

func endingOf(bke *wick.Backend) crash.Ending { return crash.Ending{Endpoint: bke.ID, Born: bke.Born} }

// confirm probes an endpoint and records its end.
func (crs *crashes) confirm(bke wick.Backend, prb *endingProbe) {
	defer close(prb.done)
	ended := crs.hasEnded(bke, prb)
	crs.mu.Lock()
	delete(crs.probes, endingOf(&bke))
	prompts := prb.prompts
	crs.mu.Unlock()
	if !ended {
		return
	}
	metrics.GetOrRegisterCounter("edge.endpointsEnded", nil).Inc(1)
	log.WithFields(logrus.Fields{logs.FieldEndpoint: bke.ID, "lost": len(prompts), "prompts": crash.Samples(prompts[:min(len(prompts), maxLoggedPrompts)])}).Info(logs.MsgEndpointEnded)
	crs.tracker.AddEnding(endingOf(&bke), prompts, time.Now())
	crs.signal()
	time.Sleep(crash.SettleTime + evaluationMargin)
}

// hasEnded reports whether an endpoint's incarnation has ended: it has restarted, or two
// probes fail. Probes without an answer count only once the endpoint has been silent for
// longer than a sound one may be.
func (crs *crashes) hasEnded(bke wick.Backend, prb *endingProbe) bool {
	for first := true; ; first = false {
		same, err := crs.probe(bke)
		switch {
		case err == nil:
			return !same
		case !first && (!errors.Is(err, errNoProbeAnswer) || crs.silence(prb) >= relay.SoundSilence):
			return true
		}
		time.Sleep(endingProbeDelay)
	}
}

// silence returns how long nothing has come from an endpoint.
func (crs *crashes) silence(prb *endingProbe) time.Duration {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	return time.Since(prb.heardAt)
}

// probe reports whether an endpoint's incarnation still runs; the error is
// errNoProbeAnswer if the endpoint is silent.
func (crs *crashes) probe(bke wick.Backend) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), endingProbeTimeout)
	defer cancel()
	same, err := crs.edg.cfg.Prober.ProbeIncarnation(ctx, bke)
	if err != nil && ctx.Err() != nil {
		return false, errNoProbeAnswer
	}
	return same, err //nolint:wrapcheck // only checked for nil
}

// signal wakes the loop.
func (crs *crashes) signal() {
	select {
	case crs.wake <- struct{}{}:
	default:
	}
}

// run tells the other entries the news, and logs which parts are blocked.
func (crs *crashes) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-crs.wake:
		}
		nws, changes := crs.tracker.TakeNews(time.Now())
		for idx := range changes {
			logChange(&changes[idx])
		}
		if !nws.IsEmpty() {
			crs.edg.notify(ctx, wick.MsgCrash, nws, crs.edg.reachablePeers())
		}
		if !retry.Sleep(ctx, crashNewsInterval) {
			return
		}
		if crs.tracker.HasPending() {
			crs.signal()
		}
	}
}

// updateGauges sets the gauges of the bounds that were reached.
func (crs *crashes) updateGauges() {
	fbk := crs.tracker.Fallbacks()
	for name, num := range map[string]uint64{
		"mergedPrompts": fbk.MergedPrompts, "sampledSets": fbk.SampledSets, "uncomparedDigests": fbk.UncomparedDigests,
		"fullDigests": fbk.FullDigests, "unsentSurvivals": fbk.UnsentSurvivals, "forgottenSurvivals": fbk.ForgottenSurvivals,
		"forgottenEndings": fbk.ForgottenEndings, "forgottenBlocks": fbk.ForgottenBlocks,
	} {
		setGauge("crash."+name, int64(num)) //nolint:gosec // counts are small
	}
}

// logChange logs a set of parts that was blocked or is allowed again.
func logChange(chg *crash.Change) {
	lin := log.WithFields(logrus.Fields{"parts": chg.Parts, "own": chg.Own, "crashes": chg.Crashes})
	if chg.Lifted {
		lin.Info(logs.MsgPartsAllowed)
		return
	}
	metrics.GetOrRegisterCounter("edge.blocks", nil).Inc(1)
	lin.Warn(logs.MsgPartsBlocked)
}

// handleNews applies another entry's news.
func (crs *crashes) handleNews(_ context.Context, _ wick.EntryID, body []byte) (any, error) {
	var nws crash.News
	if err := peer.Decode(body, &nws); err != nil {
		return nil, err //nolint:wrapcheck // our own package
	}
	crs.tracker.Merge(nws, time.Now())
	crs.signal()
	return struct{}{}, nil
}

// record returns what the entry's record tells, nil if there is nothing.
func (crs *crashes) record(now time.Time) *crash.News {
	nws := crs.tracker.Record(now)
	if nws.IsEmpty() {
		return nil
	}
	return &nws
}

// adoptRecords merges the news in the records of the other entries, each record once:
// ages in it are those of its publication.
func (crs *crashes) adoptRecords(now time.Time) {
	recs := crs.edg.roster.All()
	for idx := range recs {
		if rec := &recs[idx]; rec.ID != crs.edg.cfg.ID && rec.Crashes != nil && crs.isNews(rec) {
			crs.tracker.Merge(*rec.Crashes, now)
			crs.signal()
		}
	}
}

// isNews reports whether a record's news have not been merged, and marks them as merged.
func (crs *crashes) isNews(rec *roster.Record) bool {
	crs.mu.Lock()
	defer crs.mu.Unlock()
	if crs.merged == nil {
		crs.merged = make(map[wick.EntryID]recordReply)
	}
	pos := recordReply{rec.Incarnation, rec.Beat}
	if crs.merged[rec.ID] == pos {
		return false
	}
	crs.merged[rec.ID] = pos
	return true
}
