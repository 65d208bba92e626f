package validator

import (
	"fmt"

	"hemlocktally"
)

// Scanner validates the bytes of responses by the grammar of RFC 9112 (sections 2.2 and 4 to 7)
// and RFC 9110 (section 15) and finds the end of each response. It accepts a line end without a
// carriage return in heads and trailers, and a status line without a reason and the blank before
// it; RFC 9112 allows the first, and many servers send the second. It holds no bytes of a
// response, so its size is constant. The zero value is ready for the first response.
type Scanner struct {
	// NoBody is set while the responses are to HEAD requests.
	NoBody bool

	state    state
	position int // position is the number of bytes read of the current element.
	status   int
	minor    byte // minor is the minor version of HTTP/1.
	trailers bool // trailers is set while fields are read behind a chunked body.

	name      [len(nameTransferEncoding)]byte // name holds the current field's name in lower case, as far as it fits.
	field     field
	number    uint64 // number is the Content-Length or chunk size that is being read.
	length    int64  // length is the Content-Length; it is valid if hasLength is set.
	hasLength bool
	chunked   bool
	remaining int64 // remaining is the number of bytes of the body or chunk that are still to come.
}

const (
	nameContentLength    = "content-length"
	nameTransferEncoding = "transfer-encoding"
	codingChunked        = "chunked"
	versionPrefix        = "HTTP/1."
	statusDigits         = 3
	maxSizeDigits        = 15 // maxSizeDigits bounds a chunk size so that it fits into an int64.
	maxLengthDigits      = 18 // maxLengthDigits bounds a Content-Length so that it fits into an int64.
	minStatus            = 100
	maxStatus            = 599
	statusSwitching      = 101
	statusNoContent      = 204
	statusNotModified    = 304
)

type state uint8

const (
	stateIdle       state = iota // stateIdle is before the first byte of a response.
	stateVersion                 // stateVersion is in the HTTP version.
	stateStatus                  // stateStatus is in the status code.
	stateReason                  // stateReason is behind the status code.
	stateLineEnd                 // stateLineEnd is between the CR and the LF of a line that is not empty.
	stateFieldLine               // stateFieldLine is at the start of a field line.
	stateName                    // stateName is in a field name.
	stateValue                   // stateValue is in a field value.
	stateEmptyLine               // stateEmptyLine is between the CR and the LF of the line that ends the fields.
	stateBody                    // stateBody is in a body of known length.
	stateUntilEnd                // stateUntilEnd is in a body that ends with the connection.
	stateSize                    // stateSize is in a chunk size.
	statePadding                 // statePadding is in blanks behind a chunk size.
	stateExtension               // stateExtension is in a chunk extension.
	stateSizeEnd                 // stateSizeEnd is between the CR and the LF behind a chunk size.
	stateChunk                   // stateChunk is in the data of a chunk.
	stateChunkEnd                // stateChunkEnd is before the CR behind a chunk.
	stateChunkEndLF              // stateChunkEndLF is between the CR and the LF behind a chunk.
)

// field tells which field is being read. The framing depends on some of them.
type field uint8

const (
	fieldOther field = iota
	fieldContentLength
	fieldTransferEncoding
)

func malformed(format string, args ...any) error {
	return &hemlocktally.ResponseError{Detail: fmt.Sprintf(format, args...)}
}

// Feed reads the next bytes. It returns how many of them are valid, and a
// *hemlocktally.ResponseError if those after them are not. It must not be called again after
// that. Bytes behind the end of a response belong to the next one.
func (s *Scanner) Feed(p []byte) (int, error) {
	for i := 0; i < len(p); {
		n, err := s.step(p[i:])
		if err != nil {
			return i, err
		}
		i += n
	}
	return len(p), nil
}

// Idle reports whether no response has begun or the last one has ended.
func (s *Scanner) Idle() bool { return s.state == stateIdle }

// Final reports whether a final response, in place of an interim one, has ended.
func (s *Scanner) Final() bool { return s.state == stateIdle && s.status >= minStatus*2 }

// UntilEnd reports whether the response ends with its connection.
func (s *Scanner) UntilEnd() bool { return s.state == stateUntilEnd }

// step reads at least one byte and returns how many it has read.
func (s *Scanner) step(p []byte) (int, error) {
	switch s.state {
	case stateBody, stateChunk:
		return s.skipBody(len(p)), nil
	case stateUntilEnd:
		return len(p), nil
	case stateReason, stateValue, stateExtension:
		return s.readText(p)
	case stateName:
		return s.readName(p)
	case stateSize, statePadding, stateSizeEnd, stateChunkEnd, stateChunkEndLF:
		return 1, s.readChunkFrame(p[0])
	default:
		return 1, s.readLine(p[0])
	}
}

