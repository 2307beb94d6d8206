// Package dump collects the state of the parts of a process and shows it on request. A part
// that hangs must not hide the state of the other parts, and must itself appear in the
// dump, since it may be the part that the operator is looking for. Each section is
// therefore collected separately, with a time limit and its own recover. A part that fails
// or does not answer is shown with an error instead of its state.
package dump

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/singleflight"

	"wigeondale/listen"
)

// Error is the class of this package's errors.
var Error = errs.Class("dump")

// DefaultTimeout is the default time limit of a dump.
const DefaultTimeout = 2 * time.Second

// Registry holds the parts of one process whose state a dump shows. The zero value is ready
// for use.
type Registry struct {
	// Timeout is how long a dump waits for its sections; 0 means DefaultTimeout.
	Timeout time.Duration

	mu    sync.Mutex
	parts map[string]func() any
	// calls are the sections being collected. Concurrent dumps share a call: otherwise
	// each dump would leave another goroutine waiting for a part that hangs.
	calls singleflight.Group
}

// Add registers a part under a name, replacing an earlier one with that name. f returns
// a value for encoding/json, which must not contain secrets, prompts or answers.
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

// snapshot collects one part, or all parts if the name is empty.
func (r *Registry) snapshot(only string) map[string]json.RawMessage {
	bound := r.Timeout
	if bound <= 0 {
		bound = DefaultTimeout
	}
	r.mu.Lock()
	answers := make(map[string]<-chan singleflight.Result, len(r.parts))
	for name, f := range r.parts {
		if only == "" || name == only {
			answers[name] = r.calls.DoChan(name, func() (any, error) { return encodeSection(f), nil })
		}
	}
	r.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	out := make(map[string]json.RawMessage, len(answers))
	for name, answer := range answers {
		out[name] = awaitAnswer(ctx, answer)
	}
	return out
}

// awaitAnswer waits until a part has returned its state or ctx ends. A state that is
// already available is returned even if the time limit has passed.
func awaitAnswer(ctx context.Context, answer <-chan singleflight.Result) json.RawMessage {
	select {
	case res := <-answer:
		return res.Val.(json.RawMessage)
	case <-ctx.Done():
	}
	select {
	case res := <-answer:
		return res.Val.(json.RawMessage)
	default:
		return encodeError(Error.New("no answer in time"))
	}
}

func encodeSection(f func() any) (raw json.RawMessage) {
	defer func() {
		if p := recover(); p != nil {
			raw = encodeError(Error.New("%v", p))
		}
	}()
	raw, err := json.Marshal(f())
	if err != nil {
		return encodeError(Error.Wrap(err))
	}
	return raw
}

func encodeError(err error) json.RawMessage {
	raw, _ := json.Marshal(struct {
		Error string `json:"error"`
	}{fmt.Sprint(err)})
	return raw
}

// ServeHTTP writes all sections as one JSON object, or only one with ?section=NAME.
func (r *Registry) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	name := req.URL.Query().Get("section")
	all := r.snapshot(name)
	var body any = all
	if name != "" {
		selected, ok := all[name]
		if !ok {
			http.Error(w, "no such section", http.StatusNotFound)
			return
		}
		body = selected
	}
	w.Header().Set("Content-Type", "application/json")
	var text bytes.Buffer
	enc := json.NewEncoder(&text)
	enc.SetIndent("", "  ")
	_ = enc.Encode(body) // the sections are valid JSON
	listen.WriteHeld(w, req, text.Bytes())
}
