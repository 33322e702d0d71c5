// Package front is the customer-facing HTTP server: OpenAI-style model calls,
// calls of plain services, resumption of answers, and the readiness check of
// the load balancer.
package front

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/httpio"
	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Defaults of Config and bounds on request headers. A body of defaultMaxBody
// bytes fits into one CBOR message to a peer.
const (
	defaultMaxBody        = 768 << 10
	defaultMaxHeader      = 16 << 10
	defaultMaxConnections = 10000
	defaultReadTimeout    = 10 * time.Second
	defaultIdleTimeout    = 60 * time.Second
	defaultWriteTimeout   = 10 * time.Second
	defaultMaxTokens      = 8192
	maxDeadline           = 24 * time.Hour
	maxKeyBytes           = 255
	// defaultPriority is the priority of requests without X-Priority.
	defaultPriority = wick.Priority(5)
)

// A Config configures a Server. Limits and timeouts that are zero get their
// defaults.
type Config struct {
	Table *stream.Table
	// Bundle returns the active bundle, or nil before one is loaded.
	Bundle   func() *bundle.Bundle
	Listener net.Listener
	// MaxBody and MaxHeader limit the sizes of a request body and header in
	// bytes.
	MaxBody   int
	MaxHeader int
	// MaxConnections limits the number of open connections.
	MaxConnections int
	// ReadTimeout bounds reading one request, IdleTimeout the time between two
	// requests of a connection, WriteTimeout one write of a response.
	ReadTimeout  time.Duration
	IdleTimeout  time.Duration
	WriteTimeout time.Duration
	// MaxTokens is the upper limit and the default of max_tokens.
	MaxTokens wick.Tokens
}

func (cfg *Config) setDefaults() {
	for _, num := range []struct {
		field *int
		value int
	}{
		{&cfg.MaxBody, defaultMaxBody},
		{&cfg.MaxHeader, defaultMaxHeader},
		{&cfg.MaxConnections, defaultMaxConnections},
	} {
		if *num.field == 0 {
			*num.field = num.value
		}
	}
	for _, dur := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&cfg.ReadTimeout, defaultReadTimeout},
		{&cfg.IdleTimeout, defaultIdleTimeout},
		{&cfg.WriteTimeout, defaultWriteTimeout},
	} {
		if *dur.field == 0 {
			*dur.field = dur.value
		}
	}
	if cfg.MaxTokens == 0 {
		cfg.MaxTokens = defaultMaxTokens
	}
}

// A Server serves the HTTP requests of callers on one listener.
type Server struct {
	cfg Config
	hrz *server.Hertz
	lis *httpio.Listener
}

// New returns a server that accepts connections once Serve is called.
func New(cfg Config) *Server {
	cfg.setDefaults()
	lis := &httpio.Listener{
		Listener: cfg.Listener, Limit: int64(cfg.MaxConnections), ReadTimeout: cfg.ReadTimeout,
		WriteTimeout: cfg.WriteTimeout, HeadLimit: func() int { return cfg.MaxHeader }, Refusal: func() []byte { return problemTooManyConnections.refuse("").encode() },
	}
	hrz := server.New(
		server.WithListener(lis), server.WithTransport(httpio.NewTransporter),
		httpio.OnAccept(),
		server.WithMaxRequestBodySize(cfg.MaxBody), server.WithMaxHeaderBytes(httpio.ServerHeadBytes),
		server.WithReadTimeout(cfg.ReadTimeout), server.WithIdleTimeout(cfg.IdleTimeout),
		server.WithDisablePrintRoute(true), server.WithDisablePreParseMultipartForm(true),
		server.WithRedirectTrailingSlash(false),
	)
	srv := &Server{cfg: cfg, hrz: hrz, lis: lis}
	hrz.Use(recovery.Recovery(), httpio.CheckBody, watchCaller)
	hrz.GET("/readyz", srv.readyz)
	hrz.POST(routeChat, srv.withCaller(srv.chat))
	hrz.POST(routeText, srv.withCaller(srv.text))
	hrz.GET("/v1/requests/:id/events", srv.withCaller(srv.events))
	hrz.GET("/v1/requests/:id", srv.withCaller(srv.request))
	hrz.Any("/s/:service/*path", srv.withCaller(srv.plain))
	hrz.NoRoute(func(_ context.Context, rct *app.RequestContext) {
		problemUnknownService.refuse("no such path").write(rct)
	})
	return srv
}

// watchCaller cancels a request's context once its caller has left.
func watchCaller(ctx context.Context, rct *app.RequestContext) {
	ctx, endWatch := httpio.WatchCaller(ctx, rct)
	defer endWatch()
	rct.Next(ctx)
}

