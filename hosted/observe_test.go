package hosted

import (
	"context"
	"net/http"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// answeringEngines answer each request with status.
type answeringEngines struct {
	generation.Engines
	status int
}

func (e answeringEngines) Open(context.Context, fleet.Backend, backend.StartRequest) (generation.Stream, error) {
	if e.status >= http.StatusInternalServerError {
		return nil, &backend.FailedAnswer{Head: backend.Head{Status: e.status}}
	}
	return headOnly{head: &backend.Head{Status: e.status}}, nil
}

type headOnly struct {
	generation.Stream
	head *backend.Head
}

func (h headOnly) Head() *backend.Head { return h.head }
func (h headOnly) Close() error        { return nil }

// Guards against a version that counts as sound although its replicas answer requests that continue a stream with errors.
func TestErrorsInsteadOfTheRestOfAStreamCountForAVersion(t *testing.T) {
	f := newFleet(t)
	f.startSoftware("v1", 2, 3)
	f.startApp("a", "d0")
	n := f.startServingNode()
	f.store.OrderRollout("llm", "v2", time.Minute)
	b := fleet.Backend{ID: f.startSoftware("v2", 2, 3)[0].ID, Service: "llm", Version: "v2"}
	await(t, "the trial", func() bool {
		ro := n.rollouts.of("llm")
		return ro != nil && ro.Stage().Open()
	})
	for _, c := range []struct {
		status, next int
		first        bool
		want         uint64 // answers that are rated before their first chunk
	}{
		{404, 4, true, 1}, {404, 4, false, 1}, {204, 4, false, 1}, {500, 4, true, 1}, {500, 4, false, 1},
		{200, 4, true, 0}, {200, 4, false, 0}, {404, 1, true, 0}, {404, 1, false, 0}, {500, 1, false, 0},
	} {
		before := n.rollouts.rated.Get()
		r := backend.StartRequest{Opaque: &backend.Opaque{Streaming: true, Route: "draft"}, ResumeTokens: c.next, FirstAttempt: c.first}
		s, err := observedEngines{answeringEngines{status: c.status}, n.rollouts}.Open(t.Context(), b, r)
		if err == nil {
			s.Close()
		}
		if got := n.rollouts.rated.Get() - before; got != c.want {
			t.Errorf("status %d from chunk %d, first attempt: %v: rated %d times, want %d", c.status, c.next, c.first, got, c.want)
		}
	}
}
