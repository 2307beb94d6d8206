package generation

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/backend"
	"wigeondale/clock"
	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/health"
)

// script states what one attempt does: it delivers the chunks up to lastChunk and then fails
// with err, or completes if lastChunk is 0.
type script struct {
	openErr   error
	silent    time.Duration // before the answer starts
	resent    int           // chunks before the requested one that it sends once more
	lastChunk int           // last chunk delivered; 0 means all
	err       error
	head      *backend.Head // of the answer; nil for status 200
	buffered  bool          // its chunks are received together
	complete  string        // text of an answer that isn't a stream; empty for a stream
}

// fakeFleet is a fleet in memory for opaque requests. Attempt n follows scripts[n].
type fakeFleet struct {
	recordMu     sync.Mutex // held while a choice or an attempt is recorded, since attempts may overlap
	scripts      []script
	chunks       int
	budget       int           // retries left
	overdraft    int           // started answers that may be continued beyond it
	loanAfter    time.Duration // after which a waiting retry gets a loan; 0 for never
	awaited      []time.Duration
	opened       []backend.StartRequest
	backends     []string
	watched      []bool          // by attempt
	watching     bool            // the next attempt is under the failure detector
	lost         map[string]bool // backend servers that no longer keep copies
	copies       int
	excluded     []map[string]bool
	pickRequests []PickRequest
	results      []error     // reported to the failure detector
	running      func() bool // whether a queried backend server has the run
	unavailable  bool        // no backend server takes the request; try again soon
	versions     *versions   // nil: all backend servers run one version
	costs        *[]int      // chunks that each attempt is charged for, -1 for an attempt that did not run; nil: not recorded
}

func (w *fakeFleet) Runs(context.Context, fleet.Backend) (RunReport, error) {
	if w.running() {
		return RunReport{Active: 1}, nil
	}
	return RunReport{}, nil
}

func (w *fakeFleet) Admit(context.Context, Ticket) (func(), error) { return nil, nil }
func (w *fakeFleet) Lookup(string) (fleet.Backend, bool)           { return fleet.Backend{}, false }
func (w *fakeFleet) KeepsCopy(id string) bool                      { return !w.lost[id] }
func (w *fakeFleet) Add(backend.AbandonedAttempt)                  {}

func (w *fakeFleet) Take(string) bool {
	w.budget--
	return w.budget >= 0
}

func (w *fakeFleet) Await(ctx context.Context, _ string, _ bool, limit time.Duration) bool {
	if w.loanAfter == 0 {
		return false
	}
	from := time.Now()
	defer func() { w.awaited = append(w.awaited, time.Since(from)) }()
	return clock.Sleep(ctx, min(w.loanAfter, limit)) && w.loanAfter <= limit
}

func (w *fakeFleet) Continue(string) bool {
	w.overdraft--
	return w.overdraft >= 0 || w.Take("")
}

func (w *fakeFleet) Pick(_ context.Context, a PickRequest) (fleet.Backend, LoadShare, error) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	w.excluded = append(w.excluded, a.Exclude)
	w.pickRequests = append(w.pickRequests, a)
	if w.unavailable {
		return fleet.Backend{}, nil, &Unavailable{Retryable: true, RetryAfter: 20 * time.Millisecond}
	}
	id := a.Prefer
	if id == "" || a.Exclude[id] {
		id = fmt.Sprintf("b%d", len(w.opened)+1)
	}
	return fleet.Backend{ID: id, Addr: id, FailureDomain: "d" + id}, w.newShare(), nil
}

func (w *fakeFleet) Standby(_ PickRequest, b fleet.Backend) (fleet.Backend, LoadShare, bool) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	id := fmt.Sprintf("s%d-%d", len(w.opened), w.copies)
	return fleet.Backend{ID: id, Addr: id, FailureDomain: "other"}, &fakeShare{}, true
}

func (w *fakeFleet) Copy(context.Context, fleet.Backend, string, fleet.Backend) (string, error) {
	w.copies++
	return fmt.Sprintf("copy%d", w.copies), nil
}

func (w *fakeFleet) Drop(context.Context, fleet.Backend, string) error { return nil }

func (w *fakeFleet) Attach(context.Context, fleet.Backend, backend.StreamID, int) (Stream, error) {
	return nil, errors.New("attempts of opaque requests can't be re-attached to")
}

