package engine

import (
	"net/http"
	"time"
)

const chunkSize = 256 // bytes, about one rendered chunk

// follow writes the stream to one reader from its n-th token on. All tokens
// that are ready go out with a single flush.
func (e *Engine) follow(w http.ResponseWriter, r *http.Request, s *stream, rd *reader, incarnation string, n int) {
	defer func() { s.detach(rd, time.Now()) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Engine-Incarnation", incarnation)
	flusher := http.NewResponseController(w)
	if flusher.Flush() != nil {
		return
	}
	buf := make([]byte, 0, 4*chunkSize)
	for {
		select {
		case <-rd.wake:
		case <-rd.gone:
			panic(http.ErrAbortHandler) // closes the connection of the reader taken over from
		case <-r.Context().Done():
			return
		}
		v := s.view()
		buf = buf[:0]
		for ; n < len(v.ends); n++ {
			buf = e.appendToken(buf, s, v, n)
		}
		last := v.ended && !v.cancelled
		if last {
			buf = append(buf, "data: [DONE]\n\n"...)
		}
		if _, err := w.Write(buf); err != nil || flusher.Flush() != nil {
			return
		}
		s.wrote(n)
		if last {
			return
		}
		if v.ended {
			panic(http.ErrAbortHandler) // a cancelled stream ends without [DONE]
		}
	}
}

// appendToken renders the n-th token, spoilt if a one-shot fault is armed.
func (e *Engine) appendToken(buf []byte, s *stream, v view, n int) []byte {
	finish := ""
	if v.finish != "" && n == len(v.ends)-1 {
		finish = v.finish
	}
	head := s.head
	switch e.shots.take(s.key.request) {
	case shotSkip:
		return buf
	case shotCross:
		head = chunkHead(e.otherRequest(s.key), s.key.attempt, s.ref)
	case shotRepeat:
		buf = appendChunk(buf, head, s.base+n, v.token(n), finish)
	}
	return appendChunk(buf, head, s.base+n, v.token(n), finish)
}

// otherRequest names another live request if there is one.
func (e *Engine) otherRequest(k key) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for other := range e.streams {
		if other.request != k.request {
			return other.request
		}
	}
	return k.request + "-other"
}
