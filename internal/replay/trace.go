// Package replay runs recorded traces against a site on loopback and checks
// their expectations.
package replay

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/internal/fake"
	"github.com/wagtailwick/wagtailwick/internal/load"
	"github.com/wagtailwick/wagtailwick/pkg/bundle"
	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// A Trace is a recorded sequence of events with its expectations. The file
// holds a Header on its first line and one Step on each further line, as JSON.
type Trace struct {
	Header Header
	Steps  []Step
}

// A Header describes the site of a trace.
type Header struct {
	Name string `json:"name"`
	// Entries holds the zone of each entry.
	Entries []wick.Zone `json:"entries"`
	Engines []Endpoint  `json:"engines,omitempty"`
	Plains  []Endpoint  `json:"plains,omitempty"`
	// Keys holds the API key of each customer.
	Keys map[wick.Customer]string `json:"keys"`
	// Bundle is in force before the first step. Key hashes of customers may
	// be omitted; they are then computed from Keys.
	Bundle  bundle.Bundle `json:"bundle"`
	Outcome Outcome       `json:"outcome"`
}

// An Endpoint is one endpoint of a site.
type Endpoint struct {
	ID       wick.VMID           `json:"id"`
	Zone     wick.Zone           `json:"zone"`
	Class    wick.Class          `json:"class"`
	Service  wick.Service        `json:"service"`
	Versions []wick.ModelVersion `json:"versions"`
	// DecodeMillis is an engine's time between tokens, ServiceMillis the service
	// time of a plain call; if zero, the fake endpoint's default applies.
	DecodeMillis  wick.Millis `json:"decodeMillis,omitempty"`
	ServiceMillis wick.Millis `json:"serviceMillis,omitempty"`
}

// A Step is one event of a trace. Exactly one of the events is set.
type Step struct {
	// At is the time of the step since the start of the replay.
	At wick.Millis `json:"at"`
	// Repeat is how many times a call is run, at intervals of Every; once if
	// zero. "{n}" in prompts, paths, keys and bodies expands to the index of the
	// repetition.
	Repeat int         `json:"repeat,omitempty"`
	Every  wick.Millis `json:"every,omitempty"`

	// Note is printed when an event other than a call is run.
	Note string `json:"note,omitempty"`

	Complete *Completion       `json:"complete,omitempty"`
	Call     *Call             `json:"call,omitempty"`
	Store    *StoreFault       `json:"store,omitempty"`
	Cloud    *fake.CloudFaults `json:"cloud,omitempty"`
	Endpoint *EndpointFault    `json:"endpoint,omitempty"`
	Drain    *Drain            `json:"drain,omitempty"`
	Kill     wick.EntryID      `json:"kill,omitempty"`
	Start    *StartEntry       `json:"start,omitempty"`
	// Roll rolls out a new version of the header's bundle with these moves.
	Roll []Move `json:"roll,omitempty"`

	// Expect holds the allowed fates of a call; answered if empty.
	Expect []load.Outcome `json:"expect,omitempty"`
	// WithinMillis is the maximum duration of a call; unlimited if zero.
	WithinMillis wick.Millis `json:"withinMillis,omitempty"`
}

// A Completion is a streamed call to a model service.
type Completion struct {
	Customer wick.Customer `json:"customer"`
	Model    wick.Service  `json:"model"`
	Prompt   string        `json:"prompt"`
	Tokens   wick.Tokens   `json:"tokens"`
}

// A Call is a call to a plain service.
type Call struct {
	Customer wick.Customer       `json:"customer"`
	Service  wick.Service        `json:"service"`
	Method   string              `json:"method"`
	Path     string              `json:"path"`
	Key      wick.IdempotencyKey `json:"key,omitempty"`
	Body     string              `json:"body,omitempty"`
	// Retry lets the client retry the call where that is safe.
	Retry bool `json:"retry,omitempty"`
}

// A StoreFault sets the injected faults of the object store.
type StoreFault struct {
	Faults fake.StoreFaults `json:"faults"`
	Seed   uint64           `json:"seed,omitempty"`
}

// An EndpointFault sets the injected faults of one endpoint.
type EndpointFault struct {
	ID     wick.VMID   `json:"id"`
	Faults fake.Faults `json:"faults"`
}

// A Drain shuts an entry down gracefully.
type Drain struct {
	Entry        wick.EntryID `json:"entry"`
	NoticeMillis wick.Millis  `json:"noticeMillis,omitempty"`
}

// A StartEntry starts an entry without any earlier state.
type StartEntry struct {
	Entry wick.EntryID `json:"entry"`
	Zone  wick.Zone    `json:"zone"`
}

// A Move is a move whose deadline is relative to the time of its step.
type Move struct {
	wick.Move
	DeadlineMillis wick.Millis `json:"deadlineMillis"`
}

// An Outcome holds the expectations for the whole trace. In addition, no key may
// be executed twice, refused keys must not have been executed, and answered keys
// must have been.
type Outcome struct {
	// AnsweredShare is the minimum share of answered calls.
	AnsweredShare wick.Share `json:"answeredShare"`
	// Moves holds the expected final state of moves by name: "done" or "undone".
	Moves map[string]string `json:"moves,omitempty"`
	// MaxVersionShare is the maximum share of all model calls that may reach a
	// version, by version.
	MaxVersionShare map[wick.ModelVersion]wick.Share `json:"maxVersionShare,omitempty"`
	// SettleMillis is the timeout for the moves to reach their expected states.
	SettleMillis wick.Millis `json:"settleMillis,omitempty"`
}

// maxLineBytes is the maximum length of a line of a trace.
const maxLineBytes = 1 << 20

// Read reads a trace.
func Read(src io.Reader) (Trace, error) {
	var trc Trace
	scn := bufio.NewScanner(src)
	scn.Buffer(nil, maxLineBytes)
	for num := 1; scn.Scan(); num++ {
		line := bytes.TrimSpace(scn.Bytes())
		if len(line) == 0 {
			continue
		}
		var err error
		if trc.Header.Name == "" {
			err = decodeStrict(line, &trc.Header)
		} else {
			var stp Step
			err = decodeStrict(line, &stp)
			trc.Steps = append(trc.Steps, stp)
		}
		if err != nil {
			return trc, eris.Wrapf(err, "replay: line %d", num)
		}
	}
	if err := scn.Err(); err != nil {
		return trc, eris.Wrap(err, "replay: read")
	}
	if trc.Header.Name == "" || len(trc.Steps) == 0 {
		return trc, eris.Wrap(wick.ErrInvalid, "replay: a trace needs a named header and at least one step")
	}
	return trc, nil
}

// decodeStrict rejects unknown fields, so that a misspelt expectation is not
// silently ignored.
func decodeStrict(line []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	return dec.Decode(out)
}
