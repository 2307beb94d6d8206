package fault

import (
	"net/http"
	"sync"
)

// Asks is what a fake asks of the routers in its answers to new work.
type Asks struct {
	mu      sync.Mutex
	limit   string
	rest    string
	leaving bool
}

// Set applies the switch ask {limit,rest,leaving}. A field that is not given is asked no more.
func (a *Asks) Set(args Args) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limit, a.rest, a.leaving = args.Limit, args.Rest, args.Leaving
}

// State writes what is asked to the head of an answer. It returns true if the request must be
// refused; Retry-After is then set.
func (a *Asks) State(h http.Header) (refuse bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit != "" {
		h.Set("Wigeon-Limit", a.limit)
	}
	if a.leaving {
		h.Set("Wigeon-Leaving", "1")
	}
	if a.rest != "" {
		h.Set("Retry-After", a.rest)
	}
	return a.rest != ""
}
