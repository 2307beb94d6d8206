package generation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"wigeondale/backend"
	"wigeondale/clock"
	"wigeondale/fleet"
	"wigeondale/health"
)

// script is what one attempt does: it delivers the pieces up to ends and then
// fails with err, or completes when err is nil.
type script struct {
	openErr error
	silent  time.Duration // before the answer begins
	again   int           // pieces before the one asked for that it sends once more
	ends    int           // last piece delivered; 0 means all
	err     error
}

// world is a fleet in memory for opaque requests. Attempt n follows scripts[n].
type world struct {
	scripts   []script
	pieces    int
	budget    int // retries left
	overdraft int // answers that may go on beyond it
	opened    []backend.StartRequest
	at        []string
	watched   []bool          // by attempt
	watching  bool            // the next attempt is under the failure detector
	lost      map[string]bool // backend servers that keep no copies any more
	copies    int
	excluded  []map[string]bool
	asks      []PickRequest
	results   []error     // that the failure detector was told
	running   func() bool // answer to a question about a run
	full      bool        // nobody takes the request; it is to ask again soon
}

func (w *world) Runs(context.Context, fleet.Backend) (RunReport, error) {
	if w.running() {
		return RunReport{Active: 1}, nil
	}
	return RunReport{}, nil
}

func (w *world) Admit(context.Context, Ticket) (func(), error) { return nil, nil }
func (w *world) Lookup(string) (fleet.Backend, bool)           { return fleet.Backend{}, false }
func (w *world) KeepsCopy(id string) bool                      { return !w.lost[id] }
func (w *world) Add(backend.AbandonedAttempt)                  {}

func (w *world) Take(string) bool {
	w.budget--
	return w.budget >= 0
}

func (w *world) Continue(string) bool {
	w.overdraft--
	return w.overdraft >= 0 || w.Take("")
}

func (w *world) Pick(_ context.Context, a PickRequest) (fleet.Backend, LoadShare, error) {
	w.excluded = append(w.excluded, a.Exclude)
	w.asks = append(w.asks, a)
	if w.full {
		return fleet.Backend{}, nil, &Unavailable{Retryable: true, RetryAfter: 20 * time.Millisecond}
	}
	id := a.Prefer
	if id == "" || a.Exclude[id] {
		id = fmt.Sprintf("b%d", len(w.opened)+1)
	}
	return fleet.Backend{ID: id, Addr: id, FailureDomain: "d" + id}, &fakeShare{}, nil
}

func (w *world) Standby(_ PickRequest, b fleet.Backend) (fleet.Backend, LoadShare, bool) {
	id := fmt.Sprintf("s%d-%d", len(w.opened), w.copies)
	return fleet.Backend{ID: id, Addr: id, FailureDomain: "other"}, &fakeShare{}, true
}

func (w *world) Copy(context.Context, fleet.Backend, string, fleet.Backend) (string, error) {
	w.copies++
	return fmt.Sprintf("copy%d", w.copies), nil
}

func (w *world) Drop(context.Context, fleet.Backend, string) error { return nil }

func (w *world) Attach(context.Context, fleet.Backend, backend.StreamID, int) (Stream, error) {
	return nil, errors.New("no attempt can be read again")
}

func (w *world) Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (Stream, error) {
	s := script{}
	if n := len(w.opened); n < len(w.scripts) {
		s = w.scripts[n]
	}
	w.opened = append(w.opened, r)
	w.at = append(w.at, b.ID)
	w.watched = append(w.watched, w.watching)
	w.watching = false
	if s.silent > 0 {
		select {
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		case <-time.After(s.silent):
		}
	}
	if s.openErr != nil {
		return nil, s.openErr
	}
	return &pieces{next: max(r.ResumeTokens-s.again, 1), last: w.pieces, script: s}, nil
}

// pieces is the stream of one attempt.
type pieces struct {
	next, last int
	script     script
}

