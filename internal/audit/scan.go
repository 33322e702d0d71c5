package audit

import "bytes"

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
		if end := headEnd(data, 0); end > 0 && end <= maxHeadBytes {
			return data[:end], data[end:], nil
		}
	}
	old := len(hed.buf)
	hed.buf = append(hed.buf, data[:min(len(data), maxHeadBytes+1-old)]...)
	end := headEnd(hed.buf, max(0, old-len("\n\r")))
	switch {
	case end > 0 && end <= maxHeadBytes:
		return hed.buf[:end], data[end-old:], nil
	case len(hed.buf) > maxHeadBytes:
		return nil, nil, errHeadSize
	default:
		return nil, nil, nil
	}
}

// headEnd returns the end of the first empty line that follows a line ending at or behind
// from, or 0.
func headEnd(buf []byte, from int) int {
	for {
		idx := bytes.IndexByte(buf[from:], '\n')
		if idx < 0 {
			return 0
		}
		from += idx + 1
		switch {
		case bytes.HasPrefix(buf[from:], []byte("\n")):
			return from + 1
		case bytes.HasPrefix(buf[from:], []byte("\r\n")):
			return from + 2
		}
	}
}

// A body follows the body of a message.
type body struct {
	// left is the rest of a body of known length, or of a chunk.
	left int64
	// untilClose is set if the body ends with the connection.
	untilClose bool
	chunked    bool
	state      chunkState
	// line is the number of bytes of the current line other than CR.
	line int
}

// A chunkState is a place in a chunked body.
type chunkState uint8

const (
	// inSize is the size of a chunk, inExtension the rest of its line.
	inSize chunkState = iota
	inExtension
	inChunk
	// behindChunk is the line ending of a chunk.
	behindChunk
	inTrailer
)

// newBody returns a body with the length and encodings that net/http has found.
func newBody(length int64, encodings []string) body {
	for _, enc := range encodings {
		if enc == "chunked" {
			return body{chunked: true}
		}
	}
	return body{left: max(length, 0)}
}

// empty reports whether no bytes of a body follow.
func (bdy *body) empty() bool { return bdy.left == 0 && !bdy.chunked && !bdy.untilClose }

// skip follows data. It returns the bytes behind the body, and whether the body is
// complete.
func (bdy *body) skip(data []byte) (rest []byte, complete bool, err error) {
	switch {
	case bdy.untilClose:
		return nil, false, nil
	case !bdy.chunked:
		data = bdy.skipLeft(data)
		return data, bdy.left == 0, nil
	}
	for len(data) > 0 {
		if bdy.state == inChunk {
			data = bdy.skipLeft(data)
			if bdy.left == 0 {
				bdy.state = behindChunk
			}
			continue
		}
		char := data[0]
		data = data[1:]
		complete, err := bdy.step(char)
		if complete || err != nil {
			return data, complete, err
		}
	}
	return nil, false, nil
}

// skipLeft skips bytes of known length without looking at them.
func (bdy *body) skipLeft(data []byte) []byte {
	num := min(bdy.left, int64(len(data)))
	bdy.left -= num
	return data[num:]
}

// step follows one byte between the chunks. It reports whether it is the last one of the
// body.
func (bdy *body) step(char byte) (complete bool, err error) {
	switch {
	case char == '\n':
		return bdy.endLine()
	case bdy.state == inSize:
		return false, bdy.stepSize(char)
	case bdy.state == behindChunk && char != '\r':
		return false, errChunk
	case char != '\r':
		bdy.line++
	}
	return false, nil
}

// stepSize follows one byte of a chunk's size.
func (bdy *body) stepSize(char byte) error {
	digit := hexDigit(char)
	switch {
	case digit >= 0 && bdy.left < 1<<58:
		bdy.left = bdy.left<<4 | digit
		bdy.line++
	case digit < 0 && bdy.line > 0 && (char == ';' || char == ' ' || char == '\t' || char == '\r'):
		bdy.state = inExtension
	default:
		return errChunk
	}
	return nil
}

// endLine follows the end of a line.
func (bdy *body) endLine() (complete bool, err error) {
	empty := bdy.line == 0
	bdy.line = 0
	switch bdy.state {
	case inSize, inExtension:
		if empty {
			return false, errChunk
		}
		bdy.state = inChunk
		if bdy.left == 0 {
			bdy.state = inTrailer
		}
	case behindChunk:
		bdy.state = inSize
	case inTrailer:
		return empty, nil
	default:
	}
	return false, nil
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(char byte) int64 {
	switch {
	case char >= '0' && char <= '9':
		return int64(char - '0')
	case char >= 'a' && char <= 'f':
		return int64(char-'a') + 10
	case char >= 'A' && char <= 'F':
		return int64(char-'A') + 10
	default:
		return -1
	}
}
