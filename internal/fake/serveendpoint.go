package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/wagtailwick/wagtailwick/internal/engine"
	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// routes registers the routes common to engines and plain services. A plain
// service cannot use their paths for its own calls.
func (hst *Host) routes(hz *server.Hertz) {
	hz.GET("/load", func(ctx context.Context, rct *app.RequestContext) {
		rep, err := hst.Load(ctx)
		if err != nil {
			writeError(rct, err)
			return
		}
		writeJSON(rct, http.StatusOK, rep)
	})
	hz.PUT(pathFaults, func(_ context.Context, rct *app.RequestContext) {
		var flt Faults
		if readJSON(rct, &flt) {
			hst.SetFaults(flt)
			writeEmpty(rct, nil)
		}
	})
	hz.POST("/reclaim", func(_ context.Context, rct *app.RequestContext) {
		var rec Reclaim
		if readJSON(rct, &rec) {
			hst.Reclaim(rec)
			writeEmpty(rct, nil)
		}
	})
}

// EngineStats is the reply of GET /stats of an engine server.
type EngineStats struct {
	Calls            map[wick.ModelVersion]int64 `json:"calls"`
	RecomputedTokens wick.Tokens                 `json:"recomputedTokens"`
	StaleOrders      int                         `json:"staleOrders"`
}

// ServeEngine serves a model engine on addr.
func ServeEngine(addr string, eng *Engine) (*Server, error) {
	return serve(addr, func(hz *server.Hertz) {
		eng.routes(hz)
		hz.POST("/v1/completions", eng.complete)
		hz.POST("/v1/chat/completions", eng.complete)
		hz.POST("/cancel", func(ctx context.Context, rct *app.RequestContext) {
			var req engine.AttemptRequest
			if readJSON(rct, &req) {
				writeEmpty(rct, eng.Cancel(ctx, req.Attempt))
			}
		})
		hz.POST("/kv/export", func(ctx context.Context, rct *app.RequestContext) {
			var req engine.AttemptRequest
			if !readJSON(rct, &req) {
				return
			}
			handle, err := eng.Export(ctx, req.Attempt)
			if err != nil {
				writeError(rct, err)
				return
			}
			writeJSON(rct, http.StatusOK, engine.ExportReply{Handle: handle})
		})
		hz.POST("/kv/import", func(ctx context.Context, rct *app.RequestContext) {
			var req engine.AttemptRequest
			if readJSON(rct, &req) {
				writeEmpty(rct, eng.Import(ctx, req.Handle))
			}
		})
		hz.GET("/cacheEvents", eng.serveCacheEvents)
		hz.POST("/orders", func(ctx context.Context, rct *app.RequestContext) {
			var ord wick.Order
			if readJSON(rct, &ord) {
				writeEmpty(rct, eng.Order(ctx, ord))
			}
		})
		hz.GET("/stats", func(_ context.Context, rct *app.RequestContext) {
			writeJSON(rct, http.StatusOK, EngineStats{eng.Calls(), eng.Recomputed(), eng.StaleOrders()})
		})
	})
}

func (eng *Engine) serveCacheEvents(ctx context.Context, rct *app.RequestContext) {
	after, err := strconv.ParseUint(rct.DefaultQuery("after", "0"), 10, 64)
	if err != nil {
		writeError(rct, wick.ErrInvalid)
		return
	}
	evts, err := eng.CacheEvents(ctx, after)
	if err != nil {
		writeError(rct, err)
		return
	}
	writeJSON(rct, http.StatusOK, engine.CacheEventsReply{Events: evts})
}

func (eng *Engine) complete(ctx context.Context, rct *app.RequestContext) {
	var req engine.CompletionRequest
	if !readJSON(rct, &req) {
		return
	}
	if !req.Stream {
		writeProblem(rct, wire.Problem{
			Type: wire.ProblemFailed, Status: http.StatusBadRequest,
			Title: "only streams are served", Executed: wire.ExecutedNo,
		})
		return
	}
	gen := wick.Generation{
		Attempt: req.Attempt, Service: req.Service, Version: req.Model,
		Prompt:    wick.Prompt{Text: req.Prompt, Messages: req.Messages},
		MaxTokens: req.MaxTokens, Priority: req.Priority, Continue: req.ContinueFrom,
	}
	rct.Header(wire.HeaderAttempt, string(req.Attempt))
	var wrt *sse.Writer
	send := func(idx string, data []byte) error {
		if wrt == nil {
			wrt = sse.NewWriter(rct)
		}
		return wrt.WriteEvent(idx, "", data)
	}
	chat := len(req.Messages) > 0
	err := eng.Stream(ctx, gen, string(rct.Path()), func(evt engine.Event) error {
		if chat {
			cho := evt.Choices[0]
			evt.Choices = []engine.Choice{{Delta: &engine.Delta{Content: cho.Text}, FinishReason: cho.FinishReason}}
		}
		data, err := json.Marshal(evt)
		if err != nil {
			return err
		}
		return send(strconv.FormatInt(int64(evt.Index), 10), data)
	})
	switch {
	case err == nil:
		// After a failed write the client detects a missing end marker.
		_ = send("", []byte(engine.EndMarker))
	case wrt != nil:
		closeConn(rct)
	default:
		writeError(rct, err)
	}
}

// ServePlain serves a plain service on addr. GET /executions returns the number
// of executions per key.
func ServePlain(addr string, pla *Plain) (*Server, error) {
	return serve(addr, func(hz *server.Hertz) {
		pla.routes(hz)
		hz.GET("/executions", func(_ context.Context, rct *app.RequestContext) {
			writeJSON(rct, http.StatusOK, ExecutionsReply{Executions: pla.Executions()})
		})
		hz.NoRoute(pla.serveCall)
	})
}

// An ExecutionsReply is the reply of GET /executions.
type ExecutionsReply struct {
	Executions map[string]int64 `json:"executions"`
}

func (pla *Plain) serveCall(ctx context.Context, rct *app.RequestContext) {
	call := wick.PlainCall{
		Attempt: wick.AttemptID(rct.GetHeader(wire.HeaderAttempt)),
		Key:     wick.IdempotencyKey(rct.GetHeader(wire.HeaderKey)),
		Method:  string(rct.Method()), Path: string(rct.URI().RequestURI()), Body: rct.Request.Body(),
	}
	rep, err := pla.Call(ctx, call)
	switch {
	case errors.Is(err, errOtherAttempt):
		rct.Header(wire.HeaderAttempt, "other-"+string(call.Attempt))
	case errors.Is(err, wick.ErrTruncated):
		// Content-Length covers the whole body, but only half of it is sent.
		con := rct.GetConn()
		_, _ = con.WriteBinary([]byte("HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(rep.Body)) + "\r\n\r\n"))
		_, _ = con.WriteBinary(rep.Body[:len(rep.Body)/2])
		_ = con.Flush()
		closeConn(rct)
		return
	case err != nil:
		writeError(rct, err)
		return
	default:
		rct.Header(wire.HeaderAttempt, string(call.Attempt))
	}
	for _, hdr := range rep.Headers {
		rct.Header(hdr.Name, hdr.Value)
	}
	rct.SetStatusCode(rep.Status)
	rct.Response.SetBody(rep.Body)
}
