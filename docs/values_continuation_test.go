package docs

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/platform"
)

// replicasInTurn are the parts of a runner whose attempts reach one replica after the other.
type replicasInTurn struct {
	replicas []fleet.Backend
	attempts int
}

func (r *replicasInTurn) Admit(context.Context, generation.Ticket) (func(), error) { return nil, nil }
func (r *replicasInTurn) Lookup(string) (fleet.Backend, bool)                      { return fleet.Backend{}, false }
func (r *replicasInTurn) KeepsCopy(string) bool                                    { return false }
func (r *replicasInTurn) Add(backend.AbandonedAttempt)                             {}
func (r *replicasInTurn) Take(string) bool                                         { return true }
func (r *replicasInTurn) Continue(string) bool                                     { return true }
func (r *replicasInTurn) Await(context.Context, string, bool, time.Duration) bool  { return false }
func (r *replicasInTurn) Result(string, error)                                     {}
func (r *replicasInTurn) Standby(generation.PickRequest, fleet.Backend) (fleet.Backend, generation.LoadShare, bool) {
	return fleet.Backend{}, nil, false
}

func (r *replicasInTurn) Pick(context.Context, generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	b := r.replicas[r.attempts]
	r.attempts++
	return b, nil, nil
}

func (r *replicasInTurn) Watch(string, health.Work, context.CancelCauseFunc) generation.Watch {
	return ignored{}
}

type ignored struct{}

func (ignored) Token(time.Time)            {}
func (ignored) SetBlocked(bool, time.Time) {}
func (ignored) SetCopied(bool)             {}
func (ignored) Close()                     {}

// received is what a client receives.
type received struct{ strings.Builder }

func (*received) Begin(generation.Position, *backend.Head) error { return nil }
func (*received) Flush() error                                   { return nil }
func (r *received) Token(_ int, text []byte, _ string) error {
	r.Write(text)
	return nil
}

const firstEvent, lastEvent = "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"

// eventsOf returns an answer of a replica with events, whose head has the given lines and a length.
func eventsOf(status, events string, lines ...string) string {
	return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: q\r\n" + strings.Join(append(lines, fmt.Sprintf("Content-Length: %d", len(events)), "", ""), "\r\n") + events
}

// continuationProbe asks for a stream of which the client has the first event, from this answer or an earlier one, and says whether it goes on
// with the given answer or at the next replica.
func continuationProbe(t *testing.T, answer string, takesUp bool) string {
	t.Helper()
	const seal, events = "X-Response-Seal: s", "Content-Type: text/event-stream"
	cut := strings.Replace(eventsOf("200 OK", firstEvent, seal, events), "Content-Length: ", "Content-Length: 9", 1)
	r := &replicasInTurn{replicas: []fleet.Backend{replicaAt(t, cut), replicaAt(t, answer), replicaAt(t, eventsOf("200 OK", lastEvent, seal, events))}}
	req := generation.Request{ID: "q", Deadline: time.Now().Add(probeTime), Opaque: &generation.Opaque{
		Opaque:  &backend.Opaque{Method: "POST", Target: "/p/x", Host: "h", Header: http.Header{"X-Attempt-Id": {"q"}}, Streaming: true, Resumable: true},
		Service: "llm", FirstChunk: 1, MaxAttempts: 3, MaxWait: probeTime,
	}}
	want, next := firstEvent+lastEvent, 2 // attempts with which it goes on at once
	if takesUp {
		r.replicas = r.replicas[1:]
		req.Opaque.FirstChunk, req.Opaque.HasPartialAnswer = 2, true
		want, next = lastEvent, 1
	}
	for i := range r.replicas {
		r.replicas[i].ID = fmt.Sprint("i", i)
	}
	runner, err := generation.New(generation.Deps{Admitter: r, Picker: r, Watcher: r, Engines: platform.NewReplicas(nil, nil, nil), Abandon: r, Budget: r}, generation.Options{})
	if err != nil {
		t.Fatal(err)
	}
	got := &received{}
	switch res := runner.Run(t.Context(), req, got); {
	case res.Outcome != fleet.Complete || got.String() != want:
		return fmt.Sprintf("%s with %q", res.Outcome, got.String())
	case r.attempts == next:
		return "goes on"
	}
	return "elsewhere"
}

func addContinuationProbes(add addProbe) {
	const seal, events = "X-Response-Seal: s", "Content-Type: text/event-stream"
	types := forms{{}, {"text event-stream"}, {"text/event-stream", "text/event-stream"}, {"application/json"}}
	fields := func(name string, values []string) (lines []string) {
		for _, v := range values {
			lines = append(lines, name+": "+v)
		}
		return lines
	}
	add("`Content-Type`, behind a part of a stream", types, func(t *testing.T, v []string) string {
		return continuationProbe(t, eventsOf("200 OK", lastEvent, append(fields("Content-Type", v), seal)...), false)
	})
	add("`Content-Type`, to a client that takes a stream up", types, func(t *testing.T, v []string) string {
		return continuationProbe(t, eventsOf("200 OK", lastEvent, append(fields("Content-Type", v), seal)...), true)
	})
	add("status, behind a part of a stream", forms{{"X"}, {"20x X"}, nil, {"404 X"}}, func(t *testing.T, v []string) string {
		return continuationProbe(t, eventsOf(v[0], lastEvent, seal, events), false)
	})
	add("receipt, behind a part of a stream", forms{{}, nil, {"s", "s"}, nil}, func(t *testing.T, v []string) string {
		return continuationProbe(t, eventsOf("200 OK", lastEvent, append(fields("X-Response-Seal", v), events)...), false)
	})
	next := forms{{""}, {"id: 2x\ndata: b\n\n"}, {"id: 2\nid: 2\ndata: b\n\n"}, {"id: 9\ndata: b\n\n"}}
	add("next event, behind a part of a stream", next, func(t *testing.T, v []string) string {
		return continuationProbe(t, eventsOf("200 OK", v[0], seal, events), false)
	})
	add("next event, to a client that takes a stream up", next, func(t *testing.T, v []string) string {
		return continuationProbe(t, eventsOf("200 OK", v[0], seal, events), true)
	})
}
