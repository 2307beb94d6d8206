package engine

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"wigeondale/check"
	"wigeondale/fleet"
)

// key names one dispatch of one request.
type key struct {
	request string
	attempt int
}

// stream is one generation. The step loop owns the scheduling fields under the
// engine's lock; the text and its reader have a lock of their own, so that
// readers do not hold up the step loop.
type stream struct {
	key      key
	ref      fleet.ModelRef
	priority int
	arrival  int
	max      int // tokens of the whole answer
	base     int // index of the first token generated here
	linger   time.Duration
	blocks   []uint64
	pieces   int // cache blocks of the text to prefill, a last partial one included
	readyAt  time.Time
	stalled  bool
	head     []byte // the part of a chunk before the token's index

	mu        sync.Mutex
	chain     check.Chain
	text      []byte
	ends      []int
	ended     bool   // no further token will come
	finish    string // reason, if ended by itself
	cancelled string // reason, if ended by something else
	endedAt   time.Time
	reader    *reader
	orphanAt  time.Time // since when there has been no reader
	delivered int       // highest token written to a reader, counted from base
	prefilled int
}

// reader is one connection that follows a stream.
type reader struct {
	wake chan struct{} // holds one element once there may be something new
	gone chan struct{} // closed when another reader takes over
}

func newReader() *reader {
	return &reader{wake: make(chan struct{}, 1), gone: make(chan struct{})}
}

func (r *reader) notify() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// attach makes r the only reader of the stream.
func (s *stream) attach(r *reader) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader != nil {
		close(s.reader.gone)
	}
	s.reader = r
	r.notify()
}

// detach starts the linger time, unless another reader has taken over.
func (s *stream) detach(r *reader, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reader == r {
		s.reader = nil
		s.orphanAt = now
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
	if s.chain.NextIndex() >= s.max {
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

// abandoned reports whether nobody has read the stream for its linger time.
func (s *stream) abandoned(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reader == nil && now.Sub(s.orphanAt) >= s.linger
}

// expired reports whether an ended stream need no longer be remembered.
func (s *stream) expired(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ended && s.reader == nil && now.Sub(s.endedAt) >= rememberFor
}

// view is the text generated so far. Its slices are never overwritten.
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

// token is the text of the n-th token generated here.
func (v view) token(n int) []byte {
	start := 0
	if n > 0 {
		start = v.ends[n-1]
	}
	return v.text[start:v.ends[n]]
}

func (s *stream) wrote(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delivered = max(s.delivered, n)
}

// chunkHead renders what is the same in all chunks of a stream.
func chunkHead(request string, attempt int, ref fleet.ModelRef) []byte {
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

// appendChunk renders one event. Token texts need no escaping.
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