func (p *pieces) Next() (backend.Token, error) {
	if p.script.ends > 0 && p.next > p.script.ends {
		return backend.Token{}, p.script.err
	}
	if p.next > p.last {
		return backend.Token{}, io.EOF
	}
	p.next++
	return backend.Token{Index: p.next - 1, Text: fmt.Appendf(nil, "%d ", p.next-1)}, nil
}

func (p *pieces) Buffered() bool      { return false }
func (p *pieces) Incarnation() string { return "" }
func (p *pieces) Head() *backend.Head { return &backend.Head{Status: 200} }
func (p *pieces) Close() error        { return nil }

// answer collects what the caller got.
type answer struct {
	status int
	text   string
	slow   time.Duration // taken by each piece
}

func (a *answer) Begin(_ Position, h *backend.Head) error {
	if a.text == "" {
		a.status = h.Status
	}
	return nil
}

func (a *answer) Token(_ int, text []byte, _ string) error {
	a.text += string(text)
	time.Sleep(a.slow)
	return nil
}

func (a *answer) Flush() error { return nil }

func (w *world) run(t testing.TB, change func(*Request)) (Result, *answer) {
	out := &answer{}
	return w.runTo(t, out, change), out
}

func (w *world) runTo(t testing.TB, out *answer, change func(*Request)) Result {
	d := Deps{Admitter: w, Picker: w, Watcher: worldWatcher{w}, Engines: w, Abandon: w, Budget: w, Copier: w, RunQuerier: w}
	r, err := New(d, Options{StartedMaxWait: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	req := Request{ID: "q", Opaque: &Opaque{
		Opaque: &backend.Opaque{Streaming: true}, Service: "svc", FirstChunk: 1, MaxAttempts: 5,
		MaxWait: time.Second, Copies: Copying{KeptUpToDate: true, OnDemand: true},
	}}
	if change != nil {
		change(&req)
	}
	res := r.Run(context.Background(), req, out)
	r.Wait()
	return res
}

// worldWatcher notes which attempts are under the failure detector: it is asked
// before the attempt is opened.
type worldWatcher struct{ w *world }

func (v worldWatcher) Result(_ string, err error) { v.w.results = append(v.w.results, err) }

func (v worldWatcher) Watch(string, health.Work, context.CancelCauseFunc) Watch {
	v.w.watching = true
	return unwatched{}
}

func text(n int) string {
	s := ""
	for i := 1; i <= n; i++ {
		s += fmt.Sprintf("%d ", i)
	}
	return s
}

var broken = backend.ErrBroken

// Symptom: after a loss an answer lacks pieces, has some twice, or mixes two runs.
// Sequence: attempts end anywhere, before or after their first piece, any number
// of times. Whatever the client has is a beginning of the one true answer.
func TestOpaqueAnswerIsABeginningOfTheTrueOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &world{pieces: rapid.IntRange(1, 12).Draw(rt, "pieces"), budget: rapid.IntRange(0, 6).Draw(rt, "budget")}
		for range rapid.IntRange(0, 5).Draw(rt, "losses") {
			s := script{ends: rapid.IntRange(1, 12).Draw(rt, "ends"), again: rapid.IntRange(0, 3).Draw(rt, "again"), err: broken}
			if rapid.Bool().Draw(rt, "refused") {
				s.openErr = &backend.Refused{Status: 503, Code: "overloaded"}
			}
			w.scripts = append(w.scripts, s)
		}
		var res Result
		var out *answer
		synctestRun(t, func() { res, out = w.run(t, nil) })
		whole := text(w.pieces)
		if len(out.text) > len(whole) || out.text != whole[:len(out.text)] {
			rt.Fatalf("got %q", out.text)
		}
		if res.Outcome == fleet.Complete && out.text != whole {
			rt.Fatalf("complete with %q", out.text)
		}
		begun := w.scripts[:min(len(w.scripts), len(w.opened))]
		if res.Outcome == fleet.NotRun && slices.ContainsFunc(begun, func(s script) bool { return s.openErr == nil }) {
			rt.Fatal("said not to have run, though an attempt had begun")
		}
	})
}

