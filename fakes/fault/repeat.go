package fault

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
)

// Repeat is when an answer is sent a second time.
type Repeat int

// The times of a second copy of an answer.
const (
	Never         Repeat = iota
	AtNextRequest        // when the next request on the connection has arrived, before its answer
	AtOnce               // right after the answer; only answers with a stated length are
)

// maxRepeated is the size of the longest answer that is sent twice.
const maxRepeated = 64 << 10

// SetRepeats makes draw decide for each answer whether it is sent a second time. Nil ends that.
func (l *Listener) SetRepeats(draw func() Repeat) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.repeats = draw
}

func (l *Listener) drawRepeat() Repeat {
	l.mu.Lock()
	draw := l.repeats
	l.mu.Unlock()
	if draw == nil {
		return Never
	}
	return draw()
}

// repeatedEvery is the number of answers of which RepeatSome repeats one.
const repeatedEvery = 5

// RepeatSome returns a function for SetRepeats that repeats answers of all kinds, at both times by turns.
func RepeatSome() func() Repeat {
	var answers atomic.Int64
	return func() Repeat {
		switch answers.Add(1) % (2 * repeatedEvery) {
		case 0:
			return AtOnce
		case repeatedEvery:
			return AtNextRequest
		}
		return Never
	}
}

// repeater sends answers of one connection twice. The server serves one request after the other, so that what is written
// between two reads is an answer.
type repeater struct {
	mu     sync.Mutex
	answer []byte // written since the latest request
	repeat Repeat // of that answer, drawn at its first bytes
}

// requestArrived returns what is to be sent before the next answer.
func (r *repeater) requestArrived() (copied []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.repeat == AtNextRequest {
		copied = r.answer
	}
	r.answer, r.repeat = nil, Never
	return copied
}

// begins reports whether no byte of the answer was written yet.
func (r *repeater) begins() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.answer) == 0
}

// written returns what is to be sent after bytes of an answer.
func (r *repeater) written(p []byte, draw func() Repeat) (copied []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.answer) == 0 {
		r.repeat = draw()
	}
	if r.answer = append(r.answer, p...); len(r.answer) > maxRepeated {
		r.repeat = Never
	}
	if r.repeat == Never {
		r.answer = r.answer[:1] // not empty: the answer has begun
		return nil
	}
	if r.repeat == AtOnce && isWhole(r.answer) {
		r.repeat = Never
		return r.answer
	}
	return nil
}

var lengthField = []byte("\r\n" + http.CanonicalHeaderKey("content-length") + ": ")

// isWhole reports whether an answer has a stated length and is complete.
func isWhole(answer []byte) bool {
	head, body, ok := bytes.Cut(answer, []byte("\r\n\r\n"))
	_, after, stated := bytes.Cut(head, lengthField)
	if !ok || !stated {
		return false
	}
	length, _, _ := bytes.Cut(after, []byte("\r\n"))
	n, err := strconv.Atoi(string(length))
	return err == nil && len(body) == n
}
