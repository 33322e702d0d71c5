package relay

import (
	"errors"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/crash"
	"github.com/wagtailwick/wagtailwick/internal/plan"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Views read the state by which requests are admitted and versions are chosen, without
// changing it.
type Views interface {
	// QuotaLeft returns the units of a customer's quota that this entry may spend without
	// requesting units from a reserve, and false if that is unknown.
	QuotaLeft(cus *wick.CustomerPlan, now time.Time) (float64, bool)
	// VersionOptions returns the choices that Versions.Choose may make. Their shares add up
	// to 1, and their Done is nil.
	VersionOptions(svc wick.Service) []VersionOption
	// PeekPrompt returns what Crashes.Check would decide.
	PeekPrompt(pro crash.Prompt) crash.Verdict
}

// A VersionOption is a choice that is made for a share of the requests.
type VersionOption struct {
	Choice Choice
	Share  float64
}

// noViews is the default of Config.Views. It has no quotas, version orders or blocks.
type noViews struct{}

func (noViews) QuotaLeft(*wick.CustomerPlan, time.Time) (float64, bool) { return 0, false }
func (noViews) VersionOptions(wick.Service) []VersionOption             { return []VersionOption{{Share: 1}} }
func (noViews) PeekPrompt(crash.Prompt) crash.Verdict                   { return crash.Verdict{} }

// An Ask describes a request that is not sent.
type Ask struct {
	Host string `json:"host"`
	Path string `json:"path"`
	// Customer replaces Key unless it is "".
	Key      wick.CallerKey `json:"key,omitempty"`
	Customer wick.Customer  `json:"customer,omitempty"`
	// InputTokens, OutputTokens, LengthHint and Parts are those of wick.RequestMeta.
	InputTokens  wick.Tokens `json:"inputTokens,omitempty"`
	OutputTokens wick.Tokens `json:"outputTokens,omitempty"`
	LengthHint   wick.Tokens `json:"lengthHint,omitempty"`
	Parts        []AskPart   `json:"parts,omitempty"`
	// DeadlineMillis is the caller's timeout, 0 for that of the route.
	DeadlineMillis int64 `json:"deadlineMillis,omitempty"`
	// Tried lists endpoints that the request was already sent to.
	Tried []wick.VMID `json:"tried,omitempty"`
}

// An AskPart is a part of a prompt.
type AskPart struct {
	ID     wick.PartID `json:"id"`
	Tokens wick.Tokens `json:"tokens"`
}

// meta returns the fields of the request. Negative values count as absent, as in a
// request's header.
func (ask *Ask) meta() wick.RequestMeta {
	met := wick.RequestMeta{
		Key: ask.Key, Deadline: time.Duration(max(ask.DeadlineMillis, 0)) * time.Millisecond,
		InputTokens: max(ask.InputTokens, 0), OutputTokens: max(ask.OutputTokens, 0), LengthHint: max(ask.LengthHint, 0),
	}
	for _, part := range ask.Parts {
		met.Parts = append(met.Parts, wick.PromptPart{ID: part.ID, Tokens: max(part.Tokens, 0)})
	}
	return met
}

// An Explanation describes where a request would be sent at a time, and the reasons.
type Explanation struct {
	// Refusal is the reason for which the entry would refuse the request whatever the
	// endpoints are, "" if it wouldn't. An exhausted quota is none, since the reserve may
	// have units.
	Refusal          string           `json:"refusal,omitempty"`
	RetryAfterMillis int64            `json:"retryAfterMillis,omitempty"`
	Plan             wick.PlanVersion `json:"plan,omitempty"`
	Route            wick.RouteName   `json:"route,omitempty"`
	Kind             wick.RouteKind   `json:"kind,omitempty"`
	Customer         wick.Customer    `json:"customer,omitempty"`
	Rank             wick.Rank        `json:"rank"`
	DeadlineMillis   int64            `json:"deadlineMillis,omitempty"`
	// MaxWaitMillis is how long the request may wait for its turn at an endpoint.
	MaxWaitMillis   int64         `json:"maxWaitMillis,omitempty"`
	RouteRegions    []wick.Region `json:"routeRegions,omitempty"`
	CustomerRegions []wick.Region `json:"customerRegions,omitempty"`
	// Quota is nil for requests without a quota.
	Quota *QuotaState `json:"quota,omitempty"`
	// Trial is set for a prompt that would be let through as the trial of a block.
	Trial    bool     `json:"trial,omitempty"`
	Expected Expected `json:"expected"`
	// Placements has one element for each service of the route and version option.
	Placements []Placement `json:"placements,omitempty"`
}

// A QuotaState is the state of a customer's quota at an entry.
type QuotaState struct {
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst"`
	// Cost is that of the request.
	Cost float64 `json:"cost"`
	// Left is the number of units that the entry may spend without requesting more from the
	// owners of the reserve.
	Left float64 `json:"left"`
}

// Expected is the work that a request is expected to cause.
type Expected struct {
	OutputTokens wick.Tokens `json:"outputTokens,omitempty"`
	// Source is where OutputTokens comes from: "lengthHint" (the caller's), "outputLimit"
	// (the most that the request allows), or "" if it has neither.
	Source string `json:"source,omitempty"`
	// Learned is the estimate from earlier requests, nil while there is none.
	Learned *LearnedCost `json:"learned,omitempty"`
}

// A LearnedCost is an estimate of output tokens, or of the milliseconds of a plain request.
type LearnedCost struct {
	Mean float64 `json:"mean"`
	// High is the 0.9 quantile.
	High    float64 `json:"high"`
	Samples int     `json:"samples"`
}

// A Placement is the choice of an endpoint for a share of the requests that an Ask describes.
type Placement struct {
	Service wick.Service `json:"service"`
	Share   float64      `json:"share"`
	// OnlyVersion and ExceptVersions restrict the endpoints by a version order.
	OnlyVersion    wick.ModelVersion   `json:"onlyVersion,omitempty"`
	ExceptVersions []wick.ModelVersion `json:"exceptVersions,omitempty"`
	// Refusal is the reason for which the request would be refused, "" if there is a choice.
	Refusal          string `json:"refusal,omitempty"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
	pool.Explanation
}

// Explain returns where a request would be sent at a time, and the reasons. It sends nothing,
// and changes no state that later requests depend on.
func (srv *Server) Explain(ask Ask, now time.Time) Explanation {
	mat, err := srv.findAsked(&ask)
	if err != nil {
		var out Explanation
		out.Refusal, out.RetryAfterMillis = srv.unresolved(err).explain()
		return out
	}
	req := &request{srv: srv, params: ask.meta(), match: mat}
	req.deadline = now.Add(req.timeout())
	out := Explanation{
		Plan: mat.Table.Plan.Version, Route: mat.Route.Name, Kind: mat.Route.Kind, Rank: mat.Rank(), DeadlineMillis: req.timeout().Milliseconds(),
		MaxWaitMillis: req.maxTurnWait(now).Milliseconds(), Expected: expected(&req.params),
	}
	out.RouteRegions, out.CustomerRegions = req.regions()
	if mat.Customer != nil {
		out.Customer, out.Quota = mat.Customer.Name, req.quotaState(now)
	}
	vdc := srv.cfg.Views.PeekPrompt(crash.NewPrompt(req.params.Parts))
	out.Trial = vdc.Trial
	switch {
	case srv.draining.Load():
		out.Refusal, out.RetryAfterMillis = refusalDraining.explain()
	case vdc.Blocked:
		out.Refusal, out.RetryAfterMillis = refusalPromptBlocked.withRetryAfter(vdc.RetryAfter).explain()
	}
	out.Placements = req.placements(ask.Tried, now)
	// placements leaves the estimate of the route's last service in req.expected.
	if est := &req.expected; est.Samples > 0 {
		out.Expected.Learned = &LearnedCost{Mean: est.Output, High: est.High, Samples: est.Samples}
	}
	return out
}

// explain returns the reason of the refusal and its Retry-After.
func (rfl refusal) explain() (reason string, retryAfterMillis int64) {
	return rfl.reason, rfl.retryAfter.Milliseconds()
}

// findAsked resolves the route and the customer of a request that is not sent.
func (srv *Server) findAsked(ask *Ask) (plan.Match, error) {
	if ask.Customer != "" {
		return srv.cfg.Plans.FindNamed(ask.Host, ask.Path, ask.Customer) //nolint:wrapcheck // our own package
	}
	return srv.cfg.Plans.Find(ask.Host, ask.Path, ask.Key) //nolint:wrapcheck // our own package
}

// quotaState returns the state of the customer's quota, nil if the customer has none or
// it is unknown.
func (req *request) quotaState(now time.Time) *QuotaState {
	quo := &req.match.Customer.Quota
	left, ok := req.srv.cfg.Views.QuotaLeft(req.match.Customer, now)
	if quo.Rate <= 0 || !ok {
		return nil
	}
	return &QuotaState{Rate: quo.Rate, Burst: quo.Burst, Cost: req.cost(), Left: left}
}

// expected returns the expected work of a request.
func expected(met *wick.RequestMeta) Expected {
	out := Expected{OutputTokens: met.ExpectedOutput()}
	switch {
	case met.LengthHint > 0:
		out.Source = "lengthHint"
	case met.OutputTokens > 0:
		out.Source = "outputLimit"
	}
	return out
}

// placements returns the choices of an endpoint for each service of the route and each
// version option.
func (req *request) placements(tried []wick.VMID, now time.Time) []Placement {
	var total float64
	for _, spl := range req.match.Route.Splits {
		total += spl.Weight
	}
	var out []Placement
	for _, spl := range req.match.Route.Splits {
		req.service = spl.Service
		req.expected = req.srv.cfg.Costs.Predict(req.costRequest())
		for _, opt := range req.srv.cfg.Views.VersionOptions(spl.Service) {
			out = append(out, req.placement(opt, spl.Weight/total, tried, now))
		}
	}
	return out
}

// placement returns the choice of an endpoint for the request's service and a version
// option.
func (req *request) placement(opt VersionOption, splitShare float64, tried []wick.VMID, now time.Time) Placement {
	que := req.query(opt.Choice, tried, false, req.maxTurnWait(now), now)
	exp := req.srv.cfg.Pool.Explain(que)
	if exp.Err != nil && opt.Choice.Fallback {
		que.OnlyVersion = ""
		exp = req.srv.cfg.Pool.Explain(que)
	}
	out := Placement{
		Service: req.service, Share: splitShare * opt.Share, OnlyVersion: que.OnlyVersion, ExceptVersions: que.ExceptVersions, Explanation: exp,
	}
	if exp.Err != nil {
		out.Refusal, out.RetryAfterMillis = unavailable(exp.Err).explain()
	}
	return out
}

// unavailable returns the refusal of a request whose first choice of an endpoint has failed.
func unavailable(err error) refusal {
	var limited *pool.LimitedError
	var paused *pool.PausedError
	switch {
	case errors.As(err, &limited):
		return refusalLimited.withRetryAfter(limited.RetryAfter)
	case errors.As(err, &paused):
		return refusalPaused.withRetryAfter(paused.RetryAfter)
	default:
		return refusalNoEndpoint
	}
}
