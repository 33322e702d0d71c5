package frame

import "bytes"

const (
	nameLength   = "content-length"
	nameEncoding = "transfer-encoding"
	// maxWord bounds the names and values that are kept: those of the two fields that frame
	// a message. Longer values of them are malformed.
	maxWord = 32
	// maxLengthDigits keeps the value of Content-Length below 2^63.
	maxLengthDigits = 18
	del             = 0x7f
)

// A fieldState is a place in field lines.
type fieldState uint8

const (
	lineStart fieldState = iota
	inName
	inValue
	// atLineEnd and atEnd are before the line feed of a line, and of the empty line.
	atLineEnd
	atEnd
)

// A fieldKind distinguishes the fields that frame a message from others.
type fieldKind uint8

const (
	otherField fieldKind = iota
	lengthField
	encodingField
)

// A fields follows field lines up to the empty line that ends them. The zero value is
// before the first line.
type fields struct {
	// trailer is set for the fields behind a chunked body, which must not frame it.
	trailer bool
	state   fieldState
	// kind is that of the field whose value is being read.
	kind fieldKind
	// word[:size] is the beginning of the name, or of the value unless kind is otherField,
	// in lower case.
	word [maxWord]byte
	size int
	// length is the value of Content-Length if hasLength is set.
	length    int64
	hasLength bool
	// encodings is the number of Transfer-Encoding lines, all of them chunked.
	encodings int
}

// follow follows further bytes. It returns those behind the empty line, and whether that
// was read. With an error, it returns the bytes behind the first malformed one.
func (fld *fields) follow(data []byte) (rest []byte, complete bool, err error) {
	for len(data) > 0 {
		if fld.state == inValue && fld.kind == otherField {
			data, err = fld.skipValue(data)
		} else {
			complete, err = fld.step(data[0])
			data = data[1:]
		}
		if complete || err != nil {
			return data, complete, err
		}
	}
	return nil, false, nil
}

// skipValue skips the value of a field that doesn't frame the message.
func (fld *fields) skipValue(data []byte) (rest []byte, err error) {
	for idx, char := range data {
		switch {
		case char == '\r':
			fld.state = atLineEnd
			return data[idx+1:], nil
		case !isText(char):
			return data[idx+1:], errLine
		}
	}
	return nil, nil
}

// step follows one byte. It reports whether it ends the empty line.
func (fld *fields) step(char byte) (complete bool, err error) {
	switch fld.state {
	case lineStart:
		if char == '\r' {
			fld.state = atEnd
			return false, nil
		}
		fld.state, fld.size = inName, 0
		return false, fld.stepName(char)
	case inName:
		return false, fld.stepName(char)
	case inValue:
		return false, fld.stepValue(char)
	case atLineEnd, atEnd:
	}
	if char != '\n' {
		return false, errLine
	}
	complete = fld.state == atEnd
	fld.state = lineStart
	return complete, nil
}

// stepName follows one byte of a field's name, or the colon behind it.
func (fld *fields) stepName(char byte) error {
	switch {
	case char == ':' && fld.size > 0:
		return fld.beginValue()
	case !isToken(char):
		return errLine
	}
	if fld.size < maxWord {
		fld.word[fld.size] = lower(char)
	}
	fld.size++
	return nil
}

func (fld *fields) beginValue() error {
	name := fld.word[:min(fld.size, maxWord)]
	fld.state, fld.kind = inValue, otherField
	switch {
	case string(name) == nameLength:
		fld.kind = lengthField
	case string(name) == nameEncoding:
		fld.kind = encodingField
	}
	if fld.kind != otherField && fld.trailer {
		return errTrailer
	}
	fld.size = 0
	return nil
}

// stepValue follows one byte of a value that frames the message.
func (fld *fields) stepValue(char byte) error {
	if char != '\r' {
		if fld.size == maxWord {
			return fld.valueError()
		}
		fld.word[fld.size] = lower(char)
		fld.size++
		return nil
	}
	fld.state = atLineEnd
	val := bytes.Trim(fld.word[:fld.size], " \t")
	if fld.kind == encodingField {
		fld.encodings++
		if string(val) != "chunked" {
			return errEncoding
		}
		return nil
	}
	num, ok := parseLength(val)
	if !ok || fld.hasLength && num != fld.length {
		return errLength
	}
	fld.length, fld.hasLength = num, true
	return nil
}

// valueError returns the error of a malformed value.
func (fld *fields) valueError() error {
	if fld.kind == encodingField {
		return errEncoding
	}
	return errLength
}

// body returns the body that the fields of a message of HTTP/1.minor announce; its length is
// 0 without such fields. A length that is repeated alike counts once, as in RFC 9112, 6.3.
func (fld *fields) body(minor byte) (Body, error) {
	switch {
	case fld.encodings == 0:
		return LengthBody(fld.length), nil
	case fld.hasLength:
		return Body{}, errBoth
	case fld.encodings > 1 || minor == '0':
		return Body{}, errEncoding
	default:
		return ChunkedBody(), nil
	}
}

// parseLength parses the value of Content-Length.
func parseLength(text []byte) (num int64, ok bool) {
	if len(text) == 0 || len(text) > maxLengthDigits {
		return 0, false
	}
	for _, char := range text {
		if !isDigit(char) {
			return 0, false
		}
		num = num*10 + int64(char-'0')
	}
	return num, true
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

func lower(char byte) byte {
	if char >= 'A' && char <= 'Z' {
		return char + 'a' - 'A'
	}
	return char
}

// isText reports whether a byte may be part of a field's value, a reason or an extension.
func isText(char byte) bool { return char >= ' ' && char != del || char == '\t' }

// isToken reports whether a byte may be part of a method or of a field's name.
func isToken(char byte) bool { return tokens[char] }

var tokens = func() (set [256]bool) {
	for char := byte('0'); char <= 'z'; char++ {
		set[char] = isDigit(char) || lower(char) >= 'a' && lower(char) <= 'z'
	}
	for _, char := range []byte("!#$%&'*+-.^_`|~") {
		set[char] = true
	}
	return set
}()
