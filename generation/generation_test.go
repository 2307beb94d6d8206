package generation

import (
	"context"
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fleet"
)

// Tokens of several attempts reach the router in any order: late ones of a lost engine,
// repeated ones, and ones after a gap. If the router accepted a token without checking its
// attempt and its index, an answer would lack a token, repeat one or mix two generations.
func TestAcceptorProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a tokenFilter
		current, want := 1, 0
		a.setAttempt(current)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				current++
				a.setAttempt(current)
				continue
			}
			attempt := rapid.IntRange(1, current).Draw(t, "attempt")
			index := want + rapid.IntRange(-2, 2).Draw(t, "index")
			got := a.check(attempt, index)
			valid := attempt == current && index == want
			if (got == accepted) != valid {
				t.Fatalf("attempt %d of %d, index %d of %d: decision %d", attempt, current, index, want, got)
			}
			if valid {
				want++
			}
			if a.next != want {
				t.Fatalf("next %d, want %d", a.next, want)
			}
		}
	})
}

// A generation is resumed at an engine where new generations and calls wait for a slot. If the
// resume had only the priority of a new generation, then after the loss of a failure domain
// the answers that were continued elsewhere would pause for a second.
func TestResumeIsAheadOfNewWorkAtTheEngine(t *testing.T) {
	sent := map[fleet.Priority][2]int{}
	for _, p := range []fleet.Priority{fleet.Batch, fleet.Interactive} {
		first, second := newFakeEngine(t, behavior{3, "reset"}), newFakeEngine(t, behavior{})
		h := &harness{engines: []*fakeEngine{first, second}}
		if res := h.run(t, Request{Priority: p}, &fakeSink{}, Options{}); res.Outcome != fleet.Complete {
			t.Fatalf("got %+v", res)
		}
		sent[p] = [2]int{first.got()[0].Priority, second.got()[0].Priority}
	}
	newest := max(sent[fleet.Batch][0], sent[fleet.Interactive][0])
	if sent[fleet.Batch][0] >= sent[fleet.Interactive][0] || sent[fleet.Batch][1] <= newest || sent[fleet.Interactive][1] <= sent[fleet.Batch][1] {
		t.Fatalf("priorities sent, new and resumed: %v", sent)
	}
}

// An answer must not end, or be wrong, because its engine failed. The first engine delivers
// three tokens and then fails in one of the ways listed below. The router must not take the
// engine's end for the end of the answer, nor resume from a text other than the delivered one.
func TestAnswerOutlivesItsEngine(t *testing.T) {
	for _, tc := range []struct {
		fault    string
		attempts int
	}{
		{"reset", 2}, {"gap", 2}, {"cross", 2}, {"end", 2}, {"hang", 2}, {"repeat", 1},
	} {
		t.Run(tc.fault, func(t *testing.T) {
			first, second := newFakeEngine(t, behavior{3, tc.fault}), newFakeEngine(t, behavior{})
			h := &harness{engines: []*fakeEngine{first, second}}
			if tc.fault == "hang" {
				h.silentAfter = 3
			}
			sink := &fakeSink{}
			res := h.run(t, Request{}, sink, Options{})
			if res.Outcome != fleet.Complete || sink.text.String() != answerText(answerTokens) || res.Tokens != answerTokens {
				t.Fatalf("got %+v, text %q", res, sink.text.String())
			}
			if len(sink.seen) != tc.attempts || res.Resumes != tc.attempts-1 || len(h.abandoned) != tc.attempts-1 {
				t.Fatalf("begins %v, resumes %d, abandoned %v", sink.seen, res.Resumes, h.abandoned)
			}
			if tc.attempts == 1 {
				return
			}
			if e := second.got()[0].Ext; e.ResumeText != answerText(3) || e.ResumeTokens != 3 || e.Attempt != 2 {
				t.Fatalf("resumed with %+v", e)
			}
			if a := h.abandoned[0]; a.Attempt != 1 || a.Accepted != 3 || a.Incarnation != "i1" {
				t.Fatalf("abandoned %+v", a)
			}
		})
	}
}

