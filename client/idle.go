package client

import (
	"io"
	"time"
)

// idleTimer calls a function when no byte arrives on a connection within the timeout. It is
// needed because a frozen router keeps its connection open and sends nothing, so no read
// ever fails. With timeout 0 it does nothing.
type idleTimer struct {
	timeout time.Duration
	timer   *time.Timer
}

func newIdle(timeout time.Duration, expired func()) *idleTimer {
	i := &idleTimer{timeout: timeout}
	if timeout > 0 {
		i.timer = time.AfterFunc(timeout, expired)
	}
	return i
}

func (i *idleTimer) stop() {
	if i.timer != nil {
		i.timer.Stop()
	}
}

func (i *idleTimer) wrap(r io.Reader) io.Reader {
	if i.timer == nil {
		return r
	}
	return &idleReader{r: r, idle: i}
}

type idleReader struct {
	r    io.Reader
	idle *idleTimer
}

func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.idle.timer.Reset(r.idle.timeout)
	}
	return n, err
}
