package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"wigeondale/backend"
	"wigeondale/cursor"
	"wigeondale/generation"
)

// collector collects the text of a generation. The text is the answer to a caller that does
// not stream, or the copy of a streamed answer that is kept for repeated requests.
type collector struct {
	text        []byte
	limit       int  // largest text in bytes; a larger text sets discardText
	discardText bool // no text is collected
	finish      string
	tokens      int
}

func (c *collector) add(index int, text []byte, finish string) {
	c.tokens = index + 1
	c.finish = finish
	if c.discardText {
		return
	}
	if len(c.text)+len(text) > c.limit {
		c.discardText = true
		c.text = nil
		return
	}
	c.text = append(c.text, text...)
}

// answer returns the collected answer after a complete run, or nil if the text
// was not collected.
func (c *collector) answer() *finishedAnswer {
	if c.discardText {
		return nil
	}
	return &finishedAnswer{text: c.text, finish: c.finish, tokens: c.tokens}
}

// bufferSink implements generation.Sink for callers that do not stream.
type bufferSink struct {
	collector
}

// Begin implements generation.Sink.
func (*bufferSink) Begin(generation.Position, *backend.Head) error { return nil }

// Token implements generation.Sink.
func (s *bufferSink) Token(index int, text []byte, finish string) error {
	s.add(index, text, finish)
	if s.discardText {
		return Error.New("answer larger than %d bytes", s.limit)
	}
	return nil
}

// Flush implements generation.Sink.
func (*bufferSink) Flush() error { return nil }

// rearmBytes is how many bytes may be written to the caller before the write deadline is
// set again. It is smaller than net/http's buffer, which is written to the connection
// whenever it is full. If rearmBytes were larger, a full buffer could be written before the
// deadline is set again. After a long silence of the engine, that write would fail on the
// deadline that was set for the flush before the silence.
const rearmBytes = 2048

// streamSink implements generation.Sink with server-sent events. Token is called
// for every token and does not allocate.
type streamSink struct {
	collector
	w            http.ResponseWriter
	rc           *http.ResponseController
	sealer       *cursor.Sealer
	cursor       cursor.Cursor // the static parts, and the current position
	writer       *cursor.Writer
	firstHead    []byte // data before the text, in the first event of an answer
	head         []byte // data before the text, in all other events
	tail         []byte // data between the text and finish_reason
	buf          []byte
	unarmedBytes int // bytes written since the write deadline was set
	started      bool
	firstEvent   bool // the next event is the first of the answer
	http2        bool
	aborted      atomic.Bool
}

func newStreamSink(w http.ResponseWriter, sealer *cursor.Sealer, c cursor.Cursor, form format) *streamSink {
	s := &streamSink{
		w:      w,
		rc:     http.NewResponseController(w),
		sealer: sealer,
		cursor: c,
		buf:    make([]byte, 0, 1024),

		firstEvent: c.Offset == 0,
	}
	s.buildFrames(form)
	return s
}

// buildFrames prepares the parts of an event that are the same in all events.
func (s *streamSink) buildFrames(form format) {
	object := "text_completion"
	if form == chat {
		object = "chat.completion.chunk"
	}
	head := `data: {"id":` + quote(s.cursor.Request) +
		`,"object":"` + object +
		`","created":` + strconv.FormatInt(time.Now().Unix(), 10) +
		`,"model":` + quote(s.cursor.Ref.Model) +
		`,"choices":[{"index":0,`
	if form == chat {
		s.firstHead = []byte(head + `"delta":{"role":"assistant","content":"`)
		s.head = []byte(head + `"delta":{"content":"`)
		s.tail = []byte(`"},"finish_reason":`)
		return
	}
	s.firstHead = []byte(head + `"text":"`)
	s.head = s.firstHead
	s.tail = []byte(`","finish_reason":`)
}

func quote(text string) string {
	raw, _ := json.Marshal(text) // can't fail for a string
	return string(raw)
}

