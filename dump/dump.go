// Package dump collects the state of a process's parts and shows it on request.
// A part that is stuck must not hide the others, least of all when it is the
// one that an operator looks for: each section is taken by itself, for a
// bounded time and under its own recover, and a part that fails or doesn't
// answer is named in place of its state.
package dump

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/singleflight"
)

// Error is the class of this package's errors.
var Error = errs.Class("dump")

// DefaultTimeout is how long a dump waits for its sections.
const DefaultTimeout = 2 * time.Second

// Registry holds the parts of one process. The zero value is ready for use.
type Registry struct {
	// Timeout is how long a dump waits for its sections; 0 is DefaultBound.
	Timeout time.Duration

	mu    sync.Mutex
	parts map[string]func() any
	// calls are the sections being taken. Dumps share a call: beside one that
	// doesn't return, each would otherwise leave one more goroutine behind.
	calls singleflight.Group
}

// Add registers a part under a name. f returns a value for encoding/json and
// must leave out secrets, prompts and answers. A later Add of the same name
// replaces the earlier one.
func (r *Registry) Add(name string, f func() any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.parts == nil {
		r.parts = map[string]func() any{}
	}
	r.parts[name] = f
}

// Snapshot returns the encoded state of each part.
func (r *Registry) Snapshot() map[string]json.RawMessage { return r.snapshot("") }

// snapshot takes one part, or all for an empty name.
func (r *Registry) snapshot(only string) map[string]json.RawMessage {
	bound := r.Timeout
	if bound <= 0 {
		bound = DefaultTimeout
	}
	r.mu.Lock()
	answers := make(map[string]<-chan singleflight.Result, len(r.parts))
	for name, f := range r.parts {
		if only == "" || name == only {
			answers[name] = r.calls.DoChan(name, func() (any, error) { return section(f), nil })
		}
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	out := make(map[string]json.RawMessage, len(answers))
	for name, answer := range answers {
		out[name] = await(ctx, answer)
	}
	return out
}

// await prefers an answer that is there to the bound that has passed.
func await(ctx context.Context, answer <-chan singleflight.Result) json.RawMessage {
	select {
	case res := <-answer:
		return res.Val.(json.RawMessage)
	case <-ctx.Done():
	}
	select {
	case res := <-answer:
		return res.Val.(json.RawMessage)
	default:
		return problem(Error.New("no answer in time"))
	}
}

func section(f func() any) (raw json.RawMessage) {
	defer func() {
		if p := recover(); p != nil {
			raw = problem(Error.New("%v", p))
		}
	}()
	raw, err := json.Marshal(f())
	if err != nil {
		return problem(Error.Wrap(err))
	}
	return raw
}

func problem(err error) json.RawMessage {
	raw, _ := json.Marshal(struct {
		Error string `json:"error"`
	}{fmt.Sprint(err)})
	return raw
}

// ServeHTTP writes all sections as one JSON object, or with ?section=NAME one.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	name := req.URL.Query().Get("section")
	all := r.snapshot(name)
	var body any = all
	if name != "" {
		one, ok := all[name]
		if !ok {
			http.Error(w, "no such section", http.StatusNotFound)
			return
		}
		body = one
	}
	w.Header().Set("Content-Type", "application/json")
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	_ = enc.Encode(body) // the reader has gone: nobody is left to tell
}
