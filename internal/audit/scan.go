package audit

import (
	"bytes"

	"github.com/wagtailwick/wagtailwick/internal/frame"
)

// maxHeadBytes bounds the head of a message that is followed.
const maxHeadBytes = 64 << 10

// A head collects the head of a message from reads or writes.
type head struct {
	// buf is empty if the head was in one piece.
	buf []byte
	// skipped is set if empty lines were skipped.
	skipped bool
}

func (hed *head) reset() { hed.buf, hed.skipped = nil, false }

// partial reports whether a part of a head, or an empty line before it, was read, to which
// the server may respond.
func (hed *head) partial() bool { return hed.skipped || len(hed.buf) > 0 }

// take adds data. It returns the whole head, nil if it is incomplete, and the bytes behind
// it. Empty lines before a head are skipped.
func (hed *head) take(data []byte) (text, rest []byte, err error) {
	if len(hed.buf) == 0 {
		before := len(data)
		data = bytes.TrimLeft(data, "\r\n")
		hed.skipped = hed.skipped || len(data) < before
		if end := frame.HeadEnd(data, 0); end > 0 && end <= maxHeadBytes {
			return data[:end], data[end:], nil
		}
	}
	old := len(hed.buf)
	hed.buf = append(hed.buf, data[:min(len(data), maxHeadBytes+1-old)]...)
	end := frame.HeadEnd(hed.buf, max(0, old-len("\n\r")))
	switch {
	case end > 0 && end <= maxHeadBytes:
		return hed.buf[:end], data[end-old:], nil
	case len(hed.buf) > maxHeadBytes:
		return nil, nil, errHeadSize
	default:
		return nil, nil, nil
	}
}