func synctestRun(t *testing.T, f func()) {
	synctest.Test(t, func(*testing.T) { f() })
}

// Symptom: an answer pauses for a second after each crash, and its prompt is paid
// for twice. Cause: it is begun anew although a copy of the run lies elsewhere.
func TestLostRunGoesOnAtItsCopy(t *testing.T) {
	w := &world{pieces: 9, budget: 9, scripts: []script{{ends: 4, err: broken}}}
	_, out := w.run(t, nil)
	if out.text != text(9) || len(w.opened) != 2 {
		t.Fatalf("got %q in %d attempts", out.text, len(w.opened))
	}
	if w.at[1] != "s0-0" || !w.opened[1].Copies.FromCopy || w.opened[1].ResumeTokens != 5 {
		t.Errorf("went on at %s with %+v from %d", w.at[1], w.opened[1].Copies, w.opened[1].ResumeTokens)
	}
	if w.opened[1].Copies.Standby.Addr == "" {
		t.Error("the resumed run has no copy")
	}
}

// Symptom: the answer is lost when the copy is gone too. Sequence: the run is
// lost; the copy's backend server says that it has none.
func TestMissingCopyIsNoEnd(t *testing.T) {
	refused := &backend.Refused{Status: 503, Code: "overloaded"}
	w := &world{pieces: 9, budget: 9, scripts: []script{{ends: 4, err: broken}, {openErr: refused}}}
	res, out := w.run(t, nil)
	if res.Outcome != fleet.Complete || out.text != text(9) || w.opened[2].Copies.FromCopy {
		t.Errorf("got %s, %q", res.Outcome, out.text)
	}
}

// Symptom: replicas that work are suspected, and with them their failure domain. Sequence:
// a run is ended so that it goes on elsewhere. Cause: its end is taken for a loss.
func TestMovedRunIsNoFault(t *testing.T) {
	w := &world{pieces: 9, budget: 9, scripts: []script{{ends: 4, err: fmt.Errorf("a layer above: %w", ErrMoved)}}}
	res, out := w.run(t, nil)
	if res.Outcome != fleet.Complete || out.text != text(9) || w.opened[1].ResumeTokens != 5 {
		t.Fatalf("got %s, %q", res.Outcome, out.text)
	}
	for _, err := range w.results {
		if err != nil {
			t.Errorf("the failure detector was told of %v", err)
		}
	}
	if a := w.asks[1]; a.LostDomain != "" || !a.IsRetry || w.asks[0].IsRetry {
		t.Errorf("the second attempt avoids domain %q, again %v", a.LostDomain, a.IsRetry)
	}
	if !w.opened[0].FirstAttempt || w.opened[1].FirstAttempt {
		t.Error("the first attempt alone is the first")
	}
}

// Symptom: every second crash costs a run its answer's pace. Sequence: the failure
// domain of the copy crashes, then that of the run. Cause: nobody makes another
// copy.
func TestLostCopyIsReplaced(t *testing.T) {
	synctestRun(t, func() {
		w := &world{pieces: 20, budget: 9, lost: map[string]bool{"s0-0": true}, scripts: []script{{ends: 10, err: broken}}}
		out := &answer{slow: 100 * time.Millisecond}
		w.runTo(t, out, nil)
		if out.text != text(20) {
			t.Fatalf("got %q", out.text)
		}
		if c := w.opened[1].Copies; !c.FromCopy || c.Name != "copy1" || c.Source.ID != "b1" {
			t.Errorf("went on with %+v", c)
		}
	})
}