// A request that has run must not be reported as "not-run", since the caller would repeat it,
// and a non-idempotent request must not reach a second engine. Both would happen if the
// outcome were derived from the last error only, instead of from all attempts that may have
// reached an engine. Each row states what the engines do.
func TestFinalAnswersAreTrue(t *testing.T) {
	refuse, closed := behavior{fault: "refuse"}, behavior{fault: "close"}
	for _, tc := range []struct {
		name      string
		h         *harness
		behaviors [2]behavior
		req       Request
		want      fleet.Outcome
		code      string
		posts     int // 0 means not checked, -1 none
		voids     int
	}{
		{name: "all refuse", behaviors: [2]behavior{refuse, refuse}, want: fleet.NotRun},
		{name: "none listens", h: &harness{deadAddr: refusingAddr(t)}, want: fleet.NotRun},
		{name: "no retry budget", h: &harness{noBudget: true}, behaviors: [2]behavior{refuse, refuse}, want: fleet.NotRun, code: "overloaded", posts: 1},
		{name: "runs here already", behaviors: [2]behavior{{fault: "exists"}, {}}, want: fleet.Unknown, code: CodeDuplicate, posts: 1},
		{name: "closed, then refused", behaviors: [2]behavior{closed, refuse}, want: fleet.Failed},
		{name: "none expected in time", h: &harness{expectReplica: true}, behaviors: [2]behavior{refuse, refuse}, want: fleet.NotRun, code: CodeNoReplica, posts: 2},
		{name: "once: refused", behaviors: [2]behavior{refuse, refuse}, req: Request{NonIdempotent: true}, want: fleet.NotRun, voids: 1},
		{name: "once: refused, then run", behaviors: [2]behavior{refuse, {}}, req: Request{NonIdempotent: true}, want: fleet.Complete, posts: 2},
		{name: "once: closed", behaviors: [2]behavior{closed, {}}, req: Request{NonIdempotent: true, Deadline: time.Now().Add(time.Second)}, want: fleet.Unknown, posts: 1},
		{name: "once: lost for good", behaviors: [2]behavior{{3, "reset"}, {}}, req: Request{NonIdempotent: true}, want: fleet.Unknown, code: CodeNoResume, posts: 1},
		{name: "once: engine gone", behaviors: [2]behavior{closed, {}}, req: Request{NonIdempotent: true, Deadline: time.Now().Add(5 * time.Second)}, want: fleet.Unknown, code: CodeEngineLost, posts: 1},
		{name: "once: duplicate", h: &harness{duplicate: true}, req: Request{NonIdempotent: true}, want: fleet.Unknown, code: CodeDuplicate, posts: -1},
		{name: "once: claim unsettled", h: &harness{claimErr: errors.New("down")}, req: Request{NonIdempotent: true}, want: fleet.NotRun, code: CodeNoClaim, posts: -1, voids: 1},
		{name: "once: paused after the claim", h: &harness{pause: 50 * time.Millisecond}, req: Request{NonIdempotent: true}, want: fleet.NotRun, code: CodeDeadline, posts: -1, voids: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, second := newFakeEngine(t, tc.behaviors[0]), newFakeEngine(t, tc.behaviors[1])
			if tc.name == "once: lost for good" {
				first.behaviors = append(first.behaviors, behavior{fault: "none"})
			}
			h := tc.h
			if h == nil {
				h = &harness{}
			}
			if h.pause > 0 {
				tc.req.Deadline = time.Now().Add(h.pause)
			}
			h.engines = []*fakeEngine{first, second}
			res := h.run(t, tc.req, &fakeSink{}, Options{MaxWait: 100 * time.Millisecond, StartedMaxWait: 100 * time.Millisecond})
			posts := len(first.got()) + len(second.got())
			if res.Outcome != tc.want || (tc.code != "" && res.Code != tc.code) {
				t.Errorf("got %+v", res)
			}
			if (tc.posts > 0 && posts != tc.posts) || (tc.posts < 0 && posts != 0) {
				t.Errorf("%d dispatches", posts)
			}
			if len(h.voided) != tc.voids {
				t.Errorf("voided %v", h.voided)
			}
			if advised := res.Outcome == fleet.NotRun || res.Outcome == fleet.Failed; advised && res.RetryAfter <= 0 {
				t.Errorf("no Retry-After: %+v", res)
			}
		})
	}
}

