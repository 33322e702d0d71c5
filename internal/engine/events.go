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

// EndMarker is the data of the end marker, the last event of a stream.
const EndMarker = "[DONE]"

const (
	maxEventBytes = 256 << 10
	// drainTimeout bounds reading the body to EOF after the end marker. Only a
	// fully read body leaves the connection reusable.
	drainTimeout = 50 * time.Millisecond
	drainBytes   = 4 << 10
)

var (
	errIncomplete   = errors.New("stream ended before its finish reason and end marker")
	errTokenCount   = errors.New("reported token count does not match the tokens received")
	errFinishReason = errors.New("unknown finish reason")
	errEngine       = errors.New("engine reported an error")
)

// An Event is the data of one server-sent event of a completion.
type Event struct {
	Attempt wick.AttemptID `json:"attempt"`
	// Index is the zero-based position of the token in the answer.
	Index   wick.Tokens     `json:"index"`
	Choices []Choice        `json:"choices,omitempty"`
	Usage   *Usage          `json:"usage,omitempty"`
	Error   json.RawMessage `json:"error,omitempty"`
}

// A Choice is the single choice of an event. Text is set for text completions,
// Delta for chat completions.
type Choice struct {
	Text         string            `json:"text,omitempty"`
	Delta        *Delta            `json:"delta,omitempty"`
	FinishReason wick.FinishReason `json:"finish_reason,omitempty"`
}

// A Delta is the content that an event adds to a chat completion.
type Delta struct {
	Content string `json:"content"`
}

// A Usage reports the token counts of a complete answer.
type Usage struct {
	PromptTokens wick.Tokens `json:"prompt_tokens"`
	// CompletionTokens counts the whole answer, including continueFrom.
	CompletionTokens wick.Tokens  `json:"completion_tokens"`
	Details          UsageDetails `json:"prompt_tokens_details"`
}

// UsageDetails reports the prompt tokens that hit the prefix cache.
type UsageDetails struct {
	CachedTokens wick.Tokens `json:"cached_tokens"`
}

// A Checker validates the events of one attempt and forwards its tokens to Sink.
type Checker struct {
	Attempt wick.AttemptID
	// AttemptOptional accepts events without an attempt id.
	AttemptOptional bool
	// Next is the index of the next token. A higher index is a gap, a lower
	// one a duplicate.
	Next wick.Tokens
	// Sink receives every token exactly once, in order.
	Sink func(wick.Token) error

	result *wick.Generated
}

// readStream parses the event stream up to the end marker.
func (chk *Checker) readStream(rep *wire.Reply) (wick.Generated, error) {
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
		if string(data) == EndMarker {
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
	return wick.Generated{}, errIncomplete
}

// appendData appends the value of a data field. Other fields and comments are
// ignored.
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
	out, err := chk.Result()
	if err == nil {
		rep.SetStallTimeout(drainTimeout)
		_, _ = io.CopyN(io.Discard, rep, drainBytes)
	}
	return out, err
}

// Result returns the result of the attempt, or an error if no event carried a
// finish reason.
func (chk *Checker) Result() (wick.Generated, error) {
	if chk.result == nil {
		return wick.Generated{}, errIncomplete
	}
	return *chk.result, nil
}

func (chk *Checker) decode(data []byte) error {
	var evt Event
	if err := json.Unmarshal(data, &evt); err != nil {
		return err
	}
	return chk.HandleEvent(evt)
}

// HandleEvent processes one event. Events of other attempts and duplicates are
// dropped; a gap in the indexes is an error.
func (chk *Checker) HandleEvent(evt Event) error {
	if evt.Attempt != chk.Attempt && (evt.Attempt != "" || !chk.AttemptOptional) {
		return nil
	}
	if len(evt.Error) > 0 {
		return fmt.Errorf("%w: %.200s", errEngine, evt.Error)
	}
	if len(evt.Choices) == 0 || chk.result != nil {
		return nil
	}
	cho := evt.Choices[0]
	text := cho.Text
	if cho.Delta != nil {
		text = cho.Delta.Content
	}
	// An engine may send the last token and the finish reason in one event.
	if cho.FinishReason == "" || text != "" {
		if err := chk.acceptToken(evt.Index, text); err != nil {
			return err
		}
	}
	if cho.FinishReason != "" {
		return chk.setResult(evt, cho.FinishReason)
	}
	return nil
}

func (chk *Checker) acceptToken(idx wick.Tokens, text string) error {
	if idx < chk.Next {
		return nil
	}
	if idx > chk.Next {
		return fmt.Errorf("gap in the token indexes: token %d after token %d", idx, chk.Next-1)
	}
	chk.Next++
	return chk.Sink(wick.Token{Attempt: chk.Attempt, Index: idx, Text: text})
}

func (chk *Checker) setResult(evt Event, reason wick.FinishReason) error {
	if reason != wick.FinishStop && reason != wick.FinishLength {
		return fmt.Errorf("%w: %.40s", errFinishReason, reason)
	}
	if evt.Usage == nil || evt.Usage.CompletionTokens != chk.Next {
		return errTokenCount
	}
	chk.result = &wick.Generated{
		Attempt: chk.Attempt, Count: chk.Next, Finish: reason,
		CachedTokens: evt.Usage.Details.CachedTokens, PromptTokens: evt.Usage.PromptTokens,
	}
	return nil
}
