package bounded

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"
	"strings"
)

// ErrMalformed means that the head, the chunks or the trailer section of an answer break the syntax of RFC 9112, so that neither what it
// says nor where it ends is known. Its request may have run.
var ErrMalformed = errors.New("malformed answer")

// maxLineBytes bounds a line. A head is at most as long.
const maxLineBytes = MaxHeadBytes

// part is the part of an answer that the next byte belongs to.
type part int

const (
	statusLine part = iota
	fieldLines
	sizedBody
	chunkSize
	chunkData
	chunkEnd
	trailerLines
	unframed // to the end of the connection
)

// framing follows the answers on a connection, and checks their heads and trailer sections. net/http accepts more than the syntax
// allows: the bytes that it takes for the body may then be others than those that the server meant.
type framing struct {
	part part
	line []byte // begin of a line whose rest has not arrived
	left int64  // bytes of the body or chunk that have not arrived

	method        string // of the request
	status        int
	minor         byte // of the version
	inFields      bool // a line that may be continued has been read
	field         framingField
	length        string
	hasLength     bool
	encoding      string
	hasEncoding   bool
	finishedHeads int
}

// framingField is a field that states how long a body is.
type framingField int

const (
	otherField framingField = iota
	lengthField
	encodingField
)

// check reads the next bytes and returns how many of them precede the first malformed line, or all.
func (f *framing) check(p []byte) (sound int, err error) {
	for at := 0; at < len(p); {
		n, lineErr := f.next(p[at:])
		if lineErr != nil {
			return at, lineErr
		}
		at += n
	}
	return len(p), nil
}

// next reads a line or a piece of a body, and returns its length.
func (f *framing) next(p []byte) (n int, err error) {
	switch f.part {
	case unframed:
		return len(p), nil
	case sizedBody, chunkData:
		n = int(min(int64(len(p)), f.left))
		if f.left -= int64(n); f.left == 0 {
			f.endOfData()
		}
		return n, nil
	}
	end := bytes.IndexByte(p, '\n')
	if n = end + 1; end < 0 {
		n = len(p)
	}
	if len(f.line)+n > maxLineBytes {
		return 0, malformed("line of more than %d bytes", maxLineBytes)
	}
	if end < 0 {
		f.line = append(f.line, p...)
		return n, nil
	}
	line := p[:end]
	if len(f.line) > 0 {
		line = append(f.line, line...)
		f.line = nil // most lines arrive whole
	}
	return n, f.readLine(line)
}

// endOfData is called when the bytes of a body or chunk have arrived.
func (f *framing) endOfData() {
	if f.part == sizedBody {
		f.part = statusLine
		return
	}
	f.part = chunkEnd
}

// readLine reads a line, which has no LF.
func (f *framing) readLine(line []byte) error {
	line, hasCR := bytes.CutSuffix(line, []byte("\r"))
	switch f.part {
	case statusLine:
		return f.readStatus(line)
	case fieldLines, trailerLines:
		return f.readField(line)
	case chunkSize:
		return f.readChunkSize(line, hasCR)
	}
	if len(line) > 0 || !hasCR {
		return malformed("chunk without its end")
	}
	f.part = chunkSize
	return nil
}

// readStatus reads a status line. A server may have a later minor version than this program; blanks before the status and a missing one
// after it may be tolerated.
func (f *framing) readStatus(line []byte) error {
	version, rest, _ := strings.Cut(string(line), " ")
	rest = strings.TrimLeft(rest, " ")
	status, reason, _ := strings.Cut(rest, " ")
	switch {
	case len(version) != len("HTTP/1.1") || !strings.HasPrefix(version, "HTTP/1.") || !isDigits(version[7:]):
		return malformed("version %q", shown(version))
	case len(status) != 3 || !isDigits(status) || status[0] < '1' || status[0] > '5':
		return malformed("status %q", shown(status))
	case !isText(reason):
		return malformed("control byte in the reason")
	}
	*f = framing{part: fieldLines, method: f.method, minor: version[7], finishedHeads: f.finishedHeads}
	f.status, _ = strconv.Atoi(status) // three digits
	return nil
}