// skipBody reads data of a body or chunk.
func (s *Scanner) skipBody(available int) int {
	n := min(int64(available), s.remaining)
	s.remaining -= n
	switch {
	case s.remaining > 0:
	case s.state == stateBody:
		s.state = stateIdle
	default:
		s.state = stateChunkEnd
	}
	return int(n)
}

// readLine reads one byte of a status line, or of the start or end of a field line.
func (s *Scanner) readLine(b byte) error {
	switch s.state {
	case stateIdle:
		s.startHead()
		return s.readVersion(b)
	case stateVersion:
		return s.readVersion(b)
	case stateStatus:
		return s.readStatus(b)
	case stateFieldLine:
		return s.startField(b)
	case stateLineEnd, stateEmptyLine:
		if b != '\n' {
			return malformed("a CR without LF")
		}
		if s.state == stateEmptyLine {
			return s.endFields()
		}
		s.state = stateFieldLine
	}
	return nil
}

func (s *Scanner) startHead() {
	*s = Scanner{NoBody: s.NoBody, state: stateVersion}
}

func (s *Scanner) readVersion(b byte) error {
	switch {
	case s.position < len(versionPrefix):
		if b != versionPrefix[s.position] {
			return malformed("no HTTP/1 status line")
		}
	case s.position == len(versionPrefix):
		if b < '0' || b > '9' {
			return malformed("an invalid HTTP version")
		}
		s.minor = b - '0'
	default:
		if b != ' ' {
			return malformed("an invalid HTTP version")
		}
		s.state, s.position = stateStatus, 0
		return nil
	}
	s.position++
	return nil
}

func (s *Scanner) readStatus(b byte) error {
	if s.position < statusDigits {
		if b < '0' || b > '9' {
			return malformed("a status that is no number of three digits")
		}
		s.status = s.status*10 + int(b-'0')
		s.position++
		return nil
	}
	if s.status < minStatus || s.status > maxStatus || s.status == statusSwitching {
		return malformed("status %03d", s.status)
	}
	switch b {
	case ' ':
		s.state = stateReason
	case '\r':
		s.state = stateLineEnd
	case '\n':
		s.state = stateFieldLine
	default:
		return malformed("a status that is no number of three digits")
	}
	return nil
}

// readText reads a reason, a field value or a chunk extension up to the end of its line.
func (s *Scanner) readText(p []byte) (int, error) {
	n := 0
	for n < len(p) && class[p[n]]&classText != 0 {
		n++
	}
	if s.field != fieldOther && s.state == stateValue {
		if err := s.readFraming(p[:n]); err != nil {
			return 0, err
		}
	}
	if n == len(p) {
		return n, nil
	}
	switch b := p[n]; {
	case b == '\r' && s.state == stateExtension:
		s.state = stateSizeEnd
	case b == '\n' && s.state == stateExtension:
		return 0, malformed("a chunk size that ends without CR")
	case b == '\r' || b == '\n':
		if err := s.endFraming(); err != nil {
			return 0, err
		}
		s.state = stateFieldLine
		if b == '\r' {
			s.state = stateLineEnd
		}
	default:
		return 0, malformed("the control byte %#02x", b)
	}
	return n + 1, nil
}

func (s *Scanner) startField(b byte) error {
	switch b {
	case '\r':
		s.state = stateEmptyLine
	case '\n':
		return s.endFields()
	case ' ', '\t':
		return malformed("a folded line")
	default:
		s.state, s.position, s.field = stateName, 0, fieldOther
		_, err := s.readName([]byte{b})
		return err
	}
	return nil
}

// readName reads a field name and the colon behind it.
func (s *Scanner) readName(p []byte) (int, error) {
	for n, b := range p {
		switch {
		case class[b]&classToken != 0:
			if s.position < len(s.name) {
				s.name[s.position] = b
				if 'A' <= b && b <= 'Z' {
					s.name[s.position] = b + 'a' - 'A'
				}
			}
			s.position++
		case b == ':' && s.position > 0:
			s.endName()
			return n + 1, nil
		case b == ':':
			return 0, malformed("an empty field name")
		case b == '\r' || b == '\n':
			return 0, malformed("a field line without a colon")
		default:
			return 0, malformed("the byte %#02x in a field name", b)
		}
	}
	return len(p), nil
}

func (s *Scanner) endName() {
	if !s.trailers && s.position <= len(s.name) {
		switch string(s.name[:s.position]) {
		case nameContentLength:
			s.field = fieldContentLength
		case nameTransferEncoding:
			s.field = fieldTransferEncoding
		}
	}
	s.state, s.position, s.number = stateValue, 0, 0
}

// ended marks the position behind a value of a framing field that is followed by blanks.
const ended = 1 << 20

