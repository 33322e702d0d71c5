package relay

import (
	"bytes"
	"strconv"
)

// A splitter cuts a stream of server-sent events into whole events.
type splitter struct {
	buf []byte
	// from is the start of the part of buf that has not been returned.
	from int
}

// An event is one whole event as the endpoint sent it.
type event struct {
	raw []byte
	id  string
}

// add appends received bytes. Events returned before are no longer valid.
func (spl *splitter) add(data []byte) {
	if spl.from > 0 {
		spl.buf = append(spl.buf[:0], spl.buf[spl.from:]...)
		spl.from = 0
	}
	spl.buf = append(spl.buf, data...)
}

// next returns the next whole event.
func (spl *splitter) next() (event, bool) {
	rest := spl.buf[spl.from:]
	end := blankLine(rest)
	if end == 0 {
		return event{}, false
	}
	spl.from += end
	return event{raw: rest[:end], id: eventID(rest[:end])}, true
}

// partial reports whether part of an event is left over.
func (spl *splitter) partial() bool { return len(bytes.TrimSpace(spl.buf[spl.from:])) > 0 }

// blankLine returns the length of data up to and with its first blank line, or
// 0 if there is none.
func blankLine(data []byte) int {
	start := 0
	for {
		idx := bytes.IndexByte(data[start:], '\n')
		if idx < 0 {
			return 0
		}
		line := bytes.TrimSuffix(data[start:start+idx], []byte{'\r'})
		start += idx + 1
		if len(line) == 0 {
			return start
		}
	}
}

// eventID returns the id of an event, or "".
func eventID(raw []byte) string {
	for line := range bytes.Lines(raw) {
		if val, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(val))
		}
	}
	return ""
}

// isAfter reports whether an event follows the last one that was delivered.
// Ids grow; events without a number are taken to follow.
func isAfter(id, last string) bool {
	num, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	prev, err := strconv.ParseInt(last, 10, 64)
	return err != nil || num > prev
}
