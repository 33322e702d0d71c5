package front

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

const (
	routeChat = "/v1/chat/completions"
	routeText = "/v1/completions"
	// pollTimeout bounds the long poll of GET /v1/requests/{id}.
	pollTimeout = 2 * time.Second
)

// A modelBody is the OpenAI-style body of a model call. Unknown fields are
// ignored, since clients send many beyond these.
type modelBody struct {
	Model               wick.Service   `json:"model"`
	Messages            []wick.Message `json:"messages"`
	Prompt              string         `json:"prompt"`
	Stream              bool           `json:"stream"`
	MaxTokens           *wick.Tokens   `json:"max_tokens"`
	MaxCompletionTokens *wick.Tokens   `json:"max_completion_tokens"`
}

// parseModel parses and validates the body of a model call. It returns the
// token limit of the answer, at most maxTokens.
func parseModel(raw []byte, route string, maxTokens wick.Tokens) (modelBody, wick.Tokens, *problem) {
	var bod modelBody
	if err := json.Unmarshal(raw, &bod); err != nil {
		return bod, 0, problemInvalid.refuse("the body is not JSON of the expected form")
	}
	switch {
	case bod.Model == "":
		return bod, 0, problemInvalid.refuse("model is missing")
	case route == routeChat && (len(bod.Messages) == 0 || bod.Prompt != ""):
		return bod, 0, problemInvalid.refuse("messages are missing, or prompt is given")
	case route == routeText && (bod.Prompt == "" || len(bod.Messages) > 0):
		return bod, 0, problemInvalid.refuse("prompt is missing, or messages are given")
	}
	tokens := maxTokens
	for _, num := range []*wick.Tokens{bod.MaxTokens, bod.MaxCompletionTokens} {
		if num != nil && *num <= 0 {
			return bod, 0, problemInvalid.refuse("max_tokens is not positive")
		}
		if num != nil {
			tokens = min(tokens, *num)
		}
	}
	return bod, tokens, nil
}

func (srv *Server) chat(ctx context.Context, rct *app.RequestContext, cal caller) {
	srv.model(ctx, rct, cal, routeChat)
}

func (srv *Server) text(ctx context.Context, rct *app.RequestContext, cal caller) {
	srv.model(ctx, rct, cal, routeText)
}

// model accepts a model call and writes its answer.
func (srv *Server) model(ctx context.Context, rct *app.RequestContext, cal caller, route string) {
	bod, tokens, prb := parseModel(rct.Request.Body(), route, srv.cfg.MaxTokens)
	if prb != nil {
		prb.write(rct)
		return
	}
	if cal.service(bod.Model, bundle.KindModel) == nil {
		problemUnknownService.refuse("model names no model service").write(rct)
		return
	}
	hea := stream.Head{
		Customer: cal.customer, Service: bod.Model, Route: route, MaxTokens: tokens, Priority: cal.priority,
		Prompt: wick.Prompt{Text: bod.Prompt, Messages: bod.Messages},
	}
	if !cal.deadline.IsZero() {
		hea.DeadlineMillis = cal.deadline.UnixMilli()
	}
	req, err := srv.cfg.Table.Accept(ctx, hea)
	if err != nil {
		problemOf(err).write(rct)
		return
	}
	rct.Response.Header.Set("X-Request-Id", string(req.Head.ID))
	rdr := req.Attach(stream.Cursor{})
	if bod.Stream {
		// The response header carries the id with which the caller may resume,
		// so the header is not sent before a replica has the request or the
		// bounded wait for it has ended.
		req.AwaitReplica(ctx)
		srv.writeEvents(ctx, rct, rdr, nil)
		return
	}
	srv.writeAnswer(ctx, rct, rdr, req.Head.ID)
}

// events resumes a stream after the event in Last-Event-ID.
func (srv *Server) events(ctx context.Context, rct *app.RequestContext, cal caller) {
	cur, err := stream.ParseCursor(sse.GetLastEventID(&rct.Request))
	if err != nil {
		problemInvalid.refuse("Last-Event-ID is not an event id").write(rct)
		return
	}
	rid := wick.RequestID(rct.Param("id"))
	rdr := srv.cfg.Table.Resume(rid, cal.customer, cur)
	bat, err := rdr.Next(ctx)
	if err != nil {
		rdr.Close()
		srv.fail(rct, err, rid)
		return
	}
	rct.Response.Header.Set("X-Request-Id", string(rid))
	srv.writeEvents(ctx, rct, rdr, &bat)
}

// request returns a complete answer, or 202 while the request is running.
func (srv *Server) request(ctx context.Context, rct *app.RequestContext, cal caller) {
	rid := wick.RequestID(rct.Param("id"))
	rdr := srv.cfg.Table.Resume(rid, cal.customer, stream.Cursor{})
	pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var bld strings.Builder
	bat, err := readAnswer(pollCtx, &rdr, &bld)
	defer rdr.Close()
	switch {
	case err == nil:
		rct.Response.Header.Set("X-Request-Id", string(rid))
		rct.Data(200, "application/json", encodeAnswer(rdr.Info(), bld.String(), bat))
	case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil && rdr.Info().ID == "":
		srv.fail(rct, &stream.FailError{Err: wick.ErrNotFound, Executed: stream.ExecutedUnknown}, rid)
	case errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil:
		rct.Response.Header.Set("Retry-After", "1")
		rct.JSON(202, map[string]any{"id": rid, "state": "running", "events": rdr.Cursor().Events})
	default:
		srv.fail(rct, err, rid)
	}
}

// fail writes the problem for an error of an accepted request.
func (*Server) fail(rct *app.RequestContext, err error, rid wick.RequestID) {
	prb := problemOf(err)
	prb.RequestID = rid
	prb.write(rct)
}

// readAnswer reads a complete answer and follows handovers to other entries,
// which replace *rdr. The caller closes *rdr.
func readAnswer(ctx context.Context, rdr **stream.Reader, bld *strings.Builder) (stream.Batch, error) {
	for {
		bat, err := (*rdr).Next(ctx)
		if errors.Is(err, stream.ErrHandedOver) {
			next := (*rdr).Follow()
			(*rdr).Close()
			*rdr = next
			continue
		}
		if err != nil {
			return bat, err //nolint:wrapcheck // a *stream.FailError or the error of ctx
		}
		for _, text := range bat.Texts {
			bld.WriteString(text)
		}
		if bat.Done {
			return bat, nil
		}
	}
}

// writeAnswer writes a non-streaming response.
func (srv *Server) writeAnswer(ctx context.Context, rct *app.RequestContext, rdr *stream.Reader, rid wick.RequestID) {
	var bld strings.Builder
	bat, err := readAnswer(ctx, &rdr, &bld)
	defer rdr.Close()
	if err != nil {
		srv.fail(rct, err, rid)
		return
	}
	rct.Data(200, "application/json", encodeAnswer(rdr.Info(), bld.String(), bat))
}