// A response must not say that a request has not run while it runs elsewhere. A repeat of a
// non-idempotent generation waits for its claim when the first caller reconnects at the same
// router and supersedes it; that caller's run is the one that goes on.
func TestSupersededRepeatIsNotReportedAsNotRun(t *testing.T) {
	for cause, want := range map[error]fleet.Outcome{ErrSuperseded: fleet.Unknown, nil: fleet.NotRun} {
		ctx, cancel := context.WithCancelCause(t.Context())
		h := &harness{claimWaits: true, ctx: ctx}
		time.AfterFunc(10*time.Millisecond, func() { cancel(cause) })
		if res := h.run(t, Request{NonIdempotent: true}, &fakeSink{}, Options{}); res.Outcome != want {
			t.Errorf("cancelled by %v: got %+v, want %v", cause, res, want)
		}
	}
}

// The connection of a non-idempotent generation is reset after three tokens, and the engine
// still has the run. The router must re-attach to that run: if it gave up, the generation
// would be lost, and if it dispatched again, the generation would run twice.
func TestNonIdempotentReattaches(t *testing.T) {
	first, second := newFakeEngine(t, behavior{3, "reset"}, behavior{2, "reset"}, behavior{}), newFakeEngine(t, behavior{})
	h := &harness{engines: []*fakeEngine{first, second}}
	sink := &fakeSink{}
	res := h.run(t, Request{NonIdempotent: true}, sink, Options{})
	if res.Outcome != fleet.Complete || sink.text.String() != answerText(answerTokens) {
		t.Fatalf("got %+v, text %q", res, sink.text.String())
	}
	if len(first.got()) != 1 || first.gets != 2 || len(second.got()) != 0 || len(h.voided) != 0 {
		t.Fatalf("posts %d, gets %d, second %d, voids %d", len(first.got()), first.gets, len(second.got()), len(h.voided))
	}
}

// After a router crashed, another router receives the cursor; each row states what is left of
// the old run. The answer may be continued only by the same run or from the very text that was
// delivered: otherwise the caller's answer would be truncated or would mix two generations.
func TestAnswerOutlivesItsRouter(t *testing.T) {
	point := ResumePoint{Backend: "e0", Incarnation: "i1", Attempt: 3, Offset: 3, Text: answerText(3), HaveText: true}
	with := func(f func(*ResumePoint)) *ResumePoint { p := point; f(&p); return &p }
	for _, tc := range []struct {
		name   string
		point  *ResumePoint
		first  behavior
		once   bool
		want   fleet.Outcome
		begins int
		posts  int // at the second engine
	}{
		{name: "run lives", point: &point, want: fleet.Complete, begins: 1},
		{name: "run gone", point: &point, first: behavior{fault: "none"}, want: fleet.Complete, begins: 1, posts: 1},
		{name: "engine forgotten", point: with(func(p *ResumePoint) { p.Backend = "e9" }), first: behavior{fault: "refuse"}, want: fleet.Complete, begins: 1, posts: 1},
		{name: "engine restarted", point: with(func(p *ResumePoint) { p.Incarnation = "i0" }), want: fleet.Complete, begins: 1, posts: 1},
		{name: "no text, run gone", point: with(func(p *ResumePoint) { p.HaveText = false }), first: behavior{fault: "none"}, want: fleet.Failed},
		{name: "no text, run breaks later", point: with(func(p *ResumePoint) { p.HaveText = false }), first: behavior{2, "reset"}, want: fleet.Complete, begins: 3},
		{name: "once, run gone", point: &point, once: true, first: behavior{fault: "none"}, want: fleet.Unknown},
		{name: "whole", point: with(func(p *ResumePoint) { p.Finished = true }), first: behavior{fault: "none"}, want: fleet.Complete},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, second := newFakeEngine(t, tc.first), newFakeEngine(t, behavior{})
			h := &harness{engines: []*fakeEngine{first, second}}
			sink := &fakeSink{}
			res := h.run(t, Request{Resume: tc.point, NonIdempotent: tc.once}, sink, Options{MaxWait: time.Second})
			if res.Outcome != tc.want || len(sink.seen) != tc.begins || len(second.got()) != tc.posts {
				t.Fatalf("got %+v, begins %v, second engine got %d", res, sink.seen, len(second.got()))
			}
			if tc.begins > 0 && answerText(3)+sink.text.String() != answerText(answerTokens) {
				t.Fatalf("text %q", sink.text.String())
			}
			for _, p := range second.got() {
				if p.Ext.Attempt <= point.Attempt || p.Ext.ResumeText != answerText(3) {
					t.Fatalf("continued with %+v", p.Ext)
				}
			}
		})
	}
}

