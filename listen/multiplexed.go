package listen

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"wigeondale/bounded"
)

const (
	// streamBytes is the memory of an open HTTP/2 stream besides its header: its goroutine and the buffers of http.Server.
	streamBytes = 12 << 10
	// memoryPerBlockByte is the memory of a byte of an unfinished header block: a header field may take a single byte of it.
	memoryPerBlockByte = 80
	// maxFrameBytes is the largest frame that a client may send, which HTTP/2 requires at least. http.Server keeps a buffer of this size.
	maxFrameBytes = 16 << 10
	// windowBytes is how much of the bodies of a connection http.Server buffers until handlers read it, the least that HTTP/2 allows.
	windowBytes = 64<<10 - 1
	// lastWriteTime bounds the write of what a handler leaves buffered at its end.
	lastWriteTime = 10 * time.Second
	// endedTime is how long that may take while requests wait for memory, which must outlast it.
	endedTime = memoryWait / 2
)

// multiplexed is the state of a connection that carries several requests at once, by HTTP/2.
type multiplexed struct {
	frames  frames
	block   int64 // memory of the unfinished header block
	streams map[*stream]struct{}
}

// stream is one request of a multiplexed connection. It exists until the whole answer has been sent.
type stream struct {
	hold *bounded.Hold

	mu      sync.Mutex
	answer  *http.ResponseController // nil when the request has ended
	endedAt time.Time                // of the handler; zero while it runs
}

// multiplex states that HTTP/2 is spoken on the connection. Its server sets the deadlines.
func (n *conn) multiplex() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.multi != nil {
		return
	}
	n.multi = &multiplexed{streams: map[*stream]struct{}{}, frames: frames{left: len(http2Preface)}}
	if !n.stopped {
		_ = n.Conn.SetReadDeadline(n.readBy) // an error shows at the next read
	}
}

// accountFrames accounts for the memory of an unfinished header block. It waits for it as long as requests are open, whose answers must
// not be cut.
func (n *conn) accountFrames(data []byte) error {
	n.mu.Lock()
	m := n.multi
	m.frames.add(data)
	if m.frames.block == 0 {
		n.hold.Close()
		n.hold, m.block = nil, 0
		n.mu.Unlock()
		return nil
	}
	if n.hold == nil {
		n.hold = n.clients.hold(n)
	}
	hold, hasStreams := n.hold, len(m.streams) > 0
	missing := int64(m.frames.block)*memoryPerBlockByte - m.block
	m.block += missing
	n.mu.Unlock()
	hold.Received(int64(len(data)))
	if hasStreams {
		hold.Complete()
	}
	for {
		err := hold.Grow(context.Background(), missing)
		if err == nil || !hasStreams || !errors.Is(err, bounded.ErrNoMemory) {
			return err
		}
	}
}

// beginStream accounts for a request. It returns nil if there is no memory for it.
func (n *conn) beginStream(w http.ResponseWriter, r *http.Request) *stream {
	n.multiplex()
	s := &stream{answer: http.NewResponseController(w)}
	s.hold = n.clients.cfg.Requests.HoldInput(bounded.Input{MaxWait: memoryWait, GiveUp: s.giveUp})
	if err := s.hold.Grow(r.Context(), streamBytes+bounded.HeaderMemory(r.Header)); err != nil {
		s.hold.Close()
		return nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.multi.streams[s] = struct{}{}
	return s
}

// giveUp ends the reading of the body. The handler can still answer.
func (s *stream) giveUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answer != nil {
		_ = s.answer.SetReadDeadline(time.Unix(1, 0)) // HTTP/2 always supports it
	}
}

// endStream writes what the handler has left buffered, unless it was aborted, and frees the memory of the request.
func (n *conn) endStream(s *stream, aborted bool) {
	s.mu.Lock()
	s.endedAt = time.Now()
	s.mu.Unlock()
	if n.clients.cfg.WriteTimeout == 0 {
		_ = s.answer.SetWriteDeadline(time.Now().Add(lastWriteTime)) // HTTP/2 always supports it
	}
	if !aborted {
		_ = s.answer.Flush() // an error means that the client has disconnected or doesn't read
	}
	s.mu.Lock()
	s.answer = nil
	s.mu.Unlock()
	n.mu.Lock()
	delete(n.multi.streams, s)
	n.mu.Unlock()
	s.hold.Close()
}

// unreadSince returns the Unix time in ns since when the client doesn't read, or 0 if it reads or that is not long. That is the time of
// the piece that is being written, or, if the handlers of all streams have ended and their answers aren't read, that of the first end.
func (n *conn) unreadSince(now time.Time) int64 {
	if at := n.writingSince.Load(); at != 0 && at < now.Add(-unreadTime).UnixNano() {
		return at
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.multi == nil || len(n.multi.streams) == 0 {
		return 0
	}
	first := now.Add(-endedTime)
	for s := range n.multi.streams {
		s.mu.Lock()
		endedAt := s.endedAt
		s.mu.Unlock()
		if endedAt.IsZero() {
			return 0
		}
		if endedAt.Before(first) {
			first = endedAt
		}
	}
	if first.Equal(now.Add(-endedTime)) {
		return 0
	}
	return first.UnixNano()
}

// progress returns the progress of the request. An answer that its client doesn't read makes none.
func (s *stream) progress(now time.Time) float64 {
	s.mu.Lock()
	endedAt := s.endedAt
	s.mu.Unlock()
	if !endedAt.IsZero() && now.Sub(endedAt) > endedTime {
		return 0
	}
	return s.hold.Progress(now)
}

// hasStreams reports whether the connection carries requests by HTTP/2.
func (n *conn) hasStreams() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.multi != nil && len(n.multi.streams) > 0
}