// Symptom: where backend servers keep no copies by themselves each crash costs a run its
// pace, and its prompt is read anew. Cause: no copy was asked for. Where they make none
// when asked, nobody is to ask.
func TestCopiesThatAreMadeOnDemandOnly(t *testing.T) {
	for name, c := range map[string]struct {
		copying Copying
		held    string // copy from which the run goes on
		made    int
	}{
		"on demand only":   {Copying{OnDemand: true}, "copy1", 1},
		"kept up to date":  {Copying{KeptUpToDate: true}, "", 0},
		"neither of these": {Copying{}, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctestRun(t, func() {
				w := &world{pieces: 20, budget: 9, scripts: []script{{ends: 10, err: broken}}}
				out := &answer{slow: 100 * time.Millisecond}
				w.runTo(t, out, func(r *Request) { r.Opaque.Copies = c.copying })
				first, second := w.opened[0].Copies, w.opened[1].Copies
				if out.text != text(20) || (first.Standby.Addr != "") != c.copying.KeptUpToDate {
					t.Fatalf("got %q; the first attempt has the standby %q", out.text, first.Standby.Addr)
				}
				if second.FromCopy != (c.copying != Copying{}) || second.Name != c.held || (w.copies > 0) != (c.made > 0) {
					t.Errorf("went on with %+v, %d copies were made", second, w.copies)
				}
			})
		})
	}
}

// Symptom: a booking is made twice. Cause: a request that may run once is sent
// again after its answer was lost.
func TestOnceIsNeverSentTwice(t *testing.T) {
	for _, first := range []script{{openErr: broken}, {openErr: backend.ErrMismatch}, {ends: 1, err: broken}} {
		w := &world{pieces: 3, budget: 9, scripts: []script{first}}
		res, _ := w.run(t, func(r *Request) { r.NonIdempotent = true; r.Opaque.MaxAttempts = 3 })
		if len(w.opened) != 1 || res.Outcome != fleet.Unknown {
			t.Errorf("%v: %d attempts, %s", first, len(w.opened), res.Outcome)
		}
	}
	w := &world{pieces: 1, budget: 9, scripts: []script{{openErr: &backend.Refused{Status: 503}}, {openErr: backend.ErrNotSent}}}
	res, _ := w.run(t, func(r *Request) { r.NonIdempotent = true; r.Opaque.MaxAttempts = 3 })
	if len(w.opened) != 3 || res.Outcome != fleet.Complete {
		t.Errorf("after refusals: %d attempts, %s", len(w.opened), res.Outcome)
	}
}

// Symptom: a failure that a replica answered is replaced by one of ours, or an
// idempotent lookup fails although another replica would have answered.
func TestOwnFailureOfTheBackend(t *testing.T) {
	failed := &backend.FailedAnswer{Head: backend.Head{Status: 500}, Body: []byte("its words")}
	w := &world{pieces: 1, budget: 9, scripts: []script{{openErr: failed}}}
	if _, out := w.run(t, nil); out.status != 200 || out.text != "1 " {
		t.Errorf("second try: got %d %q", out.status, out.text)
	}
	w = &world{pieces: 1, budget: 9, scripts: []script{{openErr: failed}, {openErr: failed}}}
	res, out := w.run(t, func(r *Request) { r.Opaque.MaxAttempts = 2 })
	if res.Outcome != fleet.Complete || out.status != 500 || out.text != "its words" || len(w.opened) != 2 {
		t.Errorf("got %s, %d %q in %d attempts", res.Outcome, out.status, out.text, len(w.opened))
	}
	w = &world{pieces: 1, budget: 0, scripts: []script{{openErr: failed}}}
	if _, out := w.run(t, nil); out.status != 500 || len(w.opened) != 1 {
		t.Errorf("without budget: got %d in %d attempts", out.status, len(w.opened))
	}
}

// Symptom: a service that lost half of its replicas gets several times as many
// arrivals as requests. Sequence: each attempt is refused, or lost. Cause: answers
// that have begun draw on no budget.
func TestNoArrivalBeyondTheBudget(t *testing.T) {
	synctestRun(t, func() {
		refused := &backend.Refused{Status: 421}
		scripts := []script{{ends: 2, err: broken}}
		for range 50 {
			scripts = append(scripts, script{openErr: refused})
		}
		w := &world{pieces: 9, budget: 4, scripts: scripts}
		res, _ := w.run(t, nil)
		if len(w.opened) != 1+4 || res.Outcome != fleet.Failed {
			t.Errorf("%d attempts, %s", len(w.opened), res.Outcome)
		}
	})
}