// The sink fails in mid-answer because the caller's connection broke. If the router treated a
// lost caller like a lost engine, the caller would find its run cancelled when it comes back.
// A passed deadline, in contrast, does cancel the run.
func TestWhoCancels(t *testing.T) {
	h := &harness{engines: []*fakeEngine{newFakeEngine(t, behavior{5, "hang"})}}
	res := h.run(t, Request{}, &fakeSink{failAt: 2}, Options{})
	if res.Outcome != fleet.Failed || res.Code != CodeCallerDisconnected || len(h.abandoned) != 0 {
		t.Fatalf("got %+v, abandoned %v", res, h.abandoned)
	}
	res = h.run(t, Request{Deadline: time.Now().Add(100 * time.Millisecond)}, &fakeSink{}, Options{})
	if res.Outcome != fleet.Failed || res.Code != CodeDeadline || len(h.abandoned) != 1 {
		t.Fatalf("got %+v, abandoned %v", res, h.abandoned)
	}
}

// A request must not be dispatched after its deadline. The process is frozen after the claim
// and resumes past the deadline, before the timer of the context has fired. A check of the
// context alone, and not of the clock, would miss that.
func TestDeadlineIsReadFromTheClock(t *testing.T) {
	x := &run{ctx: t.Context(), req: Request{Deadline: time.Now().Add(-time.Millisecond)}}
	if !x.mustEnd() || !errors.Is(x.endCause(), ErrDeadline) {
		t.Fatal("a passed deadline was not noticed")
	}
}

// One caller reads no tokens for a while, so that its stream isn't read. The failure detector
// must be notified that the caller causes the silence: otherwise the engine would be given up,
// and all its streams at this router would resume elsewhere, although the engine works as
// before.
func TestSlowCallerIsNoSilence(t *testing.T) {
	// The first engine stops after three tokens with nothing else buffered, so that at least
	// one flush happens during a stream, however the tokens of the stream arrive.
	h := &harness{silentAfter: 3, engines: []*fakeEngine{newFakeEngine(t, behavior{3, "hang"}), newFakeEngine(t, behavior{})}}
	flushes, reported := 0, 0
	sink := &fakeSink{flush: func() {
		flushes++
		if h.blocked {
			reported++
		}
	}}
	res := h.run(t, Request{}, sink, Options{})
	// The last flush comes after the end of the watch, so that flush is not reported as the
	// caller's time.
	if res.Outcome != fleet.Complete || flushes < 2 || reported != flushes-1 || h.blocked {
		t.Errorf("%v: %d of %d flushes reported as the caller's time, still blocked: %v", res.Outcome, reported, flushes, h.blocked)
	}
}
