// Package relay is a reverse proxy from callers to endpoints. It resolves the
// route and customer of a request, charges its cost to the customer's quota,
// and retries it on other endpoints until one replies, as far as the kind of
// the route allows.
package relay

import (
	"context"
	"errors"
	"math"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/audit"
	"github.com/wagtailwick/wagtailwick/internal/cost"
	"github.com/wagtailwick/wagtailwick/internal/crash"
	"github.com/wagtailwick/wagtailwick/internal/httpio"
	"github.com/wagtailwick/wagtailwick/internal/logs"
	"github.com/wagtailwick/wagtailwick/internal/plan"
	"github.com/wagtailwick/wagtailwick/internal/pool"
	"github.com/wagtailwick/wagtailwick/internal/quota"
	"github.com/wagtailwick/wagtailwick/internal/retry"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

var log = logrus.WithField("component", "relay")

// bufferedShare is the part of Config.Memory that request bodies and partial replies may
// hold. The rest is for everything else, and for what the collector hasn't freed yet.
const bufferedShare = 0.4

const (
	// headShare is the part of Config.Memory that the heads and trailers of requests may
	// hold, connShare that of connections with connBytes each: two stacks, the buffers for a
	// head that needs no reservation, and the server's context of a request. A connection with
	// a part of a small head takes 13 KiB.
	headShare = 0.15
	connShare = 0.25
	connBytes = 16 << 10
)

// Limits of the HTTP server.
const (
	readTimeout  = 10 * time.Second
	writeTimeout = 10 * time.Second
	// defaultTimeout applies if neither the request nor its route sets one.
	defaultTimeout = 30 * time.Second
	// routineLogsPerSecond bounds the log lines for requests that the first
	// endpoint answered in time.
	routineLogsPerSecond = 100
)

// A Meter counts requests whose execution has started.
type Meter interface {
	CountStarted(cus wick.Customer, at time.Time)
}

// Quotas are the token buckets of the customers.
type Quotas interface {
	// Take spends cost units, or returns false and the time until they would
	// be available.
	Take(ctx context.Context, cus *wick.CustomerPlan, cost float64, now time.Time) (ok bool, after time.Duration)
	// Refund returns the cost of a request that did not run.
	Refund(cus *wick.CustomerPlan, cost float64)
}

// A Choice restricts the endpoints of one attempt by model version.
type Choice struct {
	// Only is the sole version allowed unless it is "".
	Only wick.ModelVersion
	// Except are versions excluded.
	Except []wick.ModelVersion
	// Avoid are versions that are excluded unless no endpoint of another one is available.
	Avoid []wick.ModelVersion
	// Fallback lifts the restriction to Only, but not that of Except, when no
	// endpoint of that version is available.
	Fallback bool
	// Done must be called exactly once with the outcome of the attempt, unless
	// it is nil.
	Done func(smp wick.VersionSample)
}

// Versions choose the model version of each attempt.
type Versions interface {
	Choose(svc wick.Service, route wick.RouteName, now time.Time) Choice
	// IsRetired reports whether a completed rollout has replaced a version, so that its
	// endpoints are stopped.
	IsRetired(svc wick.Service, ver wick.ModelVersion) bool
}

// A Config holds the dependencies of a Server. All fields but Prober,
// Crashes, Views, Costs and EndpointLeaves are required.
type Config struct {
	Listener net.Listener
	// MaxConnections bounds the callers' open connections.
	MaxConnections int
	// Memory is that of the machine in bytes. Zero is unknown.
	Memory   int64
	Dialect  wick.Dialect
	Plans    *plan.Current
	Pool     *pool.Pool
	Quotas   Quotas
	Versions Versions
	Mover    wick.Mover
	Prober   wick.RunProber
	Crashes  Crashes
	Views    Views
	Budget   *retry.Budget
	Client   *wire.Client
	Meter    Meter
	// Costs estimates the work of requests from earlier ones; nil is an empty Learner.
	Costs *cost.Learner
	// PlanConfirmed reports whether the current plan was recently confirmed to
	// be the latest. If it wasn't, an unknown route or key may have been added
	// by a newer plan.
	PlanConfirmed func() bool
	// EndpointLeaves is called once when an answer has shown that an endpoint leaves. The
	// pool has already recorded it.
	EndpointLeaves func(bke wick.Backend)
	// RegistryAge returns the time since the list of endpoints was last
	// confirmed. It is only logged.
	RegistryAge func() time.Duration
	// IDHeader is the request header with the request's id, for the log lines of the
	// listener's audit. It may be "".
	IDHeader string
}

// A Server serves callers on one listener.
type Server struct {
	cfg Config
	hrz *server.Hertz
	lis *httpio.Listener
	// draining is set when new requests are refused, closing when each
	// connection is closed after its next response.
	draining, closing atomic.Bool
	active            atomic.Int64
	// routineLogs samples the log lines of requests that the first endpoint
	// answered in time.
	routineLogs *logs.Sampler
	// buffers bounds the memory of partial replies and of request bodies, bodies that of
	// the latter.
	buffers byteBudget
	bodies  bodyBudget
	// ending is the parent of the requests' contexts, end cancels it.
	ending context.Context //nolint:containedctx // ends with the server, not with a call
	end    context.CancelCauseFunc
}

// errDrainEnded cancels the requests that are in progress at the end of a drain.
var errDrainEnded = errors.New("the drain has ended")

// New returns a server that accepts connections once Serve is called.
func New(cfg Config) *Server {
	if cfg.Crashes == nil {
		cfg.Crashes = noCrashes{}
	}
	if cfg.Views == nil {
		cfg.Views = noViews{}
	}
	if cfg.Costs == nil {
		cfg.Costs = &cost.Learner{}
	}
	if cfg.EndpointLeaves == nil {
		cfg.EndpointLeaves = func(wick.Backend) {}
	}
	srv := &Server{cfg: cfg, routineLogs: logs.NewSampler(routineLogsPerSecond), buffers: byteBudget{limit: maxBufferedBytes}}
	if cfg.Memory > 0 {
		srv.buffers.limit = int64(float64(cfg.Memory) * bufferedShare)
	}
	srv.bodies.bud = &srv.buffers
	srv.ending, srv.end = context.WithCancelCause(context.Background())
	srv.lis = &httpio.Listener{
		Listener: cfg.Listener, Limit: cfg.connectionLimit(), ReadTimeout: readTimeout,
		WriteTimeout: writeTimeout, IdleTimeout: srv.idleTimeout, MinIdleTimeout: minIdleTimeout, HeaderTimeout: srv.headerTimeout,
		HeadLimit: srv.headLimit, HeadMemory: int64(float64(cfg.Memory) * headShare),
		Audit:   audit.Tracker{IDHeader: cfg.IDHeader},
		Refusal: func() []byte { return []byte(`{"executed":"no"}`) },
	}
	srv.hrz = server.New(
		server.WithListener(srv.lis), server.WithTransport(httpio.NewTransporter),
		httpio.OnAccept(), server.WithStreamBody(true), server.WithMaxRequestBodySize(math.MaxInt),
		server.WithMaxHeaderBytes(httpio.ServerHeadBytes), server.WithReadTimeout(httpio.KeepReading),
		server.WithIdleTimeout(httpio.KeepIdle), server.WithDisablePrintRoute(true),
		server.WithDisablePreParseMultipartForm(true), server.WithRedirectTrailingSlash(false),
		config.Option{F: func(opt *config.Options) {
			opt.NoDefaultServerHeader, opt.NoDefaultContentType = true, true
		}},
	)
	srv.hrz.Use(srv.recoverPanic, srv.serve)
	return srv
}

// Serve handles requests until Shutdown is called.
func (srv *Server) Serve() error { return eris.Wrap(srv.hrz.Run(), "relay") }

// Shutdown closes the listener and waits for open connections until ctx ends.
func (srv *Server) Shutdown(ctx context.Context) error {
	return eris.Wrap(httpio.Shutdown(ctx, srv.hrz, srv.lis), "relay")
}

// DisableKeepAlives closes each caller's connection after its next response.
func (srv *Server) DisableKeepAlives() { srv.closing.Store(true) }

// Drain makes the server refuse new requests as not executed.
func (srv *Server) Drain() { srv.draining.Store(true) }

// EndRequests ends the requests in progress, as their deadlines would: those that were not
// sent are refused, others answered with an unknown outcome, and only a stream that has
// begun is broken off.
func (srv *Server) EndRequests() { srv.end(errDrainEnded) }

// Active returns the number of in-flight requests.
func (srv *Server) Active() int64 { return srv.active.Load() }

// Unanswered returns the number of requests that were read whole and whose responses are
// not written completely. Their handlers may have returned.
func (srv *Server) Unanswered() int64 { return srv.lis.Audit.Open() }

// ReportUnanswered counts and logs the requests that the end of the process leaves without
// complete responses.
func (srv *Server) ReportUnanswered() { srv.lis.Audit.Stop() }

// A request is the state of one caller's request.
type request struct {
	srv *Server
	rct *app.RequestContext
	// con is the caller's connection, or nil.
	con     *httpio.CallerConn
	params  wick.RequestMeta
	match   plan.Match
	service wick.Service
	arrived time.Time
	// deadline is when the timeout of the caller or the route expires.
	deadline time.Time
	retries  retryState
	// secured is a further attempt that was granted while the current one goes on.
	secured securedRetry
	// tried lists the endpoints picked so far. They are not picked again.
	tried []wick.VMID
	// header is a copy of the caller's end-to-end headers.
	header http.Header
	body   []byte
	// expected is the work that the request probably causes.
	expected cost.Estimate
	// prompt is that of a model request.
	prompt crash.Prompt
	// fate is closed once it is known whether the endpoint of the last attempt has
	// ended; nil if that need not be awaited.
	fate <-chan struct{}
	// metered is set once the meter has counted the request.
	metered bool
	// buffered is the memory held for the replies of endpoints.
	buffered reservation
}

// serve handles one request.
func (srv *Server) serve(ctx context.Context, rct *app.RequestContext) {
	defer rct.Abort()
	hdr := endToEndHeader(rct)
	req := &request{srv: srv, rct: rct, con: httpio.Caller(ctx), header: hdr, arrived: time.Now(), buffered: reservation{bud: &srv.buffers}}
	req.params = srv.cfg.Dialect.ReadRequest(hdr)
	releaseBody, ok := req.receiveBody()
	if !ok {
		return
	}
	defer releaseBody()
	ctx, endWatch := httpio.WatchCaller(ctx, rct)
	defer endWatch()
	srv.active.Add(1)
	defer srv.active.Add(-1)
	now := time.Now()
	metrics.GetOrRegisterGauge("relay.active", nil).Update(srv.active.Load())
	if srv.closing.Load() {
		rct.SetConnectionClose()
	}
	req.arrived = now
	req.prompt = crash.NewPrompt(req.params.Parts)
	if rfl, ok := req.admit(ctx, now); !ok {
		req.writeRefusal(logs.MsgRefused, rfl)
		return
	}
	req.predict()
	defer func() { req.recordLatency(time.Since(now)) }()
	defer req.buffered.release()
	defer req.secured.release()
	ctx, cancel := context.WithDeadline(ctx, req.deadline.Add(timeoutGrace))
	defer cancel()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	defer context.AfterFunc(srv.ending, func() { end(errDrainEnded) })()
	if req.match.Route.Kind == wick.RouteStream {
		req.serveStream(ctx)
	} else {
		req.serveBuffered(ctx)
	}
}

// admit resolves the route and customer and charges the quota. It returns a
// refusal and false if the request is rejected.
func (req *request) admit(ctx context.Context, now time.Time) (refusal, bool) {
	cfg := &req.srv.cfg
	path, _, _ := strings.Cut(string(req.rct.Request.Header.RequestURI()), "?")
	mat, err := cfg.Plans.Find(string(req.rct.Request.Header.Host()), path, req.params.Key)
	if err != nil {
		return req.srv.unresolved(err), false
	}
	req.match = mat
	req.service = plan.Choose(mat.Route)
	req.retries.rpl = mat.Route
	req.deadline = now.Add(req.timeout())
	if req.srv.draining.Load() {
		return refusalDraining, false
	}
	if mat.Customer != nil {
		if ok, after := cfg.Quotas.Take(ctx, mat.Customer, req.cost(), now); !ok {
			req.logEvent(logs.MsgQuotaExhausted, logrus.Fields{"after": after.String(), "rate": mat.Customer.Quota.Rate, "burst": mat.Customer.Quota.Burst})
			return refusalQuota.withRetryAfter(after), false
		}
	}
	cfg.Budget.Success()
	return refusal{}, true
}

// unresolved returns the refusal of a request whose route or customer can't be resolved
// because of err.
func (srv *Server) unresolved(err error) refusal {
	switch {
	case errors.Is(err, plan.ErrNoPlan):
		return refusalNoPlan
	case !srv.cfg.PlanConfirmed():
		return refusalStalePlan
	case errors.Is(err, plan.ErrNoRoute):
		return refusalNoRoute
	default:
		return refusalNoCustomer
	}
}

// cost returns the units that the request costs of its customer's quota.
func (req *request) cost() float64 { return quota.Cost(req.match.Customer.Quota, req.params) }

// timeout returns the shorter one of the caller's and the route's timeouts, or
// the default if neither is set.
func (req *request) timeout() time.Duration {
	out := req.params.Deadline
	if lim := req.match.Route.Timeout; lim > 0 && (out == 0 || lim < out) {
		out = lim
	}
	if out == 0 {
		out = defaultTimeout
	}
	return out
}

// refuse answers that the request did not run, and refunds its quota.
func (req *request) refuse(rfl refusal) {
	if req.match.Customer != nil {
		req.srv.cfg.Quotas.Refund(req.match.Customer, req.cost())
	}
	req.writeRefusal(logs.MsgRefused, rfl)
}

// writeRefusal answers with a refusal and logs it.
func (req *request) writeRefusal(msg string, rfl refusal) {
	rfl.write(req.rct)
	fld := logrus.Fields{logs.FieldReason: rfl.reason, logs.FieldStatus: rfl.status, logs.FieldSends: req.retries.attempts}
	if req.retries.denied != "" {
		fld[logs.FieldDenied] = req.retries.denied
	}
	req.logEvent(msg, fld)
}

// countStart counts the request as started, at most once.
func (req *request) countStart(at time.Time) {
	if req.metered || req.match.Customer == nil {
		return
	}
	req.metered = true
	req.srv.cfg.Meter.CountStarted(req.match.Customer.Name, at)
}
