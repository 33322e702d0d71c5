// Package cause diagnoses the outcome of a request from the log lines of all
// entries. Its only I/O is reading from the given readers.
package cause

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/wagtailwick/wagtailwick/pkg/wick"
)

// maxLine bounds one log line in bytes.
const maxLine = 1 << 20

// A Line is one line of an entry's log.
type Line struct {
	// Process is the last word before the JSON object of the line, or the name
	// of the file if there is none.
	Process string `json:"-"`
	// Raw is the unparsed JSON object.
	Raw string `json:"-"`

	At        time.Time      `json:"time"`
	Message   string         `json:"msg"`
	Request   wick.RequestID `json:"request"`
	Customer  wick.Customer  `json:"customer"`
	Service   wick.Service   `json:"service"`
	Endpoint  wick.VMID      `json:"endpoint"`
	Endpoints []wick.VMID    `json:"endpoints"`
	// Reason and Ending are the outcome of a request or of a send.
	Reason string `json:"reason"`
	Ending string `json:"ending"`
	Error  string `json:"error"`
	Status int    `json:"status"`
	Sends  int    `json:"sends"`
	// Millis is the time since the request arrived, in ms.
	Millis int64 `json:"ms"`
	// Events is the number of events of a stream that were delivered.
	Events int `json:"events"`
	// RegistryAgeMillis is the age of the list of endpoints, in ms.
	RegistryAgeMillis int64 `json:"registryAgeMs"`
	// Lines is the number of dropped lines, LeftOut that of lines of answered
	// requests that sampling suppressed.
	Lines   int `json:"lines"`
	LeftOut int `json:"leftOut"`
}

// Arrived returns when the request of the line arrived.
func (lin *Line) Arrived() time.Time {
	return lin.At.Add(-time.Duration(lin.Millis) * time.Millisecond)
}

// Read reads the lines of one file. Lines that are not log lines are skipped
// and counted. The error is that of the reader.
func Read(src io.Reader, name string) (lines []Line, skipped int, err error) {
	scn := bufio.NewScanner(src)
	scn.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for scn.Scan() {
		lin, ok := parse(scn.Bytes(), name)
		switch {
		case ok:
			lines = append(lines, lin)
		case len(bytes.TrimSpace(scn.Bytes())) > 0:
			skipped++
		}
	}
	return lines, skipped, eris.Wrapf(scn.Err(), "cause: %s", name)
}

// parse decodes one line. Log collectors prefix the object with the name of the
// process, and often with a time.
func parse(data []byte, name string) (Line, bool) {
	start := bytes.IndexByte(data, '{')
	if start < 0 {
		return Line{}, false
	}
	var lin Line
	if err := json.Unmarshal(data[start:], &lin); err != nil || lin.Message == "" {
		return Line{}, false
	}
	lin.Process, lin.Raw = name, string(data[start:])
	if words := strings.Fields(string(data[:start])); len(words) > 0 {
		lin.Process = words[len(words)-1]
	}
	return lin, true
}

// Sort sorts lines by time. The sort is stable.
func Sort(lines []Line) {
	sort.SliceStable(lines, func(idx, jdx int) bool { return lines[idx].At.Before(lines[jdx].At) })
}
