package backend

import (
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/event"
)

// maxUnknownNames bounds how many names of unknown headers are counted by name. Headers with
// further names are counted under the name "other".
const maxUnknownNames = 32

// maxNameBytes limits the length of a counted name.
const maxNameBytes = 64

// otherName stands for the names beyond maxUnknownNames, and for names that are too long.
const otherName = "other"

// UnknownHeaders counts the headers of answers that this program does not know, by name. A
// backend server that states something in such a header is ignored, which is otherwise not
// noticed. UnknownHeaders is safe for concurrent use; nil counts nothing.
type UnknownHeaders struct {
	known []string // canonical names
	log   *event.Log
	set   *metrics.Set

	mu     sync.Mutex
	counts map[string]uint64
	logged map[[2]string]bool // by name and service
}

// NewUnknownHeaders returns a counter of the headers whose names are not in known.
func NewUnknownHeaders(known []string, log *event.Log, set *metrics.Set) *UnknownHeaders {
	u := &UnknownHeaders{log: log, set: set, counts: map[string]uint64{}, logged: map[[2]string]bool{}}
	for _, name := range known {
		u.known = append(u.known, http.CanonicalHeaderKey(name))
	}
	return u
}

// Observe counts the unknown headers of an answer of the given service.
func (u *UnknownHeaders) Observe(service string, h http.Header) {
	if u == nil {
		return
	}
	for name := range h {
		if (strings.HasPrefix(name, "X-") || strings.HasPrefix(name, "Server-")) && !slices.Contains(u.known, name) {
			u.count(service, name)
		}
	}
}

func (u *UnknownHeaders) count(service, name string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if _, counted := u.counts[name]; !counted && (len(u.counts) >= maxUnknownNames || len(name) > maxNameBytes) {
		name = otherName
	}
	u.counts[name]++
	u.set.GetOrCreateCounter(`wigeon_unknown_answer_headers_total{name="` + name + `"}`).Inc()
	key := [2]string{name, service}
	if !u.logged[key] && len(u.logged) < maxUnknownNames*maxUnknownNames {
		u.logged[key] = true
		u.log.Emit(event.AnswerHeaderUnknown, "name", name, "service", service)
	}
}

// State returns the counts by name, for the state dump.
func (u *UnknownHeaders) State() map[string]uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[string]uint64, len(u.counts))
	for name, n := range u.counts {
		out[name] = n
	}
	return out
}
