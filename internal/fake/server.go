package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	maxRequestBytes = 16 << 20
	// shutdownTimeout is the timeout of a graceful shutdown.
	shutdownTimeout = 500 * time.Millisecond
)

// disableLog disables hertz's log. It would be flooded by connections that are
// dropped as injected faults.
var disableLog = sync.OnceFunc(func() { hlog.SetLevel(hlog.LevelFatal) })

// A Server is an HTTP server around a fake.
type Server struct {
	hz   *server.Hertz
	lis  *listener
	done chan error
}

// serve starts a server on addr with the routes that register adds.
func serve(addr string, register func(hz *server.Hertz)) (*Server, error) {
	disableLog()
	lis, err := net.Listen("tcp", addr) //nolint:noctx // listens until Close
	if err != nil {
		return nil, eris.Wrap(err, "fake: listen")
	}
	srv := &Server{lis: &listener{Listener: lis}, done: make(chan error, 1)}
	srv.hz = server.New(
		server.WithListener(srv.lis), server.WithTransport(standard.NewTransporter),
		server.WithMaxRequestBodySize(maxRequestBytes), server.WithExitWaitTime(shutdownTimeout),
		// A client that disconnects cancels its call, also while it is queued.
		server.WithSenseClientDisconnection(true),
		server.WithUseRawPath(true), server.WithRedirectTrailingSlash(false), server.WithDisablePrintRoute(true),
	)
	register(srv.hz)
	go func() { srv.done <- srv.hz.Run() }()
	return srv, nil
}

// Addr returns the address "host:port" that the server listens on.
func (srv *Server) Addr() string { return srv.lis.Addr().String() }

// Close stops the server. Calls that are still running after 500 ms are
// aborted.
func (srv *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	// A server that is not running yet stops when its listener closes.
	var err error
	if srv.hz.IsRunning() {
		err = srv.hz.Shutdown(ctx)
	}
	srv.lis.closeAll()
	if runErr := <-srv.done; runErr != nil {
		return eris.Wrap(runErr, "fake: serve")
	}
	if err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return eris.Wrap(err, "fake: shutdown")
	}
	return nil
}

// A listener tracks its connections, so that idle ones can be closed.
type listener struct {
	net.Listener
	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

type listenerConn struct {
	net.Conn
	lis *listener
}

// Accept accepts a connection.
func (lis *listener) Accept() (net.Conn, error) {
	con, err := lis.Listener.Accept()
	if err != nil {
		return nil, err
	}
	lis.mu.Lock()
	defer lis.mu.Unlock()
	if lis.conns == nil {
		lis.conns = make(map[net.Conn]struct{})
	}
	lis.conns[con] = struct{}{}
	return &listenerConn{con, lis}, nil
}

func (lis *listener) closeAll() {
	_ = lis.Close()
	lis.mu.Lock()
	defer lis.mu.Unlock()
	for con := range lis.conns {
		_ = con.Close()
	}
}

// Close closes the connection.
func (con *listenerConn) Close() error {
	con.lis.mu.Lock()
	delete(con.lis.conns, con.Conn)
	con.lis.mu.Unlock()
	return con.Conn.Close()
}

// closeConn closes the connection without a reply.
func closeConn(rct *app.RequestContext) { _ = rct.GetConn().Close() }

func writeJSON(rct *app.RequestContext, status int, val any) {
	body, err := json.Marshal(val)
	if err != nil {
		rct.SetStatusCode(http.StatusInternalServerError)
		return
	}
	rct.Data(status, wire.JSONMedia, body)
}

func writeProblem(rct *app.RequestContext, pro wire.Problem) {
	body, err := json.Marshal(pro)
	if err != nil {
		rct.SetStatusCode(http.StatusInternalServerError)
		return
	}
	rct.Data(pro.Status, wire.ProblemMedia, body)
}

// writeError writes the reply that represents err on the wire.
func writeError(rct *app.RequestContext, err error) {
	pro := wire.Problem{Type: wire.ProblemFailed, Status: http.StatusInternalServerError, Title: err.Error()}
	switch {
	case IsDropped(err):
		closeConn(rct)
		return
	case errors.Is(err, wick.ErrStaleFence):
		pro.Type, pro.Status, pro.Executed = wire.ProblemStaleFence, http.StatusConflict, wire.ExecutedNo
	case errors.Is(err, wick.ErrLeaving):
		pro.Type, pro.Status, pro.Executed = wire.ProblemLeaving, http.StatusServiceUnavailable, wire.ExecutedNo
	case errors.Is(err, wick.ErrNotExecuted):
		pro.Type, pro.Status, pro.Executed = wire.ProblemBusy, http.StatusServiceUnavailable, wire.ExecutedNo
	case errors.Is(err, wick.ErrBusy):
		pro.Type, pro.Status, pro.Executed = wire.ProblemBusy, http.StatusTooManyRequests, wire.ExecutedNo
	case errors.Is(err, wick.ErrNotFound):
		pro.Status = http.StatusNotFound
	case errors.Is(err, wick.ErrConflict):
		pro.Status = http.StatusPreconditionFailed
	case errors.Is(err, wick.ErrInvalid):
		pro.Status = http.StatusBadRequest
	case errors.Is(err, wick.ErrUnavailable):
		pro.Status = http.StatusServiceUnavailable
	}
	writeProblem(rct, pro)
}

// readJSON decodes the request body. Unknown fields are rejected, so that a
// misspelt fault is not ignored silently.
func readJSON(rct *app.RequestContext, val any) bool {
	dec := json.NewDecoder(bytes.NewReader(rct.Request.Body()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(val); err != nil {
		writeError(rct, wire.NewError(wick.ErrInvalid, "fake: decode", err))
		return false
	}
	return true
}

// writeEmpty writes an empty reply, or the error reply for err.
func writeEmpty(rct *app.RequestContext, err error) {
	if err != nil {
		writeError(rct, err)
		return
	}
	rct.SetStatusCode(http.StatusNoContent)
}