func (w *fakeFleet) Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (Stream, error) {
	s := w.record(b, r)
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
	return &chunkStream{next: max(r.ResumeTokens-s.resent, 1), last: w.chunks, script: s}, nil
}

// record records an attempt, and returns its script.
func (w *fakeFleet) record(b fleet.Backend, r backend.StartRequest) (s script) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	if n := len(w.opened); n < len(w.scripts) {
		s = w.scripts[n]
	}
	w.opened = append(w.opened, r)
	w.backends = append(w.backends, b.ID)
	w.watched = append(w.watched, w.watching)
	w.watching = false
	return s
}

// chunkStream is the stream of one attempt.
type chunkStream struct {
	next, last int
	script     script
}

func (p *chunkStream) Next() (backend.Token, error) {
	if text := p.script.complete; text != "" {
		p.script.complete, p.next = "", p.last+1
		return backend.Token{Text: []byte(text), Finish: "whole"}, nil
	}
	if p.script.lastChunk > 0 && p.next > p.script.lastChunk {
		return backend.Token{}, p.script.err
	}
	if p.next > p.last {
		return backend.Token{}, io.EOF
	}
	p.next++
	return backend.Token{Index: p.next - 1, Text: fmt.Appendf(nil, "%d ", p.next-1)}, nil
}

func (p *chunkStream) Buffered() bool      { return p.script.buffered }
func (p *chunkStream) Incarnation() string { return "" }
func (p *chunkStream) Head() *backend.Head { return cmp.Or(p.script.head, &okHead) }
func (p *chunkStream) Close() error        { return nil }

var okHead = backend.Head{Status: 200}

// callerAnswer collects what the caller received.
type callerAnswer struct {
	status    int
	text      string
	flushed   string        // part of text that the caller has
	readDelay time.Duration // time that the caller takes to read each chunk
}

func (a *callerAnswer) Begin(_ Position, h *backend.Head) error {
	if a.text == "" {
		a.status = h.Status
	}
	return nil
}

func (a *callerAnswer) Token(_ int, text []byte, _ string) error {
	a.text += string(text)
	time.Sleep(a.readDelay)
	return nil
}

func (a *callerAnswer) Flush() error {
	a.flushed = a.text
	return nil
}

func (w *fakeFleet) run(t testing.TB, change func(*Request)) (Result, *callerAnswer) {
	out := &callerAnswer{}
	return w.runTo(t, out, change), out
}

func (w *fakeFleet) runTo(t testing.TB, out *callerAnswer, change func(*Request)) Result {
	d := Deps{Admitter: w, Picker: w, Watcher: fleetWatcher{w}, Engines: w, Abandon: w, Budget: w, Copier: w, RunQuerier: w}
	if w.versions != nil {
		d.StreamVersions = w.versions
	}
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

// fleetWatcher records which attempts are registered with the failure detector. The runner
// calls Watch before it opens the attempt.
type fleetWatcher struct{ w *fakeFleet }

func (v fleetWatcher) Result(_ string, err error) { v.w.results = append(v.w.results, err) }

func (v fleetWatcher) Watch(string, health.Work, context.CancelCauseFunc) Watch {
	v.w.recordMu.Lock()
	defer v.w.recordMu.Unlock()
	v.w.watching = true
	return noWatch{}
}

func chunkText(n int) string {
	s := ""
	for i := 1; i <= n; i++ {
		s += fmt.Sprintf("%d ", i)
	}
	return s
}

var errBroken = backend.ErrBroken

// After losses, an answer must not lack chunks, have some twice or mix two runs. Attempts end
// anywhere, before or after their first chunk, any number of times. What the client has
// received must always be a prefix of the one true answer.
func TestOpaqueAnswerIsABeginningOfTheTrueOne(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &fakeFleet{chunks: rapid.IntRange(1, 12).Draw(rt, "pieces"), budget: rapid.IntRange(0, 6).Draw(rt, "budget")}
		for range rapid.IntRange(0, 5).Draw(rt, "losses") {
			s := script{lastChunk: rapid.IntRange(1, 12).Draw(rt, "ends"), resent: rapid.IntRange(0, 3).Draw(rt, "again"), err: errBroken}
			if rapid.Bool().Draw(rt, "refused") {
				s.openErr = &backend.Refused{Status: 503, Code: "overloaded"}
			}
			w.scripts = append(w.scripts, s)
		}
		var res Result
		var out *callerAnswer
		synctestRun(t, func() { res, out = w.run(t, nil) })
		complete := chunkText(w.chunks)
		if len(out.text) > len(complete) || out.text != complete[:len(out.text)] {
			rt.Fatalf("got %q", out.text)
		}
		if res.Outcome == fleet.Complete && out.text != complete {
			rt.Fatalf("complete with %q", out.text)
		}
		sent := w.scripts[:min(len(w.scripts), len(w.opened))]
		if res.Outcome == fleet.NotRun && slices.ContainsFunc(sent, func(s script) bool { return s.openErr == nil }) {
			rt.Fatal("reported as not run, though an attempt had started")
		}
	})
}

