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
	stage     stage
	forwarded bool
	sent      int
	reached   chan struct{} // closed when the attempt is sent
	released  chan struct{} // closed when its result may come
	report    context.CancelCauseFunc
	isCutOff  bool
	panics    bool
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
	if f.report != nil {
		f.report(cause)
	}
}

// play runs req until its attempt is at the stage, ends it, and returns the result. It returns false if the run panics.
func (f *fateRun) play(t *testing.T, req Request, exit func(*fateRun, context.CancelCauseFunc)) (res Result, ok bool) {
	r, err := New(Deps{Admitter: f, Claims: f, Picker: f, Watcher: f, Engines: f, Abandon: f, Budget: f, Forwarder: f},
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
					name := fmt.Sprintf("%s/%s/%s, forwarded %t", kind, exit, s.name, forwarded)
					var fault string
					synctest.Test(t, func(t *testing.T) { fault = checkFate(t, s, forwarded, exit, end, req) })
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
