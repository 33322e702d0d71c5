// Package admin serves the admin HTTP endpoints of an entry: state dump, metrics,
// queries and health check.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"sort"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"github.com/wagtailwick/wagtailwick/internal/httpio"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Dump returns the state of one component as a value that encodes to JSON.
type Dump func() any

// A Query answers a request with a value that encodes to JSON. Errors that wrap
// wick.ErrInvalid are those of the caller.
type Query func(body []byte) (any, error)

// maxQueryBytes bounds the body of a request, which is a small JSON document.
const maxQueryBytes = 64 << 10

// A Server is the admin HTTP server. Its zero value has no components.
type Server struct {
	mu    sync.Mutex
	dumps map[string]Dump
	// queries holds the queries by path.
	queries map[string]Query
	hertz   *server.Hertz
	lis     net.Listener
	// Registry holds the metrics; the default registry if nil.
	Registry metrics.Registry
	// Gather, if not nil, updates the metrics before each scrape.
	Gather func()
}

// Add registers the state dump of a component.
func (srv *Server) Add(part string, dump Dump) {
	srv.mu.Lock()
	defer srv.mu.Unlock()
	if srv.dumps == nil {
		srv.dumps = make(map[string]Dump)
	}
	srv.dumps[part] = dump
}

// AddQuery registers the handler of POST requests to a path. It must be called
// before Start.
func (srv *Server) AddQuery(path string, qry Query) {
	if srv.queries == nil {
		srv.queries = make(map[string]Query)
	}
	srv.queries[path] = qry
}

// State returns the state of all components by name.
func (srv *Server) State() map[string]any {
	srv.mu.Lock()
	dumps := make(map[string]Dump, len(srv.dumps))
	for part, dump := range srv.dumps {
		dumps[part] = dump
	}
	srv.mu.Unlock()
	state := make(map[string]any, len(dumps))
	for part, dump := range dumps {
		state[part] = dump()
	}
	return state
}

// Start listens on addr and serves until Stop.
func (srv *Server) Start(addr string) error {
	lis, err := net.Listen("tcp", addr) //nolint:noctx // the listener lives until Stop
	if err != nil {
		return eris.Wrap(err, "admin: listen")
	}
	own, opts := httpio.NewInternal(lis)
	srv.lis = own
	srv.hertz = server.New(append(opts, server.WithMaxRequestBodySize(maxQueryBytes), server.WithExitWaitTime(time.Second))...)
	// A panic in a dump or a query must not end the process.
	srv.hertz.Use(recovery.Recovery(), httpio.CheckBody)
	srv.hertz.GET("/dump", srv.serveDump)
	srv.hertz.GET("/metrics", srv.serveMetrics)
	srv.hertz.GET("/healthz", func(_ context.Context, req *app.RequestContext) {
		req.String(consts.StatusOK, "ok\n")
	})
	for path, qry := range srv.queries {
		srv.hertz.POST(path, func(_ context.Context, req *app.RequestContext) { serveQuery(req, qry) })
	}
	go func() {
		if err := srv.hertz.Run(); err != nil {
			logrus.WithError(err).Debug("admin: server stopped")
		}
	}()
	return nil
}

// Stop shuts the server down.
func (srv *Server) Stop(ctx context.Context) error {
	if srv.hertz == nil {
		return nil
	}
	return eris.Wrap(httpio.Shutdown(ctx, srv.hertz, srv.lis), "admin")
}

func (srv *Server) serveDump(_ context.Context, req *app.RequestContext) {
	data, err := json.MarshalIndent(srv.State(), "", "  ")
	if err != nil {
		req.String(consts.StatusInternalServerError, err.Error())
		return
	}
	req.Data(consts.StatusOK, "application/json", append(data, '\n'))
}

func serveQuery(req *app.RequestContext, qry Query) {
	val, err := qry(req.Request.Body())
	switch {
	case errors.Is(err, wick.ErrInvalid):
		req.String(consts.StatusBadRequest, err.Error())
		return
	case err != nil:
		req.String(consts.StatusInternalServerError, err.Error())
		return
	}
	data, err := json.Marshal(val)
	if err != nil {
		req.String(consts.StatusInternalServerError, err.Error())
		return
	}
	req.Data(consts.StatusOK, "application/json", append(data, '\n'))
}

func (srv *Server) serveMetrics(_ context.Context, req *app.RequestContext) {
	if srv.Gather != nil {
		srv.Gather()
	}
	reg := srv.Registry
	if reg == nil {
		reg = metrics.DefaultRegistry
	}
	req.Data(consts.StatusOK, "text/plain; version=0.0.4; charset=utf-8", Exposition(reg))
}

// sortedNames returns the sorted names of all metrics.
func sortedNames(reg metrics.Registry) []string {
	var names []string
	reg.Each(func(name string, _ any) { names = append(names, name) })
	sort.Strings(names)
	return names
}