// Serve accepts connections until Shutdown.
func (srv *Server) Serve() error { return eris.Wrap(srv.hrz.Run(), "front") }

// Shutdown closes the listener and waits for open connections until ctx ends.
// Call Table.Drain first. Requests without a complete response are then reported, because
// the process ends next.
func (srv *Server) Shutdown(ctx context.Context) error {
	defer srv.lis.Audit.Stop()
	return eris.Wrap(httpio.Shutdown(ctx, srv.hrz, srv.lis), "front")
}

// readyz is the readiness check of the load balancer.
func (srv *Server) readyz(_ context.Context, rct *app.RequestContext) {
	if !srv.cfg.Table.Ready() || srv.cfg.Bundle() == nil {
		problemNotReady.refuse("").write(rct)
		return
	}
	rct.String(200, "ready\n")
}

// A caller is the authenticated customer of one request, with the values of the
// common headers.
type caller struct {
	bun      *bundle.Bundle
	customer wick.Customer
	deadline time.Time
	priority wick.Priority
	key      wick.IdempotencyKey
}

type handler func(ctx context.Context, rct *app.RequestContext, cal caller)

// withCaller wraps a handler. It authenticates the customer and parses the
// common headers.
func (srv *Server) withCaller(next handler) app.HandlerFunc {
	return func(ctx context.Context, rct *app.RequestContext) {
		bun := srv.cfg.Bundle()
		if bun == nil {
			problemNotReady.refuse("no bundle yet").write(rct)
			return
		}
		cal := caller{bun: bun}
		var ok bool
		if cal.customer, ok = authenticate(bun, string(rct.GetHeader("Authorization"))); !ok {
			problemUnauthorized.refuse("").write(rct)
			return
		}
		if prb := cal.parseHeaders(
			string(rct.GetHeader("X-Deadline-Millis")), string(rct.GetHeader("X-Priority")),
			string(rct.GetHeader("Idempotency-Key")),
		); prb != nil {
			prb.write(rct)
			return
		}
		next(ctx, rct, cal)
	}
}

// authenticate returns the customer of a Bearer key. Every hash is compared in
// constant time, so that response times leak nothing about the keys.
func authenticate(bun *bundle.Bundle, header string) (wick.Customer, bool) {
	scheme, key, ok := strings.Cut(header, " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(key))
	hash := []byte(hex.EncodeToString(sum[:]))
	var found wick.Customer
	matched := 0
	for idx := range bun.Customers {
		cus := &bun.Customers[idx]
		if subtle.ConstantTimeCompare(hash, []byte(cus.KeyHash)) == 1 {
			found, matched = cus.Name, matched+1
		}
	}
	return found, matched == 1
}

// parseHeaders parses the headers that all calls share.
func (cal *caller) parseHeaders(deadline, priority, key string) *problem {
	cal.priority = defaultPriority
	if deadline != "" {
		num, err := strconv.ParseInt(deadline, 10, 64)
		if err != nil || num <= 0 || num > maxDeadline.Milliseconds() {
			return problemInvalid.refuse("X-Deadline-Millis is not a number of milliseconds up to 24 h")
		}
		cal.deadline = time.Now().Add(time.Duration(num) * time.Millisecond)
	}
	if priority != "" {
		num, err := strconv.ParseUint(priority, 10, 8)
		if err != nil || wick.Priority(num) > wick.MaxPriority {
			return problemInvalid.refuse("X-Priority is not a number from 0 to 9")
		}
		cal.priority = wick.Priority(num)
	}
	if len(key) > maxKeyBytes || strings.ContainsFunc(key, func(chr rune) bool { return chr < ' ' || chr > '~' }) {
		return problemInvalid.refuse("Idempotency-Key is longer than 255 bytes or not printable")
	}
	cal.key = wick.IdempotencyKey(unquote(key))
	return nil
}

// service returns the service with the name and kind, or nil.
func (cal *caller) service(name wick.Service, knd bundle.ServiceKind) *bundle.Service {
	for idx := range cal.bun.Services {
		if svc := &cal.bun.Services[idx]; svc.Name == name && svc.Kind == knd {
			return svc
		}
	}
	return nil
}

// unquote decodes a structured field string, the form of Idempotency-Key in the
// IETF draft. Other values, which many callers send, are returned unchanged.
func unquote(text string) string {
	if len(text) < 2 || text[0] != '"' || text[len(text)-1] != '"' {
		return text
	}
	return strings.NewReplacer(`\"`, `"`, `\\`, `\`).Replace(text[1 : len(text)-1])
}
