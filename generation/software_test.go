package generation

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"wigeondale/fleet"
)

// versions implements StreamVersions with the versions of backend servers by id; others run "v1".
type versions struct {
	at    map[string]Binding
	found Binding
	err   error // of Find
	began []string
	// unanswered is how many queries of a backend server, by id, get no answer at first.
	mu         sync.Mutex
	unanswered map[string]int
}

func (v *versions) Find(context.Context, *Request) (Binding, error) { return v.found, v.err }

func (v *versions) Confirm(_ context.Context, b fleet.Backend) (Binding, error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.unanswered[b.ID] > 0 {
		v.unanswered[b.ID]--
		return Binding{Unknown: true, Unanswered: true}, nil
	}
	if got, ok := v.at[b.ID]; ok {
		return got, nil
	}
	return Binding{Version: "v1"}, nil
}

func (v *versions) Began(_ *Request, b fleet.Backend, version string) {
	v.began = append(v.began, b.ID+" "+version)
}

func resumable(r *Request) { r.Opaque.Resumable = true }

// Guards against chunks of an attempt whose backend server has started again with other software since it was listed.
func TestAttemptAtAnotherSoftwareVersionDeliversNothing(t *testing.T) {
	v := &versions{at: map[string]Binding{"s0-0": {Version: "v2"}}}
	w := &fakeFleet{chunks: 9, budget: 9, versions: v, scripts: []script{{lastChunk: 4, err: errBroken}}}
	res, out := w.run(t, resumable)
	if res.Outcome != fleet.Complete || out.text != chunkText(9) {
		t.Fatalf("got %s, %q", res.Outcome, out.text)
	}
	if len(w.backends) != 3 || w.backends[1] != "s0-0" {
		t.Errorf("the attempts ran at %v", w.backends)
	}
	if fmt.Sprint(v.began) != fmt.Sprint([]string{w.backends[0] + " v1", w.backends[2] + " v1"}) {
		t.Errorf("began: %v", v.began)
	}
	for i, a := range w.pickRequests {
		if bound := i > 0; !a.Stream || (a.Binding != nil) != bound || bound && a.Binding.Version != "v1" {
			t.Errorf("attempt %d is picked for %+v", i, a.Binding)
		}
	}
}

// Guards against an answer that goes on elsewhere although it isn't known what software began it.
func TestStreamOfUnknownVersionEndsWithItsAttempt(t *testing.T) {
	v := &versions{at: map[string]Binding{"b1": {Unknown: true}}}
	w := &fakeFleet{chunks: 9, budget: 9, versions: v, scripts: []script{{lastChunk: 4, err: errBroken}}}
	res, out := w.run(t, resumable)
	if res.Outcome != fleet.Failed || out.text != chunkText(4) || len(w.opened) != 1 || fmt.Sprint(v.began) != "[b1 ]" {
		t.Errorf("got %s, %q after %d attempts, began %q", res.Outcome, out.text, len(w.opened), v.began)
	}
}

// Guards against a stream that is sent to a backend server before its version is known, and against a refusal of it that
// is untrue or gives no time to come back.
func TestUnknownVersionIsRefusedAtOnce(t *testing.T) {
	v := &versions{err: &Unavailable{Code: CodeVersionUnknown, RetryAfter: 500 * time.Millisecond, Err: errors.New("no record")}}
	w := &fakeFleet{chunks: 9, budget: 9, versions: v}
	res, _ := w.run(t, func(r *Request) {
		r.Opaque.Resumable, r.Opaque.HasPartialAnswer, r.Opaque.FirstChunk = true, true, 5
	})
	if res.Outcome != fleet.NotRun || res.Code != CodeVersionUnknown || res.RetryAfter != 500*time.Millisecond || len(w.opened) != 0 {
		t.Errorf("got %+v after %d attempts", res, len(w.opened))
	}
}

// Guards against a take-up that is placed at any version, and against one that names itself as the attempt that began the stream.
func TestStreamThatIsTakenUpIsBound(t *testing.T) {
	v := &versions{found: Binding{Version: "v1"}}
	w := &fakeFleet{chunks: 9, budget: 9, versions: v}
	req := Request{}
	res, _ := w.run(t, func(r *Request) {
		r.Opaque.Resumable, r.Opaque.HasPartialAnswer, r.Opaque.FirstChunk, r.Opaque.BeganAs = true, true, 5, "first"
		req = *r
	})
	if res.Outcome != fleet.Complete || w.pickRequests[0].Binding == nil || w.pickRequests[0].Binding.Version != "v1" {
		t.Errorf("got %s, picked for %+v", res.Outcome, w.pickRequests[0].Binding)
	}
	if req.BeganAs() != "first" {
		t.Errorf("the stream began as %q", req.BeganAs())
	}
}

// Guards against a second software version of a service that has begun no answer yet being forbidden to a new attempt.
func TestUnstartedAnswerMayGoToAnyVersion(t *testing.T) {
	v := &versions{at: map[string]Binding{"b2": {Version: "v2"}}}
	w := &fakeFleet{chunks: 9, budget: 9, versions: v, scripts: []script{{openErr: errBroken}}}
	res, out := w.run(t, resumable)
	if res.Outcome != fleet.Complete || out.text != chunkText(9) || fmt.Sprint(v.began) != "[b2 v2]" {
		t.Errorf("got %s, %q, began %v", res.Outcome, out.text, v.began)
	}
}

// Guards against a record of the version of a run whose first chunk never reached the client: the router that passed the
// request on goes on at another version then.
func TestOnlyTheRouterOfTheClientRecordsTheVersion(t *testing.T) {
	v := &versions{}
	w := &fakeFleet{chunks: 9, budget: 9, versions: v}
	res, _ := w.run(t, func(r *Request) { resumable(r); r.Forwarded = true })
	if res.Outcome != fleet.Complete || len(v.began) != 0 {
		t.Errorf("the second router: %s, began %v", res.Outcome, v.began)
	}
}

// Guards against an answer that is given up since its server sends its first chunk and is then silent when asked for its version.
func TestSilenceAboutTheVersionEndsNoAnswer(t *testing.T) {
	for _, c := range []struct {
		name       string
		unanswered int
		pickErr    error
		budget     int
		want       string // backend server that completes the answer
	}{
		{name: "without retry budget", unanswered: 20, want: "b1"},
		{name: "without another server", unanswered: 20, budget: 9, pickErr: errNoneLeft, want: "b1"},
		{name: "another server goes on", unanswered: 1000, budget: 9, want: "b2"},
	} {
		t.Run(c.name, func(t *testing.T) {
			v := &versions{found: Binding{Version: "v1"}, unanswered: map[string]int{"b1": c.unanswered}}
			w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: c.budget, versions: v}, pickErr: c.pickErr, servers: []silentServer{{silentAt: 6, silence: 2 * time.Second}}}
			res, out := w.play(t, func(r *Request) {
				r.Opaque.Resumable, r.Opaque.HasPartialAnswer, r.Opaque.FirstChunk, r.Opaque.BeganAs = true, true, 5, "first"
			})
			if last := w.backends[len(w.backends)-1]; res.Outcome != fleet.Complete || chunkText(4)+out.text != chunkText(9) || last != c.want {
				t.Errorf("got %s (%s, %v), %q, the last of %d attempts at %s", res.Outcome, res.Code, res.Err, out.text, len(w.opened), last)
			}
			if w.failureReported.Load() {
				t.Error("a sound server counts as failed")
			}
			if w.overlap() > 0 {
				t.Errorf("the silent attempt was at work for another %v", w.overlap())
			}
		})
	}
}
