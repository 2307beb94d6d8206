package client

import (
	"io"
	"time"
)

// idle calls a function when no byte arrives for a while. A frozen router
// keeps its connection open and sends nothing, so no read ever fails.
type idle struct {
	timeout time.Duration
	timer   *time.Timer
}

func newIdle(timeout time.Duration, expired func()) *idle {
	i := &idle{timeout: timeout}
	if timeout > 0 {
		i.timer = time.AfterFunc(timeout, expired)
	}
	return i
}

func (i *idle) stop() {
	if i.timer != nil {
		i.timer.Stop()
	}
}

func (i *idle) wrap(r io.Reader) io.Reader {
	if i.timer == nil {
		return r
	}
	return &idleReader{r: r, idle: i}
}

type idleReader struct {
	r    io.Reader
	idle *idle
}

func (r *idleReader) Read(p []byte) (int, error) {
	n, err := r.r.Read(p)
	if n > 0 {
		r.idle.timer.Reset(r.idle.timeout)
	}
	return n, err
}
