package hosted

import (
	"net/http"
	"strconv"
	"strings"

	"wigeondale/fakes/endless"
)

// serveEndless sends the response to a request as one without end. The trailers without end follow a
// complete response.
func (r *Replica) serveEndless(w http.ResponseWriter, a *Arrival, answer endless.Answer) {
	text := CompleteResponse(a.ID)
	if r.Engine {
		from, _ := strconv.Atoi(a.Header.Get("Last-Event-Id"))
		last := r.Chunks
		if answer.Kind != endless.Trailers {
			last = max(from, r.Chunks/2)
		}
		var b strings.Builder
		for n := from + 1; n <= last; n++ {
			b.WriteString(r.chunk(a.ID, n))
		}
		text = b.String()
	} else if answer.Kind != endless.Trailers {
		text = text[:len(text)/2]
	}
	answer.Header, answer.Body = w.Header().Clone(), text
	answer.Respond(w, r.ended)
}

// unlessEndless answers without end while that fault is set, in place of h.
func (r *Replica) unlessEndless(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		answer := r.faults.Endless
		r.mu.Unlock()
		if answer.Kind == "" {
			h(w, req)
			return
		}
		answer.Header = w.Header().Clone()
		answer.Respond(w, r.ended)
	}
}