// readField reads a line of a header or a trailer section. A line that begins with a blank continues the one before it.
func (f *framing) readField(line []byte) error {
	if len(line) == 0 {
		return f.endOfFields()
	}
	if line[0] == ' ' || line[0] == '\t' {
		if !f.inFields || !isText(line) {
			return malformed("continued line")
		}
		f.addValue(line)
		return nil
	}
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return malformed("field name %q", shown(string(name)))
	}
	if !isText(value) {
		return malformed("control byte in the field %q", shown(string(name)))
	}
	if err := f.beginField(name); err != nil {
		return err
	}
	f.addValue(value)
	return nil
}

// beginField ends the field before, and notes whether the next one states how long the body is.
func (f *framing) beginField(name []byte) error {
	f.inFields = true
	f.field = otherField
	if f.part == trailerLines {
		return nil
	}
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		if f.hasLength {
			// A repeated length is compared when it is whole, at the end of the head.
			f.length += ","
		}
		f.field, f.hasLength = lengthField, true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.hasEncoding {
			return malformed("several transfer encodings")
		}
		f.field, f.hasEncoding = encodingField, true
	}
	return nil
}

// addValue adds a line of the value of the present field.
func (f *framing) addValue(line []byte) {
	switch f.field {
	case lengthField:
		f.length += string(line)
	case encodingField:
		f.encoding += string(line)
	}
}

// endOfFields is called with the empty line after a header or a trailer section.
func (f *framing) endOfFields() error {
	f.inFields = false
	if f.part == trailerLines {
		f.part = statusLine
		return nil
	}
	if f.status == http.StatusSwitchingProtocols && !f.hasEncoding || f.method == http.MethodConnect && f.status/100 == 2 {
		f.finishedHeads++
		f.part = unframed
		return nil
	}
	length, err := f.statedLength()
	if err != nil {
		return err
	}
	if err := f.checkEncoding(); err != nil {
		return err
	}
	f.finishedHeads++
	f.part, f.left = f.bodyPart(length), length
	return nil
}

// statedLength returns the length that the head states, if it states one.
func (f *framing) statedLength() (int64, error) {
	if !f.hasLength {
		return 0, nil
	}
	values := strings.Split(f.length, ",")
	first := trimBlanks(values[0])
	for _, v := range values[1:] {
		if trimBlanks(v) != first {
			return 0, malformed("several lengths")
		}
	}
	n, err := strconv.ParseUint(first, 10, 63)
	if err != nil || !isDigits(first) {
		return 0, malformed("length %q", shown(first))
	}
	return int64(n), nil
}

func (f *framing) checkEncoding() error {
	switch {
	case !f.hasEncoding:
		return nil
	case f.minor == '0':
		return malformed("transfer encoding in HTTP/1.0")
	case f.hasLength:
		return malformed("length beside a transfer encoding")
	case f.status/100 == 1 || f.status == http.StatusNoContent:
		return malformed("transfer encoding of an answer without body")
	case !strings.EqualFold(trimBlanks(f.encoding), "chunked"):
		return malformed("transfer encoding %q", shown(f.encoding))
	}
	return nil
}

// bodyPart returns the part that follows the head.
func (f *framing) bodyPart(length int64) part {
	switch {
	case f.status/100 == 1, f.method == http.MethodHead, f.status == http.StatusNoContent, f.status == http.StatusNotModified:
		return statusLine
	case f.hasEncoding:
		return chunkSize
	case !f.hasLength:
		return unframed
	case length == 0:
		return statusLine
	}
	return sizedBody
}

// readChunkSize reads the line before the data of a chunk.
func (f *framing) readChunkSize(line []byte, hasCR bool) error {
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(strings.TrimRight(string(size), " \t"), 16, 63)
	if err != nil || !hasCR || bytes.ContainsRune(line, '\r') || size[0] == '+' {
		return malformed("size of a chunk")
	}
	f.left, f.part = int64(n), chunkData
	if n == 0 {
		f.part = trailerLines
	}
	return nil
}
