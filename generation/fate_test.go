package generation

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/backend"
	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/health"
)

// stage is how far an attempt is when its run ends, or how it ended.
type stage struct {
	name   string
	err    error // with which the attempt ends before its answer; nil: the answer has begun
	tokens int   // delivered by then
	proof  bool  // the attempt did certainly not run
}

var (
	sentStages = []stage{
		{name: "answer awaited, connection lost", err: backend.ErrBroken},
		{name: "answer belongs to another request", err: backend.ErrMismatch},
		{name: "unknown error", err: errors.New("of a kind that nobody expects")},
		{name: "answer begun"},
		{name: "answer in progress", tokens: 2},
	}
	directStages = append([]stage{
		{name: "nothing sent", err: backend.ErrNotSent, proof: true},
		{name: "withheld", err: backend.ErrWithheld, proof: true},
		{name: "refused", err: &backend.Refused{Code: "overloaded"}, proof: true},
		{name: "refused as a repeat", err: &backend.Refused{Code: codeAttemptExists}},
		{name: "failed there", err: &backend.FailedAnswer{Head: backend.Head{Status: 500}}},
		{name: "nothing sent on a second connection", err: fmt.Errorf("%w: %w", backend.ErrBroken, backend.ErrNotSent)},
	}, sentStages...)
	forwardStages = append([]stage{
		{name: "no router takes it", err: &Unavailable{Code: CodeCutOff}, proof: true},
		{name: "refused by the other router", err: &RemoteEnd{Outcome: fleet.NotRun, Code: CodeDeadline}, proof: true},
		{name: "outcome unknown at the other router", err: &RemoteEnd{Outcome: fleet.Unknown, Code: CodeDeadline}},
		{name: "failed at the other router", err: &RemoteEnd{Outcome: fleet.Failed, Code: CodeEngineLost}},
		{name: "cut off at the other router, outcome unknown", err: &RemoteEnd{Outcome: fleet.Unknown, Code: CodeCutOff}},
	}, sentStages...)
)

const fateDeadline = time.Second

// fateRun is a run with one attempt, which is at a stage when the run ends. Nothing is sent after it.
type fateRun struct {
	harness
	stage       stage
	forwarded   bool
	sent        int
	reached     chan struct{} // closed when the attempt is sent
	released    chan struct{} // closed when its result may come
	report      context.CancelCauseFunc
	isCutOff    bool
	panics      bool
	ineffective bool // the exit did nothing
}

func (f *fateRun) Pick(context.Context, PickRequest) (fleet.Backend, LoadShare, error) {
	if f.sent > 0 {
		return fleet.Backend{}, nil, &Unavailable{Retryable: true, RetryAfter: time.Millisecond}
	}
	return fleet.Backend{ID: "b", Addr: "b"}, nil, nil
}

func (f *fateRun) Lookup(string) (fleet.Backend, bool) {
	return fleet.Backend{ID: "b", Addr: "b"}, true
}

func (f *fateRun) Watch(_ string, _ health.Work, report context.CancelCauseFunc) Watch {
	f.report = report
	return noWatch{}
}

func (f *fateRun) Result(string, error) {
	if f.panics {
		panic("failure detector")
	}
}

func (f *fateRun) CutOff(string) bool { return f.forwarded || f.isCutOff }

func (f *fateRun) CheckCutOff(context.Context, string) bool { return f.CutOff("") }

