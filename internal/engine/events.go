package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/wagtailwick/wagtailwick/internal/wire"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// Done is the data of the event that ends a stream.
const Done = "[DONE]"

const (
	maxEventBytes = 256 << 10
	// drainWait bounds the wait for the end of the body after the end marker,
	// which makes the connection reusable.
	drainWait  = 50 * time.Millisecond
	drainBytes = 4 << 10
)

var (
	errNoMarker = errors.New("stream without end marker")
	errCount    = errors.New("token count differs from the tokens received")
	errFinish   = errors.New("unknown finish reason")
	errEngine   = errors.New("engine reports an error")
)

// An Event is the data of one server-sent event of a completion.
type Event struct {
	Attempt wick.AttemptID `json:"attempt"`
	// Index is the position of the token in the whole answer.
	Index   wick.Tokens     `json:"index"`
	Choices []Choice        `json:"choices,omitempty"`
	Usage   *Usage          `json:"usage,omitempty"`
	Error   json.RawMessage `json:"error,omitempty"`
}

// A Choice is the only choice of an event. Text is set for completions, Delta
// for chats.
type Choice struct {
	Text         string            `json:"text,omitempty"`
	Delta        *Delta            `json:"delta,omitempty"`
	FinishReason wick.FinishReason `json:"finish_reason,omitempty"`
}

// A Delta is the next part of a chat's answer.
type Delta struct {
	Content string `json:"content"`
}

// A Usage counts the tokens of a complete answer.
type Usage struct {
	PromptTokens wick.Tokens `json:"prompt_tokens"`
	// CompletionTokens counts the whole answer, those of continueFrom included.
	CompletionTokens wick.Tokens  `json:"completion_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails tells how many prompt tokens came from the prefix cache.
type UsageDetails struct {
	CachedTokens wick.Tokens `json:"cached_tokens"`
}

// A Checker checks the events of one attempt and passes its tokens on.
type Checker struct {
	Attempt wick.AttemptID
	// AttemptOptional accepts events that name no attempt.
	AttemptOptional bool
	// Next is the only index that is accepted as a new token.
	Next wick.Tokens
	// Sink gets every token once, in order.
	Sink func(wick.Token) error

	end *wick.Generated
}

// run reads until the end marker.
func (chk *Checker) run(rep *wire.Reply) (wick.Generated, error) {
	scn := bufio.NewScanner(rep)
	scn.Buffer(make([]byte, 0, 4<<10), maxEventBytes)
	var data []byte
	for scn.Scan() {
		line := bytes.TrimSuffix(scn.Bytes(), []byte("\r"))
		if len(line) > 0 {
			data = appendData(data, line)
			if len(data) > maxEventBytes {
				return wick.Generated{}, bufio.ErrTooLong
			}
			continue
		}
		if string(data) == Done {
			return chk.finish(rep)
		}
		if len(data) > 0 {
			if err := chk.decode(data); err != nil {
				return wick.Generated{}, err
			}
		}
		data = data[:0]
	}
	if err := scn.Err(); err != nil {
		return wick.Generated{}, err
	}
	return wick.Generated{}, errNoMarker
}

// appendData adds the value of a data field. Other fields and comments carry
// nothing that is needed.
func appendData(data, line []byte) []byte {
	val, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return data
	}
	if len(data) > 0 {
		data = append(data, '\n')
	}
	return append(data, bytes.TrimPrefix(val, []byte(" "))...)
}

func (chk *Checker) finish(rep *wire.Reply) (wick.Generated, error) {
	out, err := chk.End()
	if err == nil {
		rep.SetStall(drainWait)
		_, _ = io.CopyN(io.Discard, rep, drainBytes)
	}
	return out, err
}

// End returns the end of the answer when the end marker has been read.
func (chk *Checker) End() (wick.Generated, error) {
	if chk.end == nil {
		return wick.Generated{}, errNoMarker
	}
	return *chk.end, nil
}

func (chk *Checker) decode(data []byte) error {
	var evt Event
	if err := json.Unmarshal(data, &evt); err != nil {
		return err
	}
	return chk.Event(evt)
}

// Event handles one event. Events of other attempts and repeated events are
// dropped; a gap fails the attempt.
func (chk *Checker) Event(evt Event) error {
	if evt.Attempt != chk.Attempt && (evt.Attempt != "" || !chk.AttemptOptional) {
		return nil
	}
	if len(evt.Error) > 0 {
		return fmt.Errorf("%w: %.200s", errEngine, evt.Error)
	}
	if len(evt.Choices) == 0 || chk.end != nil {
		return nil
	}
	cho := evt.Choices[0]
	text := cho.Text
	if cho.Delta != nil {
		text = cho.Delta.Content
	}
	// An engine may send the last token and the finish reason in one event.
	if cho.FinishReason == "" || text != "" {
		if err := chk.token(evt.Index, text); err != nil {
			return err
		}
	}
	if cho.FinishReason != "" {
		return chk.setEnd(evt, cho.FinishReason)
	}
	return nil
}

func (chk *Checker) token(idx wick.Tokens, text string) error {
	if idx < chk.Next {
		return nil
	}
	if idx > chk.Next {
		return fmt.Errorf("token %d follows token %d", idx, chk.Next-1)
	}
	chk.Next++
	return chk.Sink(wick.Token{Attempt: chk.Attempt, Index: idx, Text: text})
}

func (chk *Checker) setEnd(evt Event, reason wick.FinishReason) error {
	if reason != wick.FinishStop && reason != wick.FinishLength {
		return fmt.Errorf("%w: %.40s", errFinish, reason)
	}
	if evt.Usage == nil || evt.Usage.CompletionTokens != chk.Next {
		return errCount
	}
	chk.end = &wick.Generated{
		Attempt: chk.Attempt, Count: chk.Next, Finish: reason,
		CachedTokens: evt.Usage.Details.CachedTokens, PromptTokens: evt.Usage.PromptTokens,
	}
	return nil
}
