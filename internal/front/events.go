package front

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/http1/resp"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/wagtailwick/wagtailwick/internal/httpio"
	"github.com/wagtailwick/wagtailwick/internal/stream"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// writeEvents sends the events of the reader and closes it. The first batch is
// given if it was read before.
func (srv *Server) writeEvents(ctx context.Context, rct *app.RequestContext, rdr *stream.Reader, first *stream.Batch) {
	defer rdr.Close()
	abw := &httpio.AbortWriter{ExtWriter: resp.NewChunkedBodyWriter(&rct.Response, rct.GetWriter())}
	rct.Response.HijackWriter(abw)
	wri := sse.NewWriter(rct)
	if err := sendEvents(ctx, wri, rdr, first); err != nil {
		abw.Aborted = true
		// A handover is followed by a reconnect; other ends are told.
		if !errors.Is(err, stream.ErrHandedOver) && ctx.Err() == nil {
			prb := problemOf(err)
			prb.RequestID = rdr.Info().ID
			_ = wri.WriteEvent("", "error", prb.encode()) // the connection is closed next
		}
	}
}

// sendEvents sends events up to and with the end marker.
func sendEvents(ctx context.Context, wri *sse.Writer, rdr *stream.Reader, first *stream.Batch) error {
	var enc encoder
	var bat stream.Batch
	if first != nil {
		bat = *first
	} else if err := wri.WriteComment("accepted"); err != nil {
		return err //nolint:wrapcheck // the caller has gone
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
	// head and tail surround the JSON string of a token.
	head, tail []byte
	buf        bytes.Buffer
	jsn        *json.Encoder
	id         []byte
}

// send sends one batch, and the end marker after the last one.
func (enc *encoder) send(wri *sse.Writer, rdr *stream.Reader, bat *stream.Batch) error {
	if enc.jsn == nil {
		enc.prepare(rdr.Info())
	}
	cur := bat.From
	for _, text := range bat.Texts {
		cur = cur.Advance(text)
		enc.id = cur.Append(enc.id[:0])
		if err := wri.WriteEvent(string(enc.id), "", enc.token(text)); err != nil {
			return err //nolint:wrapcheck // the caller has gone
		}
	}
	if !bat.Done {
		return nil
	}
	if err := wri.WriteEvent(cur.String(), "", encodeLast(rdr.Info(), bat.End)); err != nil {
		return err //nolint:wrapcheck // the caller has gone
	}
	return wri.WriteEvent("", "", []byte("[DONE]")) //nolint:wrapcheck // the caller has gone
}

// prepare encodes what all events of the response share.
func (enc *encoder) prepare(inf stream.Info) {
	enc.jsn = json.NewEncoder(&enc.buf)
	enc.jsn.SetEscapeHTML(false)
	const mark = "\x00"
	raw := marshal(newChunk(inf, mark, nil))
	enc.head, enc.tail, _ = bytes.Cut(raw, marshal(mark))
}

// token returns the event of one token, which is valid until the next call.
func (enc *encoder) token(text string) []byte {
	enc.buf.Reset()
	enc.buf.Write(enc.head)
	if err := enc.jsn.Encode(text); err != nil {
		return nil
	}
	// Encode ends with a newline.
	enc.buf.Truncate(enc.buf.Len() - 1)
	enc.buf.Write(enc.tail)
	return enc.buf.Bytes()
}

// A chunk is one OpenAI-style event, or a whole answer.
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

// newChunk returns the event of one token.
func newChunk(inf stream.Info, text string, fin *wick.FinishReason) chunk {
	chk := chunk{
		ID: inf.ID, Object: "text_completion", Created: inf.CreatedMillis / 1000, Model: inf.Service,
	}
	chk.Choices[0].FinishReason = fin
	if inf.Route == routeChat {
		chk.Object = "chat.completion.chunk"
		chk.Choices[0].Delta = &content{Content: &text}
	} else {
		chk.Choices[0].Text = &text
	}
	return chk
}

// encodeLast returns the event with the finish reason.
func encodeLast(inf stream.Info, end wick.Generated) []byte {
	chk := newChunk(inf, "", &end.Finish)
	chk.Usage = newUsage(end)
	return marshal(chk)
}

// encodeWhole returns a complete answer without streaming.
func encodeWhole(inf stream.Info, text string, bat stream.Batch) []byte {
	chk := newChunk(inf, text, &bat.End.Finish)
	chk.Usage = newUsage(bat.End)
	if inf.Route == routeChat {
		chk.Object = "chat.completion"
		chk.Choices[0].Delta = nil
		chk.Choices[0].Message = &content{Role: "assistant", Content: &text}
	}
	return marshal(chk)
}

// marshal encodes a value that always can be encoded.
func marshal(val any) []byte {
	raw, err := json.Marshal(val)
	if err != nil {
		return nil
	}
	return raw
}