func synctestRun(t *testing.T, f func()) {
	bubble.Test(t, func(*testing.T) { f() })
}

// A run is lost while another backend server has a copy of it. If the run were started over
// instead of continuing from the copy, then after each crash the answer would pause for a
// second and its prefill would be paid for twice.
func TestLostRunGoesOnAtItsCopy(t *testing.T) {
	w := &fakeFleet{chunks: 9, budget: 9, scripts: []script{{lastChunk: 4, err: errBroken}}}
	_, out := w.run(t, nil)
	if out.text != chunkText(9) || len(w.opened) != 2 {
		t.Fatalf("got %q in %d attempts", out.text, len(w.opened))
	}
	if w.backends[1] != "s0-0" || !w.opened[1].Copies.FromCopy || w.opened[1].ResumeTokens != 5 {
		t.Errorf("continued at %s with %+v from %d", w.backends[1], w.opened[1].Copies, w.opened[1].ResumeTokens)
	}
	if w.opened[1].Copies.Standby.Addr == "" {
		t.Error("the resumed run has no copy")
	}
}

// The run is lost, and the backend server of its copy reports that it has no copy. The answer
// must not be lost because of that.
func TestMissingCopyIsNoEnd(t *testing.T) {
	refused := &backend.Refused{Status: 503, Code: "overloaded"}
	w := &fakeFleet{chunks: 9, budget: 9, scripts: []script{{lastChunk: 4, err: errBroken}, {openErr: refused}}}
	res, out := w.run(t, nil)
	if res.Outcome != fleet.Complete || out.text != chunkText(9) || w.opened[2].Copies.FromCopy {
		t.Errorf("got %s, %q", res.Outcome, out.text)
	}
}

// Guards against the attempts after the first counting as first ones, by which versions are compared.
func TestOnlyTheFirstAttemptIsMarkedAsFirst(t *testing.T) {
	w := &fakeFleet{chunks: 9, budget: 9, scripts: []script{{lastChunk: 4, err: errBroken}}}
	res, out := w.run(t, nil)
	if res.Outcome != fleet.Complete || out.text != chunkText(9) || w.opened[1].ResumeTokens != 5 {
		t.Fatalf("got %s, %q", res.Outcome, out.text)
	}
	if a := w.pickRequests[1]; a.LostDomain == "" || !a.IsRetry || w.pickRequests[0].IsRetry {
		t.Errorf("the second attempt avoids domain %q, again %v", a.LostDomain, a.IsRetry)
	}
	if !w.opened[0].FirstAttempt || w.opened[1].FirstAttempt {
		t.Error("only the first attempt must be marked as the first")
	}
}

// The failure domain of the copy crashes, then the failure domain of the run. If no other copy
// were made in between, every second crash would make an answer pause.
func TestLostCopyIsReplaced(t *testing.T) {
	synctestRun(t, func() {
		w := &fakeFleet{chunks: 20, budget: 9, lost: map[string]bool{"s0-0": true}, scripts: []script{{lastChunk: 10, err: errBroken}}}
		out := &callerAnswer{readDelay: 100 * time.Millisecond}
		w.runTo(t, out, nil)
		if out.text != chunkText(20) {
			t.Fatalf("got %q", out.text)
		}
		if c := w.opened[1].Copies; !c.FromCopy || c.Name != "copy1" || c.Source.ID != "b1" {
			t.Errorf("continued with %+v", c)
		}
	})
}

