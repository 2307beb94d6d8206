package engine

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"wigeondale/check"
	"wigeondale/fleet"
)

// key identifies one dispatch of one request.
type key struct {
	request string
	attempt int
}

// stream is one generation. The engine's lock guards the scheduling fields, which the step
// loop uses. The text and its reader have a lock of their own, so that readers don't block
// the step loop.
type stream struct {
	key        key
	ref        fleet.ModelRef
	priority   int
	arrival    int
	maxTokens  int // of the complete answer, including resumed text
	firstToken int // index of the first token generated here
	linger     time.Duration
	blocks     []uint64
	blockCount int // cache blocks of the text to prefill, including a partial last one
	readyAt    time.Time
	stalled    bool
	head       []byte // the part of a chunk before the token's index

	mu           sync.Mutex
	chain        check.Chain
	text         []byte
	ends         []int
	ended        bool   // no more tokens will be generated
	finish       string // finish reason, if the generation ended normally
	cancelled    string // reason, if the stream was cancelled
	endedAt      time.Time
	reader       *reader
	readerLostAt time.Time // when the last reader detached
	delivered    int       // highest token written to a reader, counted from firstToken
	prefilled    int
}

// reader is one connection that follows a stream.
type reader struct {
	wake     chan struct{} // has one element when the stream may have changed
	replaced chan struct{} // closed when another reader has attached
}

func newReader() *reader {
	return &reader{wake: make(chan struct{}, 1), replaced: make(chan struct{})}
}

func (r *reader) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// attach makes r the only reader of the stream and disconnects the reader that was attached
// before.
func (s *stream) attach(r *reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader != nil {
		close(s.reader.replaced)
	}
	s.reader = r
	r.notify()
}

// detach detaches the reader r and starts the linger time. A stream that still has no
// reader at the end of this time is cancelled. Exception: if another reader has replaced r,
// detach does nothing.
func (s *stream) detach(r *reader, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader == r {
		s.reader = nil
		s.readerLostAt = now
	}
}

// advance generates one token and reports whether it was the last.
func (s *stream) advance(rnd uint16, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return true
	}
	s.text = s.chain.Append(s.text, rnd)
	s.ends = append(s.ends, len(s.text))
	if s.chain.NextIndex() >= s.maxTokens {
		s.ended = true
		s.finish = "length"
		s.endedAt = now
	}
	s.wakeReader()
	return s.ended
}

// cancel ends the stream early and returns how many tokens it generated.
func (s *stream) cancel(reason string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ended {
		s.ended = true
		s.cancelled = reason
		s.endedAt = now
		s.wakeReader()
	}
	return len(s.ends)
}

func (s *stream) wakeReader() {
	if s.reader != nil {
		s.reader.notify()
	}
}

// abandoned reports whether the stream has had no reader for its linger time.
func (s *stream) abandoned(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader == nil && now.Sub(s.readerLostAt) >= s.linger
}

// expired reports whether the stream ended longer than retention ago and has no reader.
func (s *stream) expired(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended && s.reader == nil && now.Sub(s.endedAt) >= retention
}

// view is a snapshot of a stream. Its slices are only appended to, never overwritten.
type view struct {
	text      []byte
	ends      []int
	ended     bool
	finish    string
	cancelled bool
}

func (s *stream) view() view {
	s.mu.Lock()
	defer s.mu.Unlock()
	return view{s.text, s.ends, s.ended, s.finish, s.cancelled != ""}
}

// token returns the text of the n-th token that this stream generated.
func (v view) token(n int) []byte {
	start := 0
	if n > 0 {
		start = v.ends[n-1]
	}
	return v.text[start:v.ends[n]]
}

func (s *stream) recordDelivered(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delivered = max(s.delivered, n)
}

// renderChunkHead renders the part that all chunks of a stream have in common.
func renderChunkHead(request string, attempt int, ref fleet.ModelRef) []byte {
	b := append([]byte(`data: {"id":`), quote(request)...)
	b = append(b, `,"attempt":`...)
	b = strconv.AppendInt(b, int64(attempt), 10)
	b = append(b, `,"model":`...)
	b = append(b, quote(ref.Model)...)
	b = append(b, `,"version":`...)
	b = append(b, quote(ref.Version)...)
	b = append(b, `,"adapter":`...)
	b = append(b, quote(ref.Adapter)...)
	return append(b, `,"index":`...)
}

func quote(s string) []byte {
	b, err := json.Marshal(s)
	if err != nil {
		return []byte(`""`)
	}
	return b
}

// appendChunk renders one chunk as a server-sent event. Token texts need no escaping.
func appendChunk(dst, head []byte, index int, text []byte, finish string) []byte {
	dst = append(dst, head...)
	dst = strconv.AppendInt(dst, int64(index), 10)
	dst = append(dst, `,"choices":[{"index":0,"text":"`...)
	dst = append(dst, text...)
	dst = append(dst, `","finish_reason":`...)
	if finish == "" {
		return append(dst, "null}]}\n\n"...)
	}
	dst = append(dst, '"')
	dst = append(dst, finish...)
	return append(dst, "\"}]}\n\n"...)
}
