package frame

// maxSizeDigits keeps the size of a chunk below 2^60.
const maxSizeDigits = 15

// A Body follows the body of a message. The zero value is an empty body.
type Body struct {
	// left is the rest of a body of known length, or of a chunk.
	left int64
	// untilClose is set if the body ends with the connection.
	untilClose bool
	chunked    bool
	state      chunkState
	// digits is the number of digits of the size of a chunk.
	digits  int
	trailer fields
}

// A chunkState is a place in a chunked body.
type chunkState uint8

const (
	inSize chunkState = iota
	inExtension
	// atSizeEnd is before the line feed behind the size of a chunk.
	atSizeEnd
	inChunk
	// behindChunk and atChunkEnd are before the two bytes that end a chunk.
	behindChunk
	atChunkEnd
	inTrailer
)

// LengthBody returns a body of a length in bytes.
func LengthBody(length int64) Body { return Body{left: length} }

// ChunkedBody returns a chunked body.
func ChunkedBody() Body { return Body{chunked: true, trailer: fields{trailer: true}} }

// OpenBody returns a body that ends with the connection.
func OpenBody() Body { return Body{untilClose: true} }

// IsEmpty reports whether no bytes of the body follow.
func (bdy *Body) IsEmpty() bool { return bdy.left == 0 && !bdy.chunked && !bdy.untilClose }

// IsChunked reports whether the body is chunked.
func (bdy *Body) IsChunked() bool { return bdy.chunked }

// IsOpen reports whether the body ends with the connection.
func (bdy *Body) IsOpen() bool { return bdy.untilClose }

// Follow follows further bytes. It returns those behind the body, and whether the body is
// complete. With an error, it returns the bytes behind the first malformed one.
func (bdy *Body) Follow(data []byte) (rest []byte, complete bool, err error) {
	switch {
	case bdy.untilClose:
		return nil, false, nil
	case !bdy.chunked:
		data = bdy.skip(data)
		return data, bdy.left == 0, nil
	}
	for len(data) > 0 {
		switch bdy.state {
		case inTrailer:
			return bdy.trailer.follow(data)
		case inChunk:
			if data = bdy.skip(data); bdy.left == 0 {
				bdy.state = behindChunk
			}
		default:
			err = bdy.step(data[0])
			data = data[1:]
		}
		if err != nil {
			return data, false, err
		}
	}
	return nil, false, nil
}

// skip skips bytes of known length without looking at them.
func (bdy *Body) skip(data []byte) []byte {
	num := min(bdy.left, int64(len(data)))
	bdy.left -= num
	return data[num:]
}

// step follows one byte between the chunks.
func (bdy *Body) step(char byte) error {
	switch bdy.state {
	case inSize:
		return bdy.stepSize(char)
	case inExtension:
		return bdy.stepExtension(char)
	case atSizeEnd:
		if char != '\n' {
			return errChunk
		}
		bdy.beginChunk()
	case behindChunk:
		if char != '\r' {
			return errChunk
		}
		bdy.state = atChunkEnd
	case atChunkEnd:
		if char != '\n' {
			return errChunk
		}
		bdy.state = inSize
	default:
	}
	return nil
}

func (bdy *Body) stepSize(char byte) error {
	digit, ok := hexDigit(char)
	switch {
	case ok && bdy.digits < maxSizeDigits:
		bdy.left = bdy.left<<4 | digit
		bdy.digits++
	case ok || bdy.digits == 0:
		return errChunk
	case char == ';':
		bdy.state = inExtension
	case char == '\r':
		bdy.state = atSizeEnd
	default:
		return errChunk
	}
	return nil
}

func (bdy *Body) stepExtension(char byte) error {
	switch {
	case char == '\r':
		bdy.state = atSizeEnd
	case !isText(char):
		return errChunk
	}
	return nil
}

// beginChunk begins the data of a chunk, or the trailer behind the last chunk.
func (bdy *Body) beginChunk() {
	bdy.digits = 0
	bdy.state = inChunk
	if bdy.left == 0 {
		bdy.state = inTrailer
	}
}

// hexDigit returns the value of a hexadecimal digit.
func hexDigit(char byte) (digit int64, ok bool) {
	char = lower(char)
	switch {
	case isDigit(char):
		return int64(char - '0'), true
	case char >= 'a' && char <= 'f':
		return int64(char-'a') + 10, true
	default:
		return 0, false
	}
}
