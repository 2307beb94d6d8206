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

// collector gathers a generation's text. It is the whole sink of a caller who
// does not stream, and lets a streamed answer be kept.
type collector struct {
	text   []byte
	limit  int // bytes gathered; beyond it the text is dropped and full is set
	full   bool
	finish string
	tokens int
}

func (c *collector) add(index int, text []byte, finish string) {
	c.tokens = index + 1
	c.finish = finish
	if c.full {
		return
	}
	if len(c.text)+len(text) > c.limit {
		c.full = true
		c.text = nil
		return
	}
	c.text = append(c.text, text...)
}

// answer is what can be kept after a complete run.
func (c *collector) answer() *finished {
	if c.full {
		return nil
	}
	return &finished{text: c.text, finish: c.finish, tokens: c.tokens}
}

// wholeSink implements generation.Sink for callers that do not stream.
type wholeSink struct {
	collector
}

// Begin implements generation.Sink.
func (*wholeSink) Begin(generation.Position, *backend.Head) error { return nil }

// Token implements generation.Sink.
func (s *wholeSink) Token(index int, text []byte, finish string) error {
	s.add(index, text, finish)
	if s.full {
		return Error.New("answer larger than %d bytes", s.limit)
	}
	return nil
}

// Flush implements generation.Sink.
func (*wholeSink) Flush() error { return nil }

// spillBytes is how much may be written before the write deadline is set
// again. It is below net/http's buffer, which writes to the connection by
// itself when it is full; after a long silence of the engine that write would
// otherwise meet the deadline of the flush before the silence.
const spillBytes = 2048

// streamSink implements generation.Sink as server-sent events. Token is the
// path that every token takes: it makes no allocation.
type streamSink struct {
	collector
	w       http.ResponseWriter
	rc      *http.ResponseController
	sealer  *cursor.Sealer
	place   cursor.Cursor // the static parts, and the place reached
	writer  *cursor.Writer
	first   []byte // data up to the text, of the very first event
	head    []byte // the same of each other event
	tail    []byte // from the text to finish_reason
	buf     []byte
	pending int // bytes written since the deadline was set
	started bool
	opening bool // the next event is the answer's first
	http2   bool
	aborted atomic.Bool
}

func newStreamSink(w http.ResponseWriter, sealer *cursor.Sealer, c cursor.Cursor, form format) *streamSink {
	s := &streamSink{
		w:      w,
		rc:     http.NewResponseController(w),
		sealer: sealer,
		place:  c,
		buf:    make([]byte, 0, 1024),

		opening: c.Offset == 0,
	}
	s.frame(form)
	return s
}

// frame prepares all of an event that is equal in each.
func (s *streamSink) frame(form format) {
	object := "text_completion"
	if form == chat {
		object = "chat.completion.chunk"
	}
	head := `data: {"id":` + quote(s.place.Request) +
		`,"object":"` + object +
		`","created":` + strconv.FormatInt(time.Now().Unix(), 10) +
		`,"model":` + quote(s.place.Ref.Model) +
		`,"choices":[{"index":0,`
	if form == chat {
		s.first = []byte(head + `"delta":{"role":"assistant","content":"`)
		s.head = []byte(head + `"delta":{"content":"`)
		s.tail = []byte(`"},"finish_reason":`)
		return
	}
	s.first = []byte(head + `"text":"`)
	s.head = s.first
	s.tail = []byte(`","finish_reason":`)
}

func quote(text string) string {
	raw, _ := json.Marshal(text) // a string always encodes
	return string(raw)
}

// Begin implements generation.Sink: the cursors of the events that follow name
// this attempt.
func (s *streamSink) Begin(p generation.Position, _ *backend.Head) error {
	s.place.Backend = p.Backend
	s.place.Incarnation = p.Incarnation
	s.place.Attempt = p.Attempt
	s.place.IssuedUnixS = time.Now().Unix()
	w, err := s.sealer.Writer(&s.place)
	if err != nil {
		return Error.Wrap(err)
	}
	s.writer = w
	return nil
}

// Token implements generation.Sink.
func (s *streamSink) Token(index int, text []byte, finish string) error {
	if !utf8.Valid(text) {
		// The digest must be of the text as the caller sees it.
		text = bytes.ToValidUTF8(text, []byte("\ufffd"))
	}
	s.start()
	s.add(index, text, finish)
	s.place.Offset = index + 1
	s.place.TextBytes += len(text)
	s.place.Digest = cursor.Extend(s.place.Digest, text)
	s.place.Finished = finish != ""
	return s.event(text, finish)
}

func (s *streamSink) event(text []byte, finish string) error {
	b := append(s.buf[:0], "id: "...)
	b = s.writer.Append(b, s.place.Position)
	b = append(b, '\n')
	if s.opening {
		b = append(b, s.first...)
		s.opening = false
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

// start sends the header, as late as the first byte of the answer.
func (s *streamSink) start() {
	if s.started {
		return
	}
	s.started = true
	h := s.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no") // a proxy must not hold events back
	s.arm()
	s.w.WriteHeader(http.StatusOK)
}

// arm sets the deadline of the next writes, which is now once aborted.
func (s *streamSink) arm() {
	armWrite(s.w)
	if s.aborted.Load() {
		_ = s.rc.SetWriteDeadline(time.Now()) // as in armWrite
	}
	s.pending = 0
}

// abortOn ends writes when ctx ends. A write to a connection whose caller has
// vanished blocks until its deadline; the caller, back on another connection,
// would wait that long for the key. release must be called before the handler
// returns, since the connection is not ours after it.
func (s *streamSink) abortOn(ctx context.Context) (release func()) {
	done := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		defer close(done)
		s.aborted.Store(true)
		_ = s.rc.SetWriteDeadline(time.Now()) // as in armWrite
	})
	return func() {
		if !stop() {
			<-done
		}
	}
}

func (s *streamSink) write(b []byte) error {
	if s.pending += len(b); s.pending > spillBytes {
		s.arm()
	}
	_, err := s.w.Write(b)
	return err
}

// Flush implements generation.Sink.
func (s *streamSink) Flush() error {
	if !s.started {
		return nil
	}
	s.arm()
	err := s.rc.Flush()
	s.disarm()
	return err
}

// disarm takes the deadline away until the next write. In HTTP/2 a deadline that
// passes resets the stream by itself, though nothing waits to be written: an
// engine that was silent for longer would cost the caller its connection, with
// INTERNAL_ERROR. In HTTP/1.1 it only fails a write, and each is armed.
func (s *streamSink) disarm() {
	if s.http2 {
		_ = s.rc.SetWriteDeadline(time.Time{}) // as in armWrite
	}
}

// done ends a complete stream.
func (s *streamSink) done() {
	s.start()
	_ = s.write([]byte("data: [DONE]\n\n")) // the caller has gone: nobody is left to tell
	_ = s.Flush()
}

// fail ends a stream that is already under way.
func (s *streamSink) fail(f *Failure) {
	b := append([]byte("event: error\ndata: "), f.body()...)
	_ = s.write(append(b, "\n\n"...)) // as in done
	_ = s.Flush()
}
