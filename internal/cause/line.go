// Package cause finds out why a request ended as it did from the log lines of
// all entries. It does no I/O beyond reading the lines it is given.
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
	// Process is what stands before the JSON object of the line, or else the
	// name of the file.
	Process string `json:"-"`
	// Raw is the JSON object as it was written.
	Raw string `json:"-"`

	At        time.Time      `json:"time"`
	Message   string         `json:"msg"`
	Request   wick.RequestID `json:"request"`
	Customer  wick.Customer  `json:"customer"`
	Service   wick.Service   `json:"service"`
	Endpoint  wick.VMID      `json:"endpoint"`
	Endpoints []wick.VMID    `json:"endpoints"`
	// Reason and Ending name how a request or a send ended.
	Reason string `json:"reason"`
	Ending string `json:"ending"`
	Error  string `json:"error"`
	Status int    `json:"status"`
	Sends  int    `json:"sends"`
	// Millis is the time since the request arrived, in ms.
	Millis int64 `json:"ms"`
	// Events of a stream were delivered.
	Events int `json:"events"`
	// RegistryAgeMillis is the age of the list of endpoints, in ms.
	RegistryAgeMillis int64 `json:"registryAgeMs"`
	// Lines were dropped, LeftOut lines of answered requests not written.
	Lines   int `json:"lines"`
	LeftOut int `json:"leftOut"`
}

// Arrived returns when the request of the line arrived.
func (lin *Line) Arrived() time.Time {
	return lin.At.Add(-time.Duration(lin.Millis) * time.Millisecond)
}

// Read reads the lines of one file. Text that is no log line is counted and
// left out. The error is that of the reader.
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

// parse reads one line. Collectors put the name of the process, and often a
// time, before the object.
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

// Sort puts lines in the order of their time. Lines of the same time keep
// their order.
func Sort(lines []Line) {
	sort.SliceStable(lines, func(idx, jdx int) bool { return lines[idx].At.Before(lines[jdx].At) })
}