// Symptom: an answer that would have come is lost to a silence. Cause: the last
// attempt is given up although nobody else may try.
func TestLastAttemptIsNotGivenUpForSilence(t *testing.T) {
	w := &world{pieces: 1, budget: 9, scripts: []script{{openErr: broken}}}
	w.run(t, func(r *Request) { r.Opaque.MaxAttempts = 2 })
	if !slices.Equal(w.watched, []bool{true, false}) {
		t.Errorf("under the failure detector: %v", w.watched)
	}
}

// Symptom: a draft waits 10 s for a run that ended after one. Sequence: the replica
// runs the request and its answer is lost; its other streams go on. Cause: silence
// alone can't tell that from a queue, and nobody asks.
func TestRunThatTheReplicaDoesNotHaveIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		running  bool
		attempts int
	}{{true, 1}, {false, 2}} {
		synctestRun(t, func() {
			w := &world{pieces: 3, budget: 9, running: func() bool { return c.running }, scripts: []script{{silent: 6 * time.Second}}}
			res, out := w.run(t, nil)
			if res.Outcome != fleet.Complete || out.text != text(3) || len(w.opened) != c.attempts {
				t.Errorf("running %v: %s with %q in %d attempts", c.running, res.Outcome, out.text, len(w.opened))
			}
		})
	}
}

// Symptom: drafts are cut at a crash though the service has budget left. Sequence:
// many nodes share the budget, and one node's part is spent. Cause: going on with
// a started answer draws on no more than a lookup's second try.
func TestStartedAnswerMayOverdraw(t *testing.T) {
	synctestRun(t, func() {
		w := &world{pieces: 9, overdraft: 1, scripts: []script{{ends: 2, err: broken}}}
		if res, out := w.run(t, nil); res.Outcome != fleet.Complete || out.text != text(9) {
			t.Errorf("got %s, %q", res.Outcome, out.text)
		}
		w = &world{pieces: 9, overdraft: 9, scripts: []script{{openErr: broken}}}
		if res, _ := w.run(t, nil); res.Outcome != fleet.Failed || len(w.opened) != 1 {
			t.Errorf("not begun: got %s in %d attempts", res.Outcome, len(w.opened))
		}
	})
}

// Symptom: requests end early on VMs whose time of day is set ahead. Cause: a
// deadline on the wall clock, which a suspension calls for; the boot clock counts
// that as well and is never set.
func TestOpaqueDeadlineIsOnTheBootClock(t *testing.T) {
	early := func(r *Request) {
		r.Deadline = time.Now().Add(time.Hour)
		r.Opaque.Deadline = clock.DeadlineIn(-time.Second)
	}
	w := &world{pieces: 1, budget: 9}
	if res, _ := w.run(t, early); res.Outcome != fleet.NotRun || len(w.opened) != 0 {
		t.Errorf("after its time on the boot clock: got %s in %d attempts", res.Outcome, len(w.opened))
	}
	w = &world{pieces: 1, budget: 9}
	if res, _ := w.run(t, func(r *Request) { r.Opaque.Deadline = clock.DeadlineIn(time.Hour) }); res.Outcome != fleet.Complete {
		t.Errorf("before it: got %s", res.Outcome)
	}
}

// Symptom: refused clients come back at once, to be refused again. Sequence: a request
// waits in vain for a backend server, which it looks for every 20 ms. Cause: the client is
// told to come back when the router itself would have looked again.
func TestAdviceIsNotTheRoutersOwnWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{full: true}
		res, _ := w.run(t, func(*Request) {})
		if res.Outcome != fleet.NotRun || res.RetryAfter < defaultRetryAfter {
			t.Errorf("got %s, told to come back after %v", res.Outcome, res.RetryAfter)
		}
	})
}
