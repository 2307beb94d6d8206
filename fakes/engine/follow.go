package engine

import (
	"net/http"
	"time"
)

const typicalChunkBytes = 256 // about one rendered chunk

// serveStream writes the stream to one reader, starting with the stream's n-th token. All
// tokens that are ready are written with a single flush.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, s *stream, rd *reader, incarnation string, n int) {
	defer func() { s.detach(rd, time.Now()) }()
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.Header().Set("X-Engine-Incarnation", incarnation)
	if e.cfg.Software != "" {
		w.Header().Set("X-Engine-Software", e.cfg.Software)
	}
	flusher := http.NewResponseController(w)
	if flusher.Flush() != nil {
		return
	}
	buf := make([]byte, 0, 4*typicalChunkBytes)
	for {
		select {
		case <-rd.wake:
		case <-rd.replaced:
			panic(http.ErrAbortHandler) // another reader has taken over: closes this reader's connection
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
		s.recordDelivered(n)
		if last {
			return
		}
		if v.ended {
			panic(http.ErrAbortHandler) // a cancelled stream's connection closes without [DONE]
		}
	}
}

// appendToken renders the n-th token, and applies a one-shot fault if one is armed.
func (e *Engine) appendToken(buf []byte, s *stream, v view, n int) []byte {
	finish := ""
	if v.finish != "" && n == len(v.ends)-1 {
		finish = v.finish
	}
	head := s.head
	switch e.chunkFaults.take(s.key.request) {
	case faultSkip:
		return buf
	case faultCross:
		head = renderChunkHead(e.otherRequest(s.key), s.key.attempt, s.ref)
	case faultRepeat:
		buf = appendChunk(buf, head, s.firstToken+n, v.token(n), finish)
	}
	return appendChunk(buf, head, s.firstToken+n, v.token(n), finish)
}

// otherRequest returns the id of another current request, or an invented one if there is none.
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