// Where backend servers don't keep copies by themselves, the router must request them: without
// a copy, each crash makes an answer pause while its prompt is read again. Where backend
// servers make no copies on demand, the router must request none.
func TestCopiesThatAreMadeOnDemandOnly(t *testing.T) {
	for name, c := range map[string]struct {
		copying  Copying
		copyName string // copy from which the run continues
		made     int
	}{
		"on demand only":   {Copying{OnDemand: true}, "copy1", 1},
		"kept up to date":  {Copying{KeptUpToDate: true}, "", 0},
		"neither of these": {Copying{}, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctestRun(t, func() {
				w := &fakeFleet{chunks: 20, budget: 9, scripts: []script{{lastChunk: 10, err: errBroken}}}
				out := &callerAnswer{readDelay: 100 * time.Millisecond}
				w.runTo(t, out, func(r *Request) { r.Opaque.Copies = c.copying })
				first, second := w.opened[0].Copies, w.opened[1].Copies
				if out.text != chunkText(20) || (first.Standby.Addr != "") != c.copying.KeptUpToDate {
					t.Fatalf("got %q; the first attempt has the standby %q", out.text, first.Standby.Addr)
				}
				if second.FromCopy != (c.copying != Copying{}) || second.Name != c.copyName || (w.copies > 0) != (c.made > 0) {
					t.Errorf("continued with %+v, %d copies were made", second, w.copies)
				}
			})
		})
	}
}

// A request that may run only once must not be sent again after its answer was lost: a
// booking, for example, would be made twice.
func TestOnceIsNeverSentTwice(t *testing.T) {
	for _, first := range []script{{openErr: errBroken}, {openErr: backend.ErrMismatch}, {lastChunk: 1, err: errBroken}} {
		w := &fakeFleet{chunks: 3, budget: 9, scripts: []script{first}}
		res, _ := w.run(t, func(r *Request) { r.NonIdempotent = true; r.Opaque.MaxAttempts = 3 })
		if len(w.opened) != 1 || res.Outcome != fleet.Unknown {
			t.Errorf("%v: %d attempts, %s", first, len(w.opened), res.Outcome)
		}
	}
	w := &fakeFleet{chunks: 1, budget: 9, scripts: []script{{openErr: &backend.Refused{Status: 503}}, {openErr: backend.ErrNotSent}}}
	res, _ := w.run(t, func(r *Request) { r.NonIdempotent = true; r.Opaque.MaxAttempts = 3 })
	if len(w.opened) != 3 || res.Outcome != fleet.Complete {
		t.Errorf("after refusals: %d attempts, %s", len(w.opened), res.Outcome)
	}
}

// A failure that a replica returned as its answer must reach the caller, not be replaced by a
// failure of the router. An idempotent call must not fail although another replica would have
// answered it.
func TestOwnFailureOfTheBackend(t *testing.T) {
	failed := &backend.FailedAnswer{Head: backend.Head{Status: 500}, Body: []byte("its words")}
	w := &fakeFleet{chunks: 1, budget: 9, scripts: []script{{openErr: failed}}}
	if _, out := w.run(t, nil); out.status != 200 || out.text != "1 " {
		t.Errorf("second try: got %d %q", out.status, out.text)
	}
	w = &fakeFleet{chunks: 1, budget: 9, scripts: []script{{openErr: failed}, {openErr: failed}}}
	res, out := w.run(t, func(r *Request) { r.Opaque.MaxAttempts = 2 })
	if res.Outcome != fleet.Complete || out.status != 500 || out.text != "its words" || len(w.opened) != 2 {
		t.Errorf("got %s, %d %q in %d attempts", res.Outcome, out.status, out.text, len(w.opened))
	}
	w = &fakeFleet{chunks: 1, budget: 0, scripts: []script{{openErr: failed}}}
	if _, out := w.run(t, nil); out.status != 500 || len(w.opened) != 1 {
		t.Errorf("without budget: got %d in %d attempts", out.status, len(w.opened))
	}
}

// Each attempt is refused or lost, so the runner wants one more attempt again and again.
// Attempts that continue started answers must draw on the retry budget too. Otherwise a
// service that has lost half of its replicas would receive several times as many arrivals as
// requests.
func TestNoArrivalBeyondTheBudget(t *testing.T) {
	synctestRun(t, func() {
		refused := &backend.Refused{Status: 421}
		scripts := []script{{lastChunk: 2, err: errBroken}}
		for range 50 {
			scripts = append(scripts, script{openErr: refused})
		}
		w := &fakeFleet{chunks: 9, budget: 4, scripts: scripts}
		res, _ := w.run(t, nil)
		if len(w.opened) != 1+4 || res.Outcome != fleet.Failed {
			t.Errorf("%d attempts, %s", len(w.opened), res.Outcome)
		}
	})
}

