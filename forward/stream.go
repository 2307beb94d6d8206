package forward

import (
	"context"
	"io"
	"sync"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// These bound what another router may send without a token. A router in trouble could otherwise keep
// this one busy until the caller's deadline.
const (
	// maxBegins bounds the attempts that begin one after another. A router has 8 at most by default.
	maxBegins = 64
	// maxAliveBurst is how many alive messages may come at once: those of 20 minutes, in which a caller
	// read nothing.
	maxAliveBurst = 4096
)

// stream is the answer of a request that was passed on. It implements generation.ForwardedStream.
type stream struct {
	conn    Conn
	ctx     context.Context
	router  string
	release func() // counts the request as ended; set before the stream is returned
	ended   sync.Once
	first   *answerMessage // received before the stream was returned, and not read yet
	head    *backend.Head
	origin  generation.Position
	begun   bool // an attempt delivers
}

// Next implements generation.Stream.
func (s *stream) Next() (backend.Token, error) {
	for begun := 0; ; begun++ {
		if begun > maxBegins {
			return backend.Token{}, Error.New("%w: %d attempts without a token", backend.ErrBroken, begun)
		}
		m := s.first
		s.first = nil
		if m == nil {
			var err error
			if m, err = s.receive(); err != nil {
				return backend.Token{}, err
			}
		}
		switch m.Kind {
		case answerBegin:
			s.begin(m)
		case answerToken:
			if m.Index < 0 || !s.begun {
				return backend.Token{}, Error.New("%w: token %d of no attempt", backend.ErrBroken, m.Index)
			}
			return backend.Token{Index: m.Index, Text: m.Text, Finish: m.Finish}, nil
		case answerEnd:
			if m.Outcome != fleet.Complete {
				return backend.Token{}, m.end()
			}
			if !s.begun {
				return backend.Token{}, Error.New("%w: an answer without an attempt is complete", backend.ErrBroken)
			}
			return backend.Token{}, io.EOF
		default:
			return backend.Token{}, Error.New("%w: message of the unknown kind %d", backend.ErrBroken, m.Kind)
		}
	}
}

// receive receives the next message that says more than that the request is in progress.
func (s *stream) receive() (*answerMessage, error) {
	began := time.Now()
	for n := time.Duration(0); ; n++ {
		if n > maxAliveBurst+time.Since(began)/aliveInterval {
			return nil, Error.New("%w: more messages than a router sends", backend.ErrBroken)
		}
		var m answerMessage
		if err := s.conn.Receive(s.ctx, aliveTimeout, &m); err != nil {
			// Not wrapped: io.EOF of the connection is not the end of the answer.
			return nil, Error.New("%w: %v", backend.ErrBroken, err)
		}
		if m.Kind != answerAlive {
			return &m, nil
		}
	}
}

// begin records the attempt that delivers from now on.
func (s *stream) begin(m *answerMessage) {
	if m.Kind != answerBegin {
		return
	}
	s.origin, s.begun = m.position(), true
	if h := m.head(); h != nil {
		s.head = h
	}
}

// Buffered implements generation.Stream.
func (s *stream) Buffered() bool { return false }

// Incarnation implements generation.Stream.
func (s *stream) Incarnation() string { return s.origin.Incarnation }

// Head implements generation.Stream.
func (s *stream) Head() *backend.Head { return s.head }

// Router implements generation.ForwardedStream.
func (s *stream) Router() string { return s.router }

// Origin implements generation.ForwardedStream.
func (s *stream) Origin() generation.Position { return s.origin }

// Close implements generation.Stream. The other router ends the run if it has not ended.
func (s *stream) Close() error {
	s.ended.Do(func() {
		s.conn.Close()
		if s.release != nil {
			s.release()
		}
	})
	return nil
}
