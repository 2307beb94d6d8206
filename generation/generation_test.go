package generation

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/fleet"
)

// Symptom: an answer with a token missing, repeated or of two generations.
// Sequence: chunks of several attempts reach the router in any order: late
// ones of a lost engine, repeated ones, ones after a gap. Cause: a chunk was
// taken without looking at its attempt and index.
func TestAcceptorProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a acceptor
		current, want := 1, 0
		a.begin(current)
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				current++
				a.begin(current)
				continue
			}
			attempt := rapid.IntRange(1, current).Draw(t, "attempt")
			index := want + rapid.IntRange(-2, 2).Draw(t, "index")
			got := a.offer(attempt, index)
			own := attempt == current && index == want
			if (got == accept) != own {
				t.Fatalf("attempt %d of %d, index %d of %d: verdict %d", attempt, current, index, want, got)
			}
			if own {
				want++
			}
			if a.next != want {
				t.Fatalf("next %d, want %d", a.next, want)
			}
		}
	})
}

// Symptom: after the loss of a failure domain the answers that went on stand
// still for a second. Sequence: a draft is resumed at an engine where new drafts
// and new lookups wait for a place. Cause: it kept a new draft's priority.
func TestResumeIsAheadOfNewWorkAtTheEngine(t *testing.T) {
	sent := map[fleet.Priority][2]int{}
	for _, p := range []fleet.Priority{fleet.Batch, fleet.Interactive} {
		first, second := newFakeEngine(t, act{3, "reset"}), newFakeEngine(t, act{})
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

// Symptom: an answer ends, or goes wrong, when its engine does. Sequence: the
// first engine delivers three tokens, then fails in one of the ways below.
// Cause: the router took the engine's end for the answer's end, or resumed
// from a text other than the one delivered.
func TestAnswerOutlivesItsEngine(t *testing.T) {
	for _, tc := range []struct {
		fault    string
		attempts int
	}{
		{"reset", 2}, {"gap", 2}, {"cross", 2}, {"end", 2}, {"hang", 2}, {"repeat", 1},
	} {
		t.Run(tc.fault, func(t *testing.T) {
			first, second := newFakeEngine(t, act{3, tc.fault}), newFakeEngine(t, act{})
			h := &harness{engines: []*fakeEngine{first, second}}
			if tc.fault == "hang" {
				h.silentAfter = 3
			}
			sink := &fakeSink{}
			res := h.run(t, Request{}, sink, Options{})
			if res.Outcome != fleet.Complete || sink.text.String() != words(answerTokens) || res.Tokens != answerTokens {
				t.Fatalf("got %+v, text %q", res, sink.text.String())
			}
			if len(sink.places) != tc.attempts || res.Resumes != tc.attempts-1 || len(h.abandoned) != tc.attempts-1 {
				t.Fatalf("places %v, resumes %d, abandoned %v", sink.places, res.Resumes, h.abandoned)
			}
			if tc.attempts == 1 {
				return
			}
			if e := second.got()[0].Ext; e.ResumeText != words(3) || e.ResumeTokens != 3 || e.Attempt != 2 {
				t.Fatalf("resumed with %+v", e)
			}
			if a := h.abandoned[0]; a.Attempt != 1 || a.Accepted != 3 || a.Incarnation != "i1" {
				t.Fatalf("abandoned %+v", a)
			}
		})
	}
}

// Symptom: a caller repeats a request that was told "not-run", and it has run
// twice; or a non-idempotent one reaches a second engine. Sequence: per row,
// what the engines do. Cause: the outcome was taken from the last error
// instead of from all that may have reached an engine.
func TestFinalAnswersAreTrue(t *testing.T) {
	refuse, closes := act{then: "refuse"}, act{then: "close"}
	for _, tc := range []struct {
		name  string
		h     *harness
		acts  [2]act
		req   Request
		want  fleet.Outcome
		code  string
		posts int // 0 means not checked
		voids int
	}{
		{name: "all refuse", acts: [2]act{refuse, refuse}, want: fleet.NotRun},
		{name: "none listens", h: &harness{dead: refusingAddr(t)}, want: fleet.NotRun},
		{name: "no retry budget", h: &harness{noBudget: true}, acts: [2]act{refuse, refuse}, want: fleet.NotRun, code: "overloaded", posts: 1},
		{name: "runs here already", acts: [2]act{{then: "exists"}, {}}, want: fleet.Unknown, code: CodeDuplicate, posts: 1},
		{name: "closed, then refused", acts: [2]act{closes, refuse}, want: fleet.Failed},
		{name: "none expected in time", h: &harness{expect: true}, acts: [2]act{refuse, refuse}, want: fleet.NotRun, code: CodeNoReplica, posts: 2},
		{name: "once: refused", acts: [2]act{refuse, refuse}, req: Request{NonIdempotent: true}, want: fleet.NotRun, voids: 1},
		{name: "once: refused, then run", acts: [2]act{refuse, {}}, req: Request{NonIdempotent: true}, want: fleet.Complete, posts: 2},
		{name: "once: closed", acts: [2]act{closes, {}}, req: Request{NonIdempotent: true, Deadline: time.Now().Add(time.Second)}, want: fleet.Unknown, posts: 1},
		{name: "once: lost for good", acts: [2]act{{3, "reset"}, {}}, req: Request{NonIdempotent: true}, want: fleet.Unknown, code: CodeNoResume, posts: 1},
		{name: "once: engine gone", acts: [2]act{closes, {}}, req: Request{NonIdempotent: true, Deadline: time.Now().Add(5 * time.Second)}, want: fleet.Unknown, code: CodeEngineLost, posts: 1},
		{name: "once: duplicate", h: &harness{duplicate: true}, req: Request{NonIdempotent: true}, want: fleet.Unknown, code: CodeDuplicate, posts: -1},
		{name: "once: claim unsettled", h: &harness{claimErr: errors.New("down")}, req: Request{NonIdempotent: true}, want: fleet.NotRun, code: CodeNoClaim, posts: -1, voids: 1},
		{name: "once: paused after the claim", h: &harness{pause: 50 * time.Millisecond}, req: Request{NonIdempotent: true}, want: fleet.NotRun, code: CodeDeadline, posts: -1, voids: 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, second := newFakeEngine(t, tc.acts[0]), newFakeEngine(t, tc.acts[1])
			if tc.name == "once: lost for good" {
				first.acts = append(first.acts, act{then: "none"})
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

// Symptom: a non-idempotent draft is lost, or drafted twice, when a connection
// breaks. Sequence: three tokens, reset, the engine still holds the run.
// Cause: the router gave up, or dispatched again, instead of re-attaching.
func TestNonIdempotentReattaches(t *testing.T) {
	first, second := newFakeEngine(t, act{3, "reset"}, act{2, "reset"}, act{}), newFakeEngine(t, act{})
	h := &harness{engines: []*fakeEngine{first, second}}
	sink := &fakeSink{}
	res := h.run(t, Request{NonIdempotent: true}, sink, Options{})
	if res.Outcome != fleet.Complete || sink.text.String() != words(answerTokens) {
		t.Fatalf("got %+v, text %q", res, sink.text.String())
	}
	if len(first.got()) != 1 || first.gets != 2 || len(second.got()) != 0 || len(h.voided) != 0 {
		t.Fatalf("posts %d, gets %d, second %d, voids %d", len(first.got()), first.gets, len(second.got()), len(h.voided))
	}
}

// Symptom: after its router died, a caller's answer is cut, or two
// generations are spliced. Sequence: another router gets the cursor; per row,
// what is left of the old run. Cause: the rest was taken from whatever could
// be had, not from the same run or from the very text delivered.
func TestAnswerOutlivesItsRouter(t *testing.T) {
	point := ResumePoint{Backend: "e0", Incarnation: "i1", Attempt: 3, Offset: 3, Text: words(3), HaveText: true}
	with := func(f func(*ResumePoint)) *ResumePoint { p := point; f(&p); return &p }
	for _, tc := range []struct {
		name   string
		point  *ResumePoint
		first  act
		once   bool
		want   fleet.Outcome
		places int
		posts  int // at the second engine
	}{
		{name: "run lives", point: &point, want: fleet.Complete, places: 1},
		{name: "run gone", point: &point, first: act{then: "none"}, want: fleet.Complete, places: 1, posts: 1},
		{name: "engine forgotten", point: with(func(p *ResumePoint) { p.Backend = "e9" }), first: act{then: "refuse"}, want: fleet.Complete, places: 1, posts: 1},
		{name: "engine restarted", point: with(func(p *ResumePoint) { p.Incarnation = "i0" }), want: fleet.Complete, places: 1, posts: 1},
		{name: "no text, run gone", point: with(func(p *ResumePoint) { p.HaveText = false }), first: act{then: "none"}, want: fleet.Failed},
		{name: "no text, run breaks later", point: with(func(p *ResumePoint) { p.HaveText = false }), first: act{2, "reset"}, want: fleet.Complete, places: 3},
		{name: "once, run gone", point: &point, once: true, first: act{then: "none"}, want: fleet.Unknown},
		{name: "whole", point: with(func(p *ResumePoint) { p.Finished = true }), first: act{then: "none"}, want: fleet.Complete},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, second := newFakeEngine(t, tc.first), newFakeEngine(t, act{})
			h := &harness{engines: []*fakeEngine{first, second}}
			sink := &fakeSink{}
			res := h.run(t, Request{Resume: tc.point, NonIdempotent: tc.once}, sink, Options{MaxWait: time.Second})
			if res.Outcome != tc.want || len(sink.places) != tc.places || len(second.got()) != tc.posts {
				t.Fatalf("got %+v, places %v, second engine got %d", res, sink.places, len(second.got()))
			}
			if tc.places > 0 && words(3)+sink.text.String() != words(answerTokens) {
				t.Fatalf("text %q", sink.text.String())
			}
			for _, p := range second.got() {
				if p.Ext.Attempt <= point.Attempt || p.Ext.ResumeText != words(3) {
					t.Fatalf("went on with %+v", p.Ext)
				}
			}
		})
	}
}

// Symptom: a caller whose connection broke finds its run cancelled when it
// comes back. Sequence: the sink fails in mid-answer. Cause: a lost caller was
// treated like a lost engine. A passed deadline does cancel.
func TestWhoCancels(t *testing.T) {
	h := &harness{engines: []*fakeEngine{newFakeEngine(t, act{5, "hang"})}}
	res := h.run(t, Request{}, &fakeSink{failAt: 2}, Options{})
	if res.Outcome != fleet.Failed || res.Code != CodeCallerDisconnected || len(h.abandoned) != 0 {
		t.Fatalf("got %+v, abandoned %v", res, h.abandoned)
	}
	res = h.run(t, Request{Deadline: time.Now().Add(100 * time.Millisecond)}, &fakeSink{}, Options{})
	if res.Outcome != fleet.Failed || res.Code != CodeDeadline || len(h.abandoned) != 1 {
		t.Fatalf("got %+v, abandoned %v", res, h.abandoned)
	}
}

// Symptom: a request is dispatched after its deadline. Sequence: the process
// is frozen after the claim and thaws past the deadline; the timer of the
// context hasn't run yet. Cause: only the context was asked, not the clock.
func TestDeadlineIsReadFromTheClock(t *testing.T) {
	x := &run{ctx: t.Context(), req: Request{Deadline: time.Now().Add(-time.Millisecond)}}
	if !x.over() || !errors.Is(x.cause(), ErrDeadline) {
		t.Fatal("a passed deadline went unnoticed")
	}
}

// Symptom: an engine is given up, and all its streams at this router resume
// elsewhere, though it decodes as ever. Sequence: one caller takes no tokens for
// a while, so that nobody reads its stream. Cause: the failure detector wasn't
// told that the silence is the caller's.
func TestSlowCallerIsNoSilence(t *testing.T) {
	// The first engine stops after three tokens with nothing more at hand, so that
	// at least one flush falls into a stream however its tokens arrive.
	h := &harness{silentAfter: 3, engines: []*fakeEngine{newFakeEngine(t, act{3, "hang"}), newFakeEngine(t, act{})}}
	flushes, told := 0, 0
	sink := &fakeSink{flush: func() {
		flushes++
		if h.blocked {
			told++
		}
	}}
	res := h.run(t, Request{}, sink, Options{})
	// The last flush comes after the end of the watch.
	if res.Outcome != fleet.Complete || flushes < 2 || told != flushes-1 || h.blocked {
		t.Errorf("%v: %d of %d flushes told as the caller's time, still blocked: %v", res.Outcome, told, flushes, h.blocked)
	}
}
