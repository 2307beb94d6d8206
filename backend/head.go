package backend

import (
	"context"
	"errors"
	"net/textproto"
	"sync"
	"time"

	"wigeondale/bounded"
)

// ErrUnfinished means that an answer began, and was not complete after much more time than a sound
// backend server needs for that. The backend server is at fault, not the caller's short deadline.
var ErrUnfinished = errors.New("the answer began and did not end")

const (
	// maxHeadTime bounds the time from the first byte of a head to its end. A sound backend server
	// sends its head at once; its machine may be unreachable for 2 s meanwhile. Half a second more is for a busy
	// machine. Callers of requests that run once may wait for no more than 3 s, and a server with an endless
	// head must be found before that: with 3.5 s such a request had its deadline as the only bound.
	maxHeadTime = 2500 * time.Millisecond
	// unfinishedTime is how long before the caller's deadline a head must have begun, or a body
	// stopped, so that its backend server is at fault for not ending it: two retransmissions of a lost packet.
	unfinishedTime = 500 * time.Millisecond
	// maxInterim bounds the number of interim answers (1xx) before an answer. A sound backend server may
	// send one of them each second as a heartbeat, and 25 s pass until a slow answer begins.
	maxInterim = 32
)

// headWatch ends the request of one answer whose head begins and doesn't end. A head that comes a
// byte at a time is not noticed by its size, and would last until the caller's deadline.
type headWatch struct {
	cancel context.CancelCauseFunc

	mu      sync.Mutex
	timer   *time.Timer
	firstAt time.Time // of the first byte; zero before it
	// interim is the number of interim answers, and interimBytes the size of their headers.
	interim, interimBytes int
}

var errHeadTime = Error.New("%w: no end of its head after %v", ErrUnfinished, maxHeadTime)

// firstByte is called with the first byte of the head.
func (w *headWatch) firstByte() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		return
	}
	w.firstAt = time.Now()
	w.timer = time.AfterFunc(maxHeadTime, func() { w.cancel(errHeadTime) })
}

// gotInterim is called with each interim answer. The error that it returns ends the request.
//
// net/http bounds the size of each of them by itself, so their sum is bounded here.
func (w *headWatch) gotInterim(_ int, header textproto.MIMEHeader) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.interim++; w.interim > maxInterim {
		return Error.New("%w: more than %d interim answers", ErrMismatch, maxInterim)
	}
	w.interimBytes += headerBytes(header)
	if w.interimBytes > bounded.MaxHeadBytes {
		return Error.New("%w: more than %d bytes of interim answers", ErrMismatch, bounded.MaxHeadBytes)
	}
	// The next head may come much later. Its first byte isn't reported by net/http: from here on, the
	// number of interim answers and the caller's deadline bound the time.
	if w.timer != nil {
		w.timer.Stop()
	}
	w.firstAt = time.Time{}
	return nil
}

// headerBytes returns the size of a header as it is sent, with the separators of its lines.
func headerBytes(header textproto.MIMEHeader) (n int) {
	for name, values := range header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// hasBegun reports whether a byte of the answer has arrived.
func (w *headWatch) hasBegun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.firstAt.IsZero() || w.interim > 0
}

// stop ends the watch when the head has ended or the request has failed.
func (w *headWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
	}
}

// failure returns err, the error of the request, joined with ErrUnfinished if the head had begun long
// before.
func (w *headWatch) failure(err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return unfinishedSince(w.firstAt, err)
}

// unfinishedSince returns err, the error of an answer that is waited for since a moment, joined with
// ErrUnfinished if that is long before now. The moment is zero if the answer didn't begin.
func unfinishedSince(began time.Time, err error) error {
	if began.IsZero() || time.Since(began) < unfinishedTime || errors.Is(err, ErrUnfinished) {
		return err
	}
	return errors.Join(ErrUnfinished, err)
}
