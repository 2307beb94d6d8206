// Package dump collects the state of a process's parts and shows it on request.
// A part that is stuck must not hide the others: each section is taken under
// its own recover, and a part that fails is named in place of its state.
package dump

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
)

// Registry holds the parts of one process. The zero value is ready for use.
type Registry struct {
	mu    sync.Mutex
	parts map[string]func() any
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
func (r *Registry) Snapshot() map[string]json.RawMessage {
	r.mu.Lock()
	parts := make(map[string]func() any, len(r.parts))
	for name, f := range r.parts {
		parts[name] = f
	}
	r.mu.Unlock()
	out := make(map[string]json.RawMessage, len(parts))
	for name, f := range parts {
		out[name] = section(f)
	}
	return out
}

func section(f func() any) (raw json.RawMessage) {
	defer func() {
		if p := recover(); p != nil {
			raw = problem(fmt.Sprint(p))
		}
	}()
	raw, err := json.Marshal(f())
	if err != nil {
		return problem(err.Error())
	}
	return raw
}

func problem(text string) json.RawMessage {
	raw, _ := json.Marshal(struct {
		Error string `json:"error"`
	}{text})
	return raw
}

// ServeHTTP writes all sections as one JSON object, or with ?section=NAME one.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	all := r.Snapshot()
	var body any = all
	if name := req.URL.Query().Get("section"); name != "" {
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
