package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/wagtailwick/wagtailwick/internal/audit"
	"github.com/wagtailwick/wagtailwick/internal/httpio"
	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// writeEvents streams the answer of rdr as server-sent events and closes rdr.
// first is the batch that the caller already read from rdr, or nil.
func (srv *Server) writeEvents(ctx context.Context, rct *app.RequestContext, rdr *stream.Reader, first *stream.Batch) {
	defer rdr.Close()
	abw := &httpio.AbortWriter{ExtWriter: resp.NewChunkedBodyWriter(&rct.Response, rct.GetWriter())}
	rct.Response.HijackWriter(abw)
	wri := sse.NewWriter(rct)
	if err := sendEvents(ctx, wri, rdr, first); err != nil {
		abw.Aborted = true
		httpio.Caller(ctx).BrokenOff(abortedBy(ctx, err))
		// After a handover the client reconnects, so no error event is sent.
		if !errors.Is(err, stream.ErrHandedOver) && ctx.Err() == nil {
			prb := problemOf(err)
			prb.RequestID = rdr.Info().ID
			_ = wri.WriteEvent("", "error", prb.encode()) // the connection is aborted in any case
		}
	}
}

// abortedBy returns who ended a stream with an error, and why.
func abortedBy(ctx context.Context, err error) (audit.Party, string) {
	switch {
	case errors.Is(err, stream.ErrHandedOver):
		return audit.Entry, "handedOver"
	case ctx.Err() != nil:
		return audit.Caller, "left"
	default:
		return audit.Endpoint, "failed"
	}
}

// sendEvents sends all events up to and including the end marker.
func sendEvents(ctx context.Context, wri *sse.Writer, rdr *stream.Reader, first *stream.Batch) error {
	var enc encoder
	var bat stream.Batch
	if first != nil {
		bat = *first
	} else if err := wri.WriteComment("accepted"); err != nil {
		return err //nolint:wrapcheck // the client disconnected
	}
	for {
		if len(bat.Texts) > 0 || bat.Done {
			if err := enc.send(wri, rdr, &bat); err != nil {
				return err
			}
		}
		if bat.Done {
			return nil
		}
		var err error
		if bat, err = rdr.Next(ctx); err != nil {
			return err //nolint:wrapcheck // a *stream.FailError or the error of ctx
		}
	}
}

// An encoder encodes the events of one response. It reuses its buffers.
type encoder struct {
	// prefix and suffix are the JSON before and after the string of a token.
	prefix, suffix []byte
	buf            bytes.Buffer
	jsn            *json.Encoder
	id             []byte
}

// send sends one batch, followed by the end marker if it is the last one.
func (enc *encoder) send(wri *sse.Writer, rdr *stream.Reader, bat *stream.Batch) error {
	if enc.jsn == nil {
		enc.prepare(rdr.Info())
	}
	cur := bat.From
	for _, text := range bat.Texts {
		cur = cur.Advance(text)
		enc.id = cur.Append(enc.id[:0])
		if err := wri.WriteEvent(string(enc.id), "", enc.token(text)); err != nil {
			return err //nolint:wrapcheck // the client disconnected
		}
	}
	if !bat.Done {
		return nil
	}
	if err := wri.WriteEvent(cur.String(), "", encodeFinish(rdr.Info(), bat.End)); err != nil {
		return err //nolint:wrapcheck // the client disconnected
	}
	return wri.WriteEvent("", "", []byte("[DONE]")) //nolint:wrapcheck // the client disconnected
}

// prepare encodes the JSON that all token events of the response share.
func (enc *encoder) prepare(inf stream.Info) {
	enc.jsn = json.NewEncoder(&enc.buf)
	enc.jsn.SetEscapeHTML(false)
	const placeholder = "\x00"
	raw := marshal(newChunk(inf, placeholder, nil))
	enc.prefix, enc.suffix, _ = bytes.Cut(raw, marshal(placeholder))
}

// token returns the event data of one token. It is valid until the next call.
func (enc *encoder) token(text string) []byte {
	enc.buf.Reset()
	enc.buf.Write(enc.prefix)
	if err := enc.jsn.Encode(text); err != nil {
		return nil
	}
	// Encode appends a newline.
	enc.buf.Truncate(enc.buf.Len() - 1)
	enc.buf.Write(enc.suffix)
	return enc.buf.Bytes()
}

// A chunk is the data of one OpenAI-style event, or a complete answer.
type chunk struct {
	ID      wick.RequestID `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   wick.Service   `json:"model"`
	Choices [1]choice      `json:"choices"`
	Usage   *usage         `json:"usage,omitempty"`
}

type choice struct {
	Index        int                `json:"index"`
	Delta        *content           `json:"delta,omitempty"`
	Message      *content           `json:"message,omitempty"`
	Text         *string            `json:"text,omitempty"`
	FinishReason *wick.FinishReason `json:"finish_reason"`
}

type content struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     wick.Tokens `json:"prompt_tokens"`
	CompletionTokens wick.Tokens `json:"completion_tokens"`
	TotalTokens      wick.Tokens `json:"total_tokens"`
}

func newUsage(end wick.Generated) *usage {
	return &usage{end.PromptTokens, end.Count, end.PromptTokens + end.Count}
}

// newChunk returns the event data for text. finish is nil for token events.
func newChunk(inf stream.Info, text string, finish *wick.FinishReason) chunk {
	chk := chunk{
		ID: inf.ID, Object: "text_completion", Created: inf.CreatedMillis / 1000, Model: inf.Service,
	}
	chk.Choices[0].FinishReason = finish
	if inf.Route == routeChat {
		chk.Object = "chat.completion.chunk"
		chk.Choices[0].Delta = &content{Content: &text}
	} else {
		chk.Choices[0].Text = &text
	}
	return chk
}

// encodeFinish returns the event data with the finish reason and token counts.
func encodeFinish(inf stream.Info, end wick.Generated) []byte {
	chk := newChunk(inf, "", &end.Finish)
	chk.Usage = newUsage(end)
	return marshal(chk)
}

// encodeAnswer returns the body of a non-streaming response.
func encodeAnswer(inf stream.Info, text string, bat stream.Batch) []byte {
	chk := newChunk(inf, text, &bat.End.Finish)
	chk.Usage = newUsage(bat.End)
	if inf.Route == routeChat {
		chk.Object = "chat.completion"
		chk.Choices[0].Delta = nil
		chk.Choices[0].Message = &content{Role: "assistant", Content: &text}
	}
	return marshal(chk)
}

// marshal encodes a value whose encoding cannot fail.
func marshal(val any) []byte {
	raw, err := json.Marshal(val)
	if err != nil {
		return nil
	}
	return raw
}
