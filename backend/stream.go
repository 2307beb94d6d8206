package backend

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/valyala/fastjson"

	"wigeondale/fleet"
)

const (
	streamBufferBytes = 4 << 10
	// maxLineBytes bounds a line, as on the platform's path. A chunk holds the text of one token, of a
	// few bytes, and the names of its request and model, of a few hundred; one that reports details of
	// each token has more.
	maxLineBytes = 128 << 10
	// maxSkippedBytes bounds the comments, blank lines and other fields between two chunks. An
	// engine that sends a comment of 20 bytes each second while a request waits for five minutes
	// sends 6 KB.
	maxSkippedBytes = 64 << 10
)

var (
	dataField    = []byte("data:")
	doneData     = []byte("[DONE]")
	choicesOpen  = []byte(`,"choices":[{"index":0,"text":"`)
	finishOpen   = []byte(`,"finish_reason":`)
	nullLiteral  = []byte("null")
	chunkClose   = []byte("}]}")
	stopQuoted   = []byte(`"stop"`)
	lengthQuoted = []byte(`"length"`)
)

// StreamID identifies a stream. Every chunk of the stream must contain this id.
type StreamID struct {
	Request string
	Attempt int
	Ref     fleet.ModelRef
}

// Stream reads the tokens of one attempt. It is not safe for concurrent use,
// except that Close may be called from another goroutine. Next does not allocate
// for chunks in the documented byte layout.
type Stream struct {
	id          StreamID
	incarnation string
	software    string // version of the engine's software; empty if not stated
	body        io.ReadCloser
	br          *bufio.Reader
	head        []byte // constant start of each chunk, up to the index
	line        []byte // holds a line that is longer than the read buffer
	text        []byte // unescaped text of the current token
	parser      fastjson.Parser
}

func newStream(resp *http.Response, id StreamID) *Stream {
	s := NewStream(resp.Body, id, resp.Header.Get(incarnationHeader))
	s.software = resp.Header.Get(softwareHeader)
	return s
}

// NewStream returns a Stream that reads attempt id from body.
func NewStream(body io.ReadCloser, id StreamID, incarnation string) *Stream {
	return &Stream{
		id: id, incarnation: incarnation, body: body,
		br:   bufio.NewReaderSize(body, streamBufferBytes),
		head: chunkHead(id),
	}
}

func chunkHead(id StreamID) []byte {
	h := []byte(`{"id":`)
	h = append(h, quote(id.Request)...)
	h = append(h, `,"attempt":`...)
	h = strconv.AppendInt(h, int64(id.Attempt), 10)
	h = append(h, `,"model":`...)
	h = append(h, quote(id.Ref.Model)...)
	h = append(h, `,"version":`...)
	h = append(h, quote(id.Ref.Version)...)
	h = append(h, `,"adapter":`...)
	h = append(h, quote(id.Ref.Adapter)...)
	return append(h, `,"index":`...)
}

func quote(s string) []byte {
	b, err := json.Marshal(s)
	if err != nil { // a string can always be encoded
		return nil
	}
	return b
}

// Incarnation returns the incarnation of the engine that serves the stream.
func (s *Stream) Incarnation() string { return s.incarnation }

// Software returns the version of the software of the engine that serves the stream, or "" if the
// engine does not state it.
func (s *Stream) Software() string { return s.software }

// Head returns nil: the chunks of this protocol carry all information.
func (s *Stream) Head() *Head { return nil }

// Close closes the connection. The engine keeps the attempt for the attempt's linger time,
// so that a router can attach to the attempt again.
func (s *Stream) Close() error { return s.body.Close() }

// Buffered reports whether another complete line is already in the read buffer,
// so that a writer need not flush yet.
func (s *Stream) Buffered() bool {
	p, _ := s.br.Peek(s.br.Buffered())
	p = bytes.TrimLeft(p, "\r\n")
	return bytes.IndexByte(p, '\n') >= 0
}

// Next returns the next token. It returns io.EOF after the engine's end marker,
// ErrBroken if the connection ended before the marker, and ErrMismatch if a
// chunk is malformed or belongs to another stream.
func (s *Stream) Next() (Token, error) {
	skipped := 0
	for {
		line, err := s.readLine()
		if err != nil {
			return Token{}, err
		}
		data, ok := bytes.CutPrefix(line, dataField)
		if !ok { // a blank line, a comment or another field
			if skipped += len(line) + 1; skipped > maxSkippedBytes {
				return Token{}, Error.New("%w: %d bytes without a chunk", ErrMismatch, skipped)
			}
			continue
		}
		data = bytes.TrimLeft(data, " ")
		if bytes.Equal(data, doneData) {
			return Token{}, io.EOF
		}
		if t, ok := s.parseChunkFast(data); ok {
			return t, nil
		}
		return s.parseChunkSlow(data)
	}
}

func (s *Stream) readLine() ([]byte, error) {
	line, err := s.br.ReadSlice('\n')
	if err == nil {
		return trimLine(line), nil
	}
	s.line = append(s.line[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(s.line) > maxLineBytes {
			return nil, Error.New("%w: line too long", ErrMismatch)
		}
		line, err = s.br.ReadSlice('\n')
		s.line = append(s.line, line...)
	}
	if err != nil {
		return nil, Error.New("%w: %w", ErrBroken, unexpectedEOF(err))
	}
	return trimLine(s.line), nil
}

// unexpectedEOF replaces io.EOF by io.ErrUnexpectedEOF, so that the end of the connection
// is not mistaken for the end of the answer.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func trimLine(b []byte) []byte {
	b = b[:len(b)-1]
	if n := len(b); n > 0 && b[n-1] == '\r' {
		b = b[:n-1]
	}
	return b
}