func (f *fateRun) Forward(ctx context.Context, _ Handover) (ForwardedStream, error) {
	if f.sent > 0 {
		return nil, &Unavailable{Code: CodeCutOff}
	}
	s, err := f.open(ctx)
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (f *fateRun) Open(ctx context.Context, _ fleet.Backend, _ backend.StartRequest) (Stream, error) {
	s, err := f.open(ctx)
	if err != nil {
		return nil, err
	}
	return s, nil
}

func (f *fateRun) Attach(context.Context, fleet.Backend, backend.StreamID, int) (Stream, error) {
	return nil, backend.ErrUnknownStream
}

func (f *fateRun) open(ctx context.Context) (*fateStream, error) {
	f.sent++
	if f.stage.err == nil {
		return &fateStream{run: f, ctx: ctx}, nil
	}
	close(f.reached)
	select {
	case <-f.released:
	case <-ctx.Done():
	}
	return nil, Error.Wrap(f.stage.err)
}

// fateStream is an answer that delivers the tokens of its stage, and no end.
type fateStream struct {
	run  *fateRun
	ctx  context.Context
	read int
}

func (s *fateStream) Next() (backend.Token, error) {
	if s.read < s.run.stage.tokens {
		s.read++
		return backend.Token{Index: s.read - 1, Text: []byte("t")}, nil
	}
	close(s.run.reached)
	select {
	case <-s.run.released:
	case <-s.ctx.Done():
	}
	return backend.Token{}, backend.ErrBroken
}

func (s *fateStream) Buffered() bool      { return false }
func (s *fateStream) Incarnation() string { return "" }
func (s *fateStream) Head() *backend.Head { return nil }
func (s *fateStream) Close() error        { return nil }
func (s *fateStream) Router() string      { return "n2" }
func (s *fateStream) Origin() Position    { return Position{Backend: "b", Attempt: 1} }

// exits are the ways in which a run ends while its attempt is at a stage.
var exits = map[string]func(f *fateRun, cancel context.CancelCauseFunc){
	"deadline":                      func(*fateRun, context.CancelCauseFunc) { time.Sleep(fateDeadline) },
	"result before the deadline":    func(*fateRun, context.CancelCauseFunc) {},
	"result without a retry budget": func(f *fateRun, _ context.CancelCauseFunc) { f.noBudget = true },
	"caller gone":                   func(_ *fateRun, cancel context.CancelCauseFunc) { cancel(nil) },
	"superseded":                    func(_ *fateRun, cancel context.CancelCauseFunc) { cancel(ErrSuperseded) },
	"router stopping":               func(_ *fateRun, cancel context.CancelCauseFunc) { cancel(errors.New("stopping")) },
	"silence":                       func(f *fateRun, _ context.CancelCauseFunc) { f.reportLoss(runNotFound{}) },
	"run lost":                      func(f *fateRun, _ context.CancelCauseFunc) { f.reportLoss(ErrEngineLost) },
	"cut off": func(f *fateRun, _ context.CancelCauseFunc) {
		f.isCutOff = true
		f.reportLoss(runNotFound{})
	},
	"silence, then the deadline": func(f *fateRun, _ context.CancelCauseFunc) {
		f.reportLoss(runNotFound{})
		time.Sleep(fateDeadline)
	},
	"panic": func(f *fateRun, _ context.CancelCauseFunc) { f.panics = true },
}

func (f *fateRun) reportLoss(cause error) {
	if f.report == nil {
		f.ineffective = true
		return
	}
	f.report(cause)
}

// plays reports whether an exit differs from the result of the attempt or the deadline for a request. An attempt that no
// other may follow, and one at another router, isn't under the failure detector. The detector, which is what panics, gets no
// result of attempts that are passed on, withheld or refused as a repeat.
func plays(exit string, s stage, forwarded bool, req *Request) bool {
	switch exit {
	case "silence", "run lost", "cut off", "silence, then the deadline":
		return !forwarded && (req.Opaque == nil || !req.NonIdempotent)
	case "panic":
		return !forwarded && s.name != "withheld" && s.name != "refused as a repeat"
	}
	return true
}

// play runs req until its attempt is at the stage, ends it, and returns the result. It returns false if the run panics.
func (f *fateRun) play(t *testing.T, req Request, exit func(*fateRun, context.CancelCauseFunc)) (res Result, ok bool) {
	return f.playWith(t, f, req, exit)
}

// fateParts are the parts of a run that the tests replace.
type fateParts interface {
	Picker
	Engines
	Forwarder
}

func (f *fateRun) playWith(t *testing.T, p fateParts, req Request, exit func(*fateRun, context.CancelCauseFunc)) (res Result, ok bool) {
	r, err := New(Deps{Admitter: f, Claims: f, Picker: p, Watcher: f, Engines: p, Abandon: f, Budget: f, Forwarder: p},
		Options{MaxWait: 50 * time.Millisecond, StartedMaxWait: 50 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancelCause(t.Context())
	var ending sync.WaitGroup
	ending.Go(func() {
		select {
		case <-f.reached:
		case <-ctx.Done():
		}
		exit(f, cancel)
		synctest.Wait()
		close(f.released)
	})
	defer func() {
		cancel(nil)
		ending.Wait()
		r.Wait()
	}()
	defer func() { ok = recover() == nil }()
	return r.Run(ctx, req, &fakeSink{}), true
}

// Guards against "not run", which allows the caller to send a request again, where the request may have run: for each
// stage of an attempt and each way in which its run can end. It guards as well against a claim that is freed then, after
// which a repeat of the key would run.
func TestNotRunIsProvedAtEveryExit(t *testing.T) {
	requests := map[string]Request{
		"own interface, once":       {NonIdempotent: true},
		"own interface, repeatable": {},
		"opaque, once":              {NonIdempotent: true, Opaque: &Opaque{Opaque: &backend.Opaque{}, MaxAttempts: 2, MaxWait: 50 * time.Millisecond}},
		"opaque, repeatable":        {Opaque: &Opaque{Opaque: &backend.Opaque{}, MaxAttempts: 2, MaxWait: 50 * time.Millisecond}},
	}
	for _, forwarded := range []bool{false, true} {
		stages := directStages
		if forwarded {
			stages = forwardStages
		}
		for _, s := range stages {
			for exit, end := range exits {
				for kind, req := range requests {
					if !plays(exit, s, forwarded, &req) {
						continue
					}
					name := fmt.Sprintf("%s/%s/%s, forwarded %t", kind, exit, s.name, forwarded)
					var fault string
					bubble.Test(t, func(t *testing.T) { fault = checkFate(t, s, forwarded, exit, end, req) })
					if fault != "" {
						t.Errorf("%s: %s", name, fault)
					}
				}
			}
		}
	}
}

// checkFate plays a request, and returns what is untrue of its result, or an empty string.
func checkFate(t *testing.T, s stage, forwarded bool, exit string, end func(*fateRun, context.CancelCauseFunc), req Request) string {
	f := &fateRun{stage: s, forwarded: forwarded, reached: make(chan struct{}), released: make(chan struct{})}
	req.ID, req.Ref, req.Prompt, req.MaxTokens, req.Deadline = "r", ref, "prompt", 100, time.Now().Add(fateDeadline)
	res, ok := f.play(t, req, end)
	if f.ineffective || ok == (exit == "panic") {
		return "the exit is not played"
	}
	if !s.proof && len(f.voided) > 0 {
		return "the claim is freed"
	}
	if !ok {
		return "" // the connection of the caller ends without an answer
	}
	allowed := []fleet.Outcome{fleet.Failed, fleet.Unknown, fleet.Complete} // a failure of the backend server itself is a complete answer
	switch {
	case s.proof && exit == "superseded" && req.NonIdempotent:
		allowed = []fleet.Outcome{fleet.Unknown} // the caller has seen a part of the answer
	case s.proof && exit == "silence, then the deadline" && !req.NonIdempotent:
		allowed = []fleet.Outcome{fleet.NotRun, fleet.Failed} // the run ends beside its silent attempt, before the proof is there
	case s.proof:
		allowed = []fleet.Outcome{fleet.NotRun}
	case req.NonIdempotent:
		allowed = []fleet.Outcome{fleet.Unknown, fleet.Complete}
	}
	if !slices.Contains(allowed, res.Outcome) {
		return fmt.Sprintf("%s (%s, %v)", res.Outcome, res.Code, res.Err)
	}
	return ""
}

// Guards against a record that is made after the first byte of an attempt may have left: a way out in between would find
// nothing.
func TestAttemptIsRecordedBeforeItIsSent(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		f := &recordedRun{fateRun: fateRun{forwarded: forwarded}}
		r, err := New(Deps{Admitter: f, Claims: f, Picker: f, Watcher: f, Engines: f, Abandon: f, Budget: f, Forwarder: f}, Options{})
		if err != nil {
			t.Fatal(err)
		}
		f.run = newRun(r, t.Context(), Request{ID: "r", Ref: ref, NonIdempotent: true}, &fakeSink{})
		if forwarded {
			f.run.forward()
		} else {
			f.run.backend = fleet.Backend{ID: "b", Addr: "b"}
			f.run.dispatch()
		}
		if f.recorded != 1 || f.run.fates.mayHaveRun() {
			t.Errorf("forwarded %t: %d attempts are recorded when it is sent, %d after the proof that it did not run", forwarded, f.recorded, f.run.fates.count())
		}
	}
}

// recordedRun looks at the record of a run when its attempt is sent.
type recordedRun struct {
	fateRun
	run      *run
	recorded int
}

func (f *recordedRun) Open(context.Context, fleet.Backend, backend.StartRequest) (Stream, error) {
	f.recorded = f.run.fates.count()
	return nil, backend.ErrNotSent
}

func (f *recordedRun) Forward(context.Context, Handover) (ForwardedStream, error) {
	f.recorded = f.run.fates.count()
	return nil, &Unavailable{Code: CodeCutOff}
}

// Guards against "not run" where the first attempts of a request did not run and the last one may have: two servers are out
// of reach, the router finds out that it is cut off, and passes the request on shortly before the deadline.
func TestFatesOfSeveralAttemptsAreKeptApart(t *testing.T) {
	for _, last := range forwardStages {
		bubble.Test(t, func(t *testing.T) {
			f := &cutRun{fateRun: fateRun{stage: last, reached: make(chan struct{}), released: make(chan struct{})}, dials: 2}
			req := Request{ID: "r", Ref: ref, NonIdempotent: true, Deadline: time.Now().Add(fateDeadline),
				Opaque: &Opaque{Opaque: &backend.Opaque{}, MaxAttempts: 3, MaxWait: fateDeadline}}
			res, _ := f.playWith(t, f, req, exits["deadline"])
			if want := map[bool]fleet.Outcome{true: fleet.NotRun, false: fleet.Unknown}[last.proof]; res.Outcome != want {
				t.Errorf("%s: %s (%s), want %s", last.name, res.Outcome, res.Code, want)
			}
		})
	}
}

// cutRun is a run whose connections don't open, of a router that then turns out to be cut off.
type cutRun struct {
	fateRun
	dials int
}

func (f *cutRun) CutOff(string) bool { return f.dials == 0 }

func (f *cutRun) Pick(context.Context, PickRequest) (fleet.Backend, LoadShare, error) {
	id := fmt.Sprint("b", f.dials)
	return fleet.Backend{ID: id, Addr: id}, nil, nil
}

func (f *cutRun) Open(context.Context, fleet.Backend, backend.StartRequest) (Stream, error) {
	time.Sleep(fateDeadline / 4)
	f.dials--
	return nil, backend.ErrNotSent
}