// The last attempt must not be given up because of a silence, since no other attempt may
// follow: an answer that would have arrived would be lost.
func TestLastAttemptIsNotGivenUpForSilence(t *testing.T) {
	w := &fakeFleet{chunks: 1, budget: 9, scripts: []script{{openErr: errBroken}}}
	w.run(t, func(r *Request) { r.Opaque.MaxAttempts = 2 })
	if !slices.Equal(w.watched, []bool{true, false}) {
		t.Errorf("under the failure detector: %v", w.watched)
	}
}

// The replica runs the request and the answer is lost, while the replica's other streams
// continue. The caller must not wait 10 s for a run that ended after one second. Silence alone
// can't tell this case from a queue, so the replica has to be queried.
func TestRunThatTheReplicaDoesNotHaveIsGivenUp(t *testing.T) {
	for _, c := range []struct {
		running  bool
		attempts int
	}{{true, 1}, {false, 2}} {
		synctestRun(t, func() {
			w := &fakeFleet{chunks: 3, budget: 9, running: func() bool { return c.running }, scripts: []script{{silent: 6 * time.Second}}}
			res, out := w.run(t, nil)
			if res.Outcome != fleet.Complete || out.text != chunkText(3) || len(w.opened) != c.attempts {
				t.Errorf("running %v: %s with %q in %d attempts", c.running, res.Outcome, out.text, len(w.opened))
			}
		})
	}
}

// Many nodes share the budget of a service, and one node has spent its part. A started answer
// must be able to overdraw the node's part in order to continue. Otherwise generations would
// be truncated at a crash although the service has budget left.
func TestStartedAnswerMayOverdraw(t *testing.T) {
	synctestRun(t, func() {
		w := &fakeFleet{chunks: 9, overdraft: 1, scripts: []script{{lastChunk: 2, err: errBroken}}}
		if res, out := w.run(t, nil); res.Outcome != fleet.Complete || out.text != chunkText(9) {
			t.Errorf("got %s, %q", res.Outcome, out.text)
		}
		w = &fakeFleet{chunks: 9, overdraft: 9, scripts: []script{{openErr: errBroken}}}
		if res, _ := w.run(t, nil); res.Outcome != fleet.Failed || len(w.opened) != 1 {
			t.Errorf("not started: got %s in %d attempts", res.Outcome, len(w.opened))
		}
	})
}

// On VMs whose wall clock is set ahead, requests must not end early. They would end early if
// the deadline were measured on the wall clock. The wall clock is not needed in order to count
// suspensions: the boot clock counts them as well and is never set.
func TestOpaqueDeadlineIsOnTheBootClock(t *testing.T) {
	early := func(r *Request) {
		r.Deadline = time.Now().Add(time.Hour)
		r.Opaque.Deadline = clock.DeadlineIn(-time.Second)
	}
	w := &fakeFleet{chunks: 1, budget: 9}
	if res, _ := w.run(t, early); res.Outcome != fleet.NotRun || len(w.opened) != 0 {
		t.Errorf("after its time on the boot clock: got %s in %d attempts", res.Outcome, len(w.opened))
	}
	w = &fakeFleet{chunks: 1, budget: 9}
	if res, _ := w.run(t, func(r *Request) { r.Opaque.Deadline = clock.DeadlineIn(time.Hour) }); res.Outcome != fleet.Complete {
		t.Errorf("before it: got %s", res.Outcome)
	}
}

// A request waits for a backend server without success, and the router tries to find one every
// 20 ms. If the client were told to come back after the interval until the router's own next
// try, refused clients would come back at once, only to be refused again.
func TestAdviceIsNotTheRoutersOwnWait(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		w := &fakeFleet{unavailable: true}
		res, _ := w.run(t, func(*Request) {})
		if res.Outcome != fleet.NotRun || res.RetryAfter < defaultRetryAfter {
			t.Errorf("got %s and the advice to come back after %v", res.Outcome, res.RetryAfter)
		}
	})
}

// Guards against a plain answer without its body that counts as complete, so that the client gets an empty one.
func TestPlainAnswerWithoutItsBodyIsNotComplete(t *testing.T) {
	for _, streaming := range []bool{false, true} {
		w := &fakeFleet{}
		res, _ := w.run(t, func(r *Request) { r.Opaque.Streaming = streaming })
		if complete := res.Outcome == fleet.Complete; complete != streaming {
			t.Errorf("streaming %v: %s", streaming, res.Outcome)
		}
	}
}
