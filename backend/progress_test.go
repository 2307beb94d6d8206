package backend

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
)

// timedBody sends a byte after each gap until its end, and then nothing until the deadline.
type timedBody struct {
	gap           time.Duration
	end, deadline time.Time
}

func (b timedBody) Close() error { return nil }
func (b timedBody) Read(p []byte) (int, error) {
	next := time.Now().Add(b.gap)
	if next.After(b.deadline) || next.After(b.end) {
		time.Sleep(time.Until(b.deadline))
		return 0, context.DeadlineExceeded
	}
	time.Sleep(b.gap)
	return copy(p, "x"), nil
}

// Guards against a caller's short deadline that counts against a server whose body makes progress, and
// against a body without end, or one that has stopped, that doesn't count.
func TestBodyThatMakesProgressIsSound(t *testing.T) {
	for _, c := range []struct {
		gap, flows, deadline time.Duration
		fault                bool
	}{
		{5 * time.Millisecond, 700 * time.Millisecond, 600 * time.Millisecond, false},
		{400 * time.Millisecond, time.Minute, 29 * time.Second, false},
		{5 * time.Millisecond, time.Second, 1400 * time.Millisecond, false},
		{5 * time.Millisecond, time.Second, 1600 * time.Millisecond, true},
		{5 * time.Millisecond, 0, 600 * time.Millisecond, true},
		{5 * time.Millisecond, time.Hour, steadyTime + time.Second, true},
	} {
		bubble.Test(t, func(t *testing.T) {
			body := WatchBody(timedBody{c.gap, time.Now().Add(c.flows), time.Now().Add(c.deadline)})
			_, err := io.ReadAll(body)
			if err = body.Failure(err); errors.Is(err, ErrUnfinished) != c.fault || !errors.Is(err, context.DeadlineExceeded) {
				t.Errorf("%+v: got %v", c, err)
			}
		})
	}
}

// Guards against a caller that reads slowly and whose deadline counts against the server.
func TestSlowReaderIsNoFaultOfTheServer(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		body := WatchBody(timedBody{time.Millisecond, time.Now(), time.Now().Add(time.Second)})
		time.Sleep(2 * time.Second)
		_, err := body.Read(make([]byte, 1))
		if errors.Is(body.Failure(err), ErrUnfinished) {
			t.Errorf("got %v", body.Failure(err))
		}
	})
}
