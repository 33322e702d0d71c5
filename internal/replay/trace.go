// Package replay runs recorded traces against a site on loopback and checks
// their stated outcomes.
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

// A Trace is a recorded course of events and what must come of it. The file
// holds a Header on its first line and one Step on each further line.
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
	// Keys holds the key of each customer.
	Keys map[wick.Customer]string `json:"keys"`
	// Bundle is in force before the first step. Key hashes of customers may
	// be left out: they are filled in from Keys.
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
	// DecodeMillis is the time between tokens of an engine, ServiceMillis the
	// time of a plain call; 0 is the stand-in's default.
	DecodeMillis  wick.Millis `json:"decodeMillis,omitempty"`
	ServiceMillis wick.Millis `json:"serviceMillis,omitempty"`
}

// A Step is one event of a trace. Exactly one of the events is set.
type Step struct {
	// At is when the step happens, counted from the first one.
	At wick.Millis `json:"at"`
	// Repeat runs the step this often, every Every; once if zero. The text
	// "{n}" in prompts, keys and bodies becomes the number of the run.
	Repeat int         `json:"repeat,omitempty"`
	Every  wick.Millis `json:"every,omitempty"`

	// Note is printed when the step happens.
	Note string `json:"note,omitempty"`

	Complete *Complete         `json:"complete,omitempty"`
	Call     *Call             `json:"call,omitempty"`
	Store    *StoreFault       `json:"store,omitempty"`
	Cloud    *fake.CloudFaults `json:"cloud,omitempty"`
	Endpoint *EndpointFault    `json:"endpoint,omitempty"`
	Drain    *Drain            `json:"drain,omitempty"`
	Kill     wick.EntryID      `json:"kill,omitempty"`
	Start    *StartEntry       `json:"start,omitempty"`
	// Roll brings the header's bundle into force again with these moves.
	Roll []Move `json:"roll,omitempty"`

	// Expect holds the allowed fates of a call; answered if empty.
	Expect []load.Fate `json:"expect,omitempty"`
	// WithinMillis bounds the time of a call; no bound if zero.
	WithinMillis wick.Millis `json:"withinMillis,omitempty"`
}

// A Complete is a streamed call of a model service.
type Complete struct {
	Customer wick.Customer `json:"customer"`
	Model    wick.Service  `json:"model"`
	Prompt   string        `json:"prompt"`
	Tokens   wick.Tokens   `json:"tokens"`
}

// A Call is a call of a plain service.
type Call struct {
	Customer wick.Customer       `json:"customer"`
	Service  wick.Service        `json:"service"`
	Method   string              `json:"method"`
	Path     string              `json:"path"`
	Key      wick.IdempotencyKey `json:"key,omitempty"`
	Body     string              `json:"body,omitempty"`
	// Retry lets the caller repeat the call where that is safe.
	Retry bool `json:"retry,omitempty"`
}

// A StoreFault sets the faults of the object API.
type StoreFault struct {
	Faults fake.StoreFaults `json:"faults"`
	Seed   uint64           `json:"seed,omitempty"`
}

// An EndpointFault sets the faults of one endpoint.
type EndpointFault struct {
	ID     wick.VMID   `json:"id"`
	Faults fake.Faults `json:"faults"`
}

// A Drain ends an entry in order.
type Drain struct {
	Entry        wick.EntryID `json:"entry"`
	NoticeMillis wick.Millis  `json:"noticeMillis,omitempty"`
}

// A StartEntry starts an entry with nothing kept.
type StartEntry struct {
	Entry wick.EntryID `json:"entry"`
	Zone  wick.Zone    `json:"zone"`
}

// A Move is a move with a deadline counted from the step.
type Move struct {
	wick.Move
	DeadlineMillis wick.Millis `json:"deadlineMillis"`
}

// An Outcome states what must hold at the end of a trace. That no key runs
// twice, that a refused key has not run and that an answered key has run is
// always checked.
type Outcome struct {
	// AnsweredShare is the least share of calls that are answered.
	AnsweredShare wick.Share `json:"answeredShare"`
	// Moves holds the final state of moves by name: "done" or "undone".
	Moves map[string]string `json:"moves,omitempty"`
	// MaxVersionShare bounds the share of a service's model calls that reached the
	// version, by version.
	MaxVersionShare map[wick.ModelVersion]wick.Share `json:"maxVersionShare,omitempty"`
	// SettleMillis is how long to wait for the states of moves.
	SettleMillis wick.Millis `json:"settleMillis,omitempty"`
}

// maxLine bounds one line of a trace.
const maxLine = 1 << 20

// Read reads a trace.
func Read(src io.Reader) (Trace, error) {
	var trc Trace
	scn := bufio.NewScanner(src)
	scn.Buffer(nil, maxLine)
	for num := 1; scn.Scan(); num++ {
		line := bytes.TrimSpace(scn.Bytes())
		if len(line) == 0 {
			continue
		}
		var err error
		if trc.Header.Name == "" {
			err = decode(line, &trc.Header)
		} else {
			var stp Step
			err = decode(line, &stp)
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
		return trc, eris.Wrap(wick.ErrInvalid, "replay: a trace needs a header with a name, and steps")
	}
	return trc, nil
}

// decode refuses unknown fields, so that a misspelt expectation is not passed
// over.
func decode(line []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(line))
	dec.DisallowUnknownFields()
	return dec.Decode(out)
}
