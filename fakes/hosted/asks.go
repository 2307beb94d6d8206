package hosted

import (
	"cmp"
	"net/http"
)

// Asks is what a replica asks of the routers in its answers.
type Asks struct {
	Limit string // requests a second that it takes from all routers, as the header states it; empty for none
	// Leaving makes it say that it leaves. It goes on to serve what arrives.
	Leaving bool
	// Brittle is the number of requests that it may refuse within a second for want of room, as the
	// header states it; empty if it is not brittle.
	Brittle string
	// Rest makes it refuse all requests with 503 and this Retry-After.
	Rest string
}

// SetAsks replaces what the replica asks of the routers.
func (r *Replica) SetAsks(a Asks) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asks = a
}

// SetRoom sets how many requests the replica takes at once; 0 means any number.
func (r *Replica) SetRoom(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Room = n
}

// room returns the number of slots that the replica states.
func (r *Replica) room() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return cmp.Or(r.Room, defaultRoom)
}

// Asks returns what the replica asks of the routers.
func (r *Replica) Asks() Asks {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.asks
}

// withAsks adds what the replica asks of the routers to all its answers.
func (r *Replica) withAsks(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.Asks().set(w.Header())
		next.ServeHTTP(w, req)
	})
}

// set states a in the headers of an answer.
func (a Asks) set(h http.Header) {
	h.Del("Server-Limit")
	h.Del("Server-Leaving")
	h.Del("Server-Brittle")
	if a.Brittle != "" {
		h.Set("Server-Brittle", a.Brittle)
	}
	if a.Limit != "" {
		h.Set("Server-Limit", a.Limit)
	}
	if a.Leaving {
		h.Set("Server-Leaving", "1")
	}
}
