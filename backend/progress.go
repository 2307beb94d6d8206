package backend

import (
	"io"
	"time"
)

// steadyTime is how long a body may keep coming before its backend server is at fault for not ending
// it. A body has no target of its own. A sound server may send blanks while it works on an answer,
// for which 25 s may pass.
const steadyTime = 30 * time.Second

// WatchedBody reads a body and reports, when the caller's deadline ends it, whether its backend server is
// at fault. It is not at fault for a body that makes progress: the caller may have chosen a short deadline.
type WatchedBody struct {
	io.ReadCloser
	began   time.Time
	waiting time.Time // since when the latest Read waits; a caller that reads slowly is no fault of the server
}

// WatchBody returns a WatchedBody of a body whose head has just come.
func WatchBody(body io.ReadCloser) *WatchedBody {
	now := time.Now()
	return &WatchedBody{ReadCloser: body, began: now, waiting: now}
}

// Read implements io.Reader.
func (b *WatchedBody) Read(p []byte) (int, error) {
	b.waiting = time.Now()
	return b.ReadCloser.Read(p)
}

// Failure returns err, the error of the latest Read, joined with ErrUnfinished if that Read waited for
// long, or if the body has lasted for steadyTime.
func (b *WatchedBody) Failure(err error) error {
	if time.Since(b.began) >= steadyTime {
		return unfinishedSince(b.began, err)
	}
	return unfinishedSince(b.waiting, err)
}