// Begin implements generation.Sink. The cursors of the following events name this
// attempt.
func (s *streamSink) Begin(p generation.Position, _ *backend.Head) error {
	s.cursor.Backend = p.Backend
	s.cursor.Incarnation = p.Incarnation
	s.cursor.Software = p.Software
	s.cursor.Attempt = p.Attempt
	s.cursor.IssuedUnixS = time.Now().Unix()
	w, err := s.sealer.Writer(&s.cursor)
	if err != nil {
		return Error.Wrap(err)
	}
	s.writer = w
	return nil
}

// Token implements generation.Sink.
func (s *streamSink) Token(index int, text []byte, finish string) error {
	if !utf8.Valid(text) {
		// The digest must cover the text exactly as the caller receives it.
		text = bytes.ToValidUTF8(text, []byte("\ufffd"))
	}
	s.startResponse()
	s.add(index, text, finish)
	s.cursor.Offset = index + 1
	s.cursor.TextBytes += len(text)
	s.cursor.Digest = cursor.Extend(s.cursor.Digest, text)
	s.cursor.Finished = finish != ""
	return s.event(text, finish)
}

func (s *streamSink) event(text []byte, finish string) error {
	b := append(s.buf[:0], "id: "...)
	b = s.writer.Append(b, s.cursor.Position)
	b = append(b, '\n')
	if s.firstEvent {
		b = append(b, s.firstHead...)
		s.firstEvent = false
	} else {
		b = append(b, s.head...)
	}
	b = appendEscaped(b, text)
	b = append(b, s.tail...)
	if finish == "" {
		b = append(b, "null"...)
	} else {
		b = append(b, '"')
		b = append(b, finish...)
		b = append(b, '"')
	}
	b = append(b, "}]}\n\n"...)
	s.buf = b
	return s.write(b)
}

// startResponse writes the response header, unless the header was already written. It is
// called just before the first byte of the body, so that any earlier refusal can still set
// the HTTP status.
func (s *streamSink) startResponse() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no") // a proxy must not buffer events
	s.armDeadline()
	s.w.WriteHeader(http.StatusOK)
}

// armDeadline sets the deadline of the next writes to writeTimeout from now, or to now if
// the stream was aborted, so that the writes fail.
func (s *streamSink) armDeadline() {
	setWriteDeadline(s.w)
	if s.aborted.Load() {
		_ = s.rc.SetWriteDeadline(time.Now()) // error ignored as in setWriteDeadline
	}
	s.unarmedBytes = 0
}

// abortOn makes writes fail as soon as ctx ends. A write to a connection whose caller is
// unreachable blocks until the write's deadline. Without abortOn, a caller that reconnects on
// another connection would have to wait until that deadline, because the blocked run still
// occupies the caller's key. release must be called before the handler returns, because the
// connection must not be used afterwards.
func (s *streamSink) abortOn(ctx context.Context) (release func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		s.aborted.Store(true)
		_ = s.rc.SetWriteDeadline(time.Now()) // error ignored as in setWriteDeadline
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

func (s *streamSink) write(b []byte) error {
	if s.unarmedBytes += len(b); s.unarmedBytes > rearmBytes {
		s.armDeadline()
	}
	_, err := s.w.Write(b)
	return err
}

// Flush implements generation.Sink.
func (s *streamSink) Flush() error {
	if !s.started {
		return nil
	}
	s.armDeadline()
	err := s.rc.Flush()
	s.clearDeadline()
	return err
}

// clearDeadline removes the write deadline until the next write. In HTTP/2 a deadline
// that passes resets the stream with INTERNAL_ERROR even if nothing is being written,
// so a longer silence of the engine would break the caller's stream. In HTTP/1.1 a
// passed deadline only fails a write, and each write to the connection sets a new
// deadline.
func (s *streamSink) clearDeadline() {
	if s.http2 {
		_ = s.rc.SetWriteDeadline(time.Time{}) // error ignored as in setWriteDeadline
	}
}

// writeDone writes the end marker of a complete stream.
func (s *streamSink) writeDone() {
	s.startResponse()
	_ = s.write([]byte("data: [DONE]\n\n")) // an error means that the caller has disconnected
	_ = s.Flush()
}

// writeFailure ends a started stream with an error event.
func (s *streamSink) writeFailure(f *Failure) {
	b := append([]byte("event: error\ndata: "), f.body()...)
	_ = s.write(append(b, "\n\n"...)) // error ignored as in writeDone
	_ = s.Flush()
}
