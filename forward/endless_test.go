package forward

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"wigeondale/backend"
	"wigeondale/generation"
)

// repeatingConn is a stream from a router that sends one message without end.
type repeatingConn struct {
	*pipe
	message  answerMessage
	received int
}

func (c *repeatingConn) Receive(ctx context.Context, _ time.Duration, v any) error {
	c.received++
	b, err := cbor.Marshal(c.message)
	if err != nil {
		return err
	}
	return errors.Join(ctx.Err(), cbor.Unmarshal(b, v))
}

// Guards against a router that sends messages without end and no token: the router that passed the
// request on would be busy with them until the caller's deadline. On 8472d66 it fails: the messages
// are read until the deadline.
func TestMessagesWithoutEnd(t *testing.T) {
	for _, kind := range []answerKind{answerAlive, answerBegin} {
		_, end := newPipe()
		c := &repeatingConn{pipe: end, message: answerMessage{Kind: kind}}
		f := New(Config{
			Routers: func(string) ([]Router, int) { return []Router{{ID: "r2"}}, 1 },
			Open:    func(context.Context, Router) (Conn, error) { return c, nil },
		})
		ctx, stop := context.WithTimeout(t.Context(), 5*time.Second)
		defer stop()
		s, err := f.Forward(ctx, generation.Handover{Request: generation.Request{ID: "q"}})
		if err == nil {
			_, err = s.Next()
		}
		if !errors.Is(err, backend.ErrBroken) || ctx.Err() != nil {
			t.Errorf("kind %d: got %v", kind, err)
		}
		if c.received > 10_000 {
			t.Errorf("kind %d: %d messages were read", kind, c.received)
		}
	}
}
