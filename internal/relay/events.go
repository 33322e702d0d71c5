package relay

import (
	"bytes"
	"strconv"
)

// An eventSplitter splits a byte stream of server-sent events into events.
type eventSplitter struct {
	buf []byte
	// start is the offset in buf of the first byte not returned by next.
	start int
}

// An event is one complete event, byte for byte as the endpoint sent it.
type event struct {
	raw []byte
	id  string
}

// isProgress reports whether an event is a part of the answer. Comments, which
// only keep a connection open, are not.
func (evt event) isProgress() bool {
	if evt.id != "" {
		return true
	}
	for line := range bytes.Lines(evt.raw) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// write appends received bytes. It invalidates events returned before.
func (spl *eventSplitter) write(data []byte) {
	if spl.start > 0 {
		spl.buf = append(spl.buf[:0], spl.buf[spl.start:]...)
		spl.start = 0
	}
	spl.buf = append(spl.buf, data...)
}

// next returns the next complete event, or false if none is buffered.
func (spl *eventSplitter) next() (event, bool) {
	rest := spl.buf[spl.start:]
	end := eventLen(rest)
	if end == 0 {
		return event{}, false
	}
	spl.start += end
	return event{raw: rest[:end], id: eventID(rest[:end])}, true
}

// partialBytes returns the memory of the buffer.
func (spl *eventSplitter) partialBytes() int64 { return int64(cap(spl.buf)) }

// hasPartial reports whether an incomplete event is buffered.
func (spl *eventSplitter) hasPartial() bool { return len(bytes.TrimSpace(spl.buf[spl.start:])) > 0 }

// eventLen returns the length of data up to and including its first blank line,
// or 0 if there is none.
func eventLen(data []byte) int {
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

// isAfter reports whether an event comes after the last forwarded one. Ids are
// increasing numbers; an event whose id, or whose predecessor's id, is not a
// number always counts as later.
func isAfter(id, last string) bool {
	num, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	prev, err := strconv.ParseInt(last, 10, 64)
	return err != nil || num > prev
}