// readFraming reads a part of the value of Content-Length or Transfer-Encoding.
func (s *Scanner) readFraming(part []byte) error {
	for _, b := range part {
		switch {
		case b == ' ' || b == '\t':
			if s.position > 0 {
				s.position |= ended
			}
		case s.field == fieldContentLength:
			if b < '0' || b > '9' || s.position >= maxLengthDigits {
				return malformed("an invalid Content-Length")
			}
			s.number = s.number*10 + uint64(b-'0')
			s.position++
		default:
			if s.position >= len(codingChunked) || b|' ' != codingChunked[s.position] {
				return malformed("a Transfer-Encoding other than chunked")
			}
			s.position++
		}
	}
	return nil
}

// endFraming applies the value of a field that has ended.
func (s *Scanner) endFraming() error {
	if s.state != stateValue {
		return nil
	}
	digits := s.position &^ ended
	switch s.field {
	case fieldContentLength:
		if digits == 0 || (s.hasLength && s.length != int64(s.number)) {
			return malformed("an invalid Content-Length, or two of them")
		}
		s.length, s.hasLength = int64(s.number), true
	case fieldTransferEncoding:
		if digits != len(codingChunked) || s.chunked {
			return malformed("a Transfer-Encoding other than chunked")
		}
		s.chunked = true
	case fieldOther:
	}
	return nil
}

// endFields begins the body behind a head, the final response behind an interim one, or ends the
// response behind trailers.
func (s *Scanner) endFields() error {
	switch {
	case s.trailers, s.status < minStatus*2:
		s.state = stateIdle
	case s.chunked && s.hasLength:
		return malformed("both Content-Length and Transfer-Encoding")
	case s.chunked && s.minor == 0:
		return malformed("Transfer-Encoding in HTTP/1.0")
	case s.NoBody, s.status == statusNoContent, s.status == statusNotModified:
		s.state = stateIdle
	case s.chunked:
		s.startSize()
	case !s.hasLength:
		s.state = stateUntilEnd
	case s.length == 0:
		s.state = stateIdle
	default:
		s.state, s.remaining = stateBody, s.length
	}
	return nil
}

func (s *Scanner) startSize() { s.state, s.position, s.number = stateSize, 0, 0 }

// readChunkFrame reads one byte of what surrounds the data of a chunk.
func (s *Scanner) readChunkFrame(b byte) error {
	switch s.state {
	case stateSize:
		return s.readSize(b)
	case statePadding:
		return s.endSize(b)
	case stateSizeEnd:
		if b != '\n' {
			return malformed("a CR without LF")
		}
		s.startChunk()
	case stateChunkEnd:
		if b != '\r' {
			return malformed("a chunk longer than its size")
		}
		s.state = stateChunkEndLF
	case stateChunkEndLF:
		if b != '\n' {
			return malformed("a chunk longer than its size")
		}
		s.startSize()
	}
	return nil
}

func (s *Scanner) readSize(b byte) error {
	var digit byte
	switch {
	case '0' <= b && b <= '9':
		digit = b - '0'
	case 'a' <= b|' ' && b|' ' <= 'f':
		digit = b | ' ' - 'a' + 10
	case s.position == 0:
		return malformed("an invalid chunk size")
	default:
		return s.endSize(b)
	}
	if s.position++; s.position > maxSizeDigits {
		return malformed("a chunk size of more than %d digits", maxSizeDigits)
	}
	s.number = s.number<<4 | uint64(digit)
	return nil
}

// endSize reads one byte behind a chunk size. Some servers fill a chunk size up with blanks.
func (s *Scanner) endSize(b byte) error {
	switch {
	case b == '\r':
		s.state = stateSizeEnd
	case b == ' ' || b == '\t':
		s.state = statePadding
	case b == ';' && s.state == stateSize:
		s.state = stateExtension
	default:
		return malformed("an invalid chunk size")
	}
	return nil
}

func (s *Scanner) startChunk() {
	if s.number > 0 {
		s.state, s.remaining = stateChunk, int64(s.number)
		return
	}
	s.state, s.trailers, s.field = stateFieldLine, true, fieldOther
}

// Classes of bytes.
const (
	classToken = 1 << iota // classToken holds the bytes of field names.
	classText              // classText holds the bytes of field values: all but control bytes other than tab.
)

var class = func() (table [256]uint8) {
	const del = 0x7f
	for b := range table {
		if (b >= ' ' && b != del) || b == '\t' {
			table[b] |= classText
		}
		if ('0' <= b && b <= '9') || ('a' <= b|' ' && b|' ' <= 'z' && b < del) {
			table[b] |= classToken
		}
	}
	for _, b := range []byte("!#$%&'*+-.^_`|~") {
		table[b] |= classToken
	}
	return table
}()
