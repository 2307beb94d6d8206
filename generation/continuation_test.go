package generation

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeondale/backend"
	"wigeondale/fleet"
)

func headOf(status int, mediaType string) *backend.Head {
	h := &backend.Head{Status: status, Header: http.Header{}}
	if mediaType != "" {
		h.Header.Set("Content-Type", mediaType)
	}
	return h
}

// Guards against a stream that goes on with an answer of another form, or that such an answer ends.
func TestStreamGoesOnWithItsOwnFormOnly(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := &fakeFleet{chunks: 9, budget: 9, scripts: []script{{
			head: headOf(200, "text/event-stream; charset=utf-8"), lastChunk: rapid.IntRange(1, 8).Draw(rt, "breaks off after"), err: errBroken,
		}}}
		sound := headOf(200, "Text/Event-Stream")
		for range rapid.IntRange(0, 4).Draw(rt, "unfit") {
			s := script{head: headOf(rapid.IntRange(200, 599).Draw(rt, "status"), rapid.SampledFrom([]string{"", "text/plain", "application/json"}).Draw(rt, "type"))}
			if rapid.Bool().Draw(rt, "complete") {
				s.complete = "an error"
			}
			w.scripts = append(w.scripts, s)
		}
		for range 5 {
			w.scripts = append(w.scripts, script{head: sound})
		}
		var res Result
		var out *callerAnswer
		synctestRun(t, func() { res, out = w.run(t, nil) })
		if !strings.HasPrefix(chunkText(9), out.text) {
			rt.Fatalf("got %q", out.text)
		}
		wantsWhole := len(w.scripts)-6 < 4 // of five attempts one is sound
		if whole := out.text == chunkText(9); whole != (res.Outcome == fleet.Complete) || wantsWhole && !whole {
			rt.Fatalf("%s with %q in %d attempts", res.Outcome, out.text, len(w.opened))
		}
	})
}

// Guards against a stream that ends as complete because another backend server has nothing to add, or repeats what the client has.
func TestAnswerWithoutAChunkEndsNoStream(t *testing.T) {
	for name, rest := range map[string]script{"empty": {lastChunk: 4, err: io.EOF}, "repeated chunks": {resent: 3, lastChunk: 4, err: io.EOF}} {
		t.Run(name, func(t *testing.T) {
			w := &fakeFleet{chunks: 9, budget: 9, scripts: []script{{lastChunk: 4, err: errBroken}, rest, rest}}
			if res, out := w.run(t, nil); res.Outcome != fleet.Complete || out.text != chunkText(9) {
				t.Errorf("%s with %q", res.Outcome, out.text)
			}
			w = &fakeFleet{chunks: 9, budget: 9, scripts: []script{{lastChunk: 4, err: errBroken}, rest, rest, rest, rest}}
			if res, out := w.run(t, nil); res.Outcome != fleet.Failed || out.text != chunkText(4) || len(w.opened) != 5 {
				t.Errorf("%s with %q in %d attempts", res.Outcome, out.text, len(w.opened))
			}
		})
	}
}

// Guards against a stream that is broken off although its first backend server has stated its end, and a second one that nothing is left.
func TestStatedEndIsConfirmedByASecondServer(t *testing.T) {
	empty := script{lastChunk: 4, err: io.EOF}
	w := &fakeFleet{chunks: 9, budget: 9, scripts: []script{{lastChunk: 4, err: backend.ErrBehindEnd}, empty}}
	if res, out := w.run(t, nil); res.Outcome != fleet.Complete || out.text != chunkText(4) || len(w.opened) != 2 {
		t.Errorf("%s with %q in %d attempts", res.Outcome, out.text, len(w.opened))
	}
	w = &fakeFleet{chunks: 9, budget: 9, scripts: []script{{lastChunk: 4, err: backend.ErrBehindEnd}, {lastChunk: 6, err: errBroken}, empty, empty, empty}}
	w.scripts[2].lastChunk, w.scripts[3].lastChunk, w.scripts[4].lastChunk = 6, 6, 6
	if res, out := w.run(t, nil); res.Outcome != fleet.Failed || out.text != chunkText(6) {
		t.Errorf("a later attempt has more: %s with %q", res.Outcome, out.text)
	}
}

// Guards against a stream that a client takes up and that one backend server ends with nothing, although others have the rest; and against a
// client that has all chunks and never gets the end.
func TestEmptyTakeUpIsConfirmed(t *testing.T) {
	empty := script{head: headOf(200, backend.EventStream), lastChunk: 4, err: io.EOF}
	for name, c := range map[string]struct {
		scripts  []script
		attempts int // allowed
		want     string
		opened   int
	}{
		"one server has nothing":      {[]script{empty}, 5, "5 6 7 8 9 ", 2},
		"two servers have nothing":    {[]script{empty, empty}, 5, "", 2},
		"no other may be asked":       {[]script{empty}, 1, "", 1},
		"the others are lost":         {[]script{empty, {openErr: errBroken}, {openErr: errBroken}}, 3, "", 3},
		"another type":                {[]script{{head: headOf(200, "application/json")}}, 5, "5 6 7 8 9 ", 2},
		"an error is passed on":       {[]script{{head: headOf(404, "text/plain"), complete: "not found"}}, 5, "not found", 1},
		"an error after an empty one": {[]script{empty, {head: headOf(404, "text/plain"), complete: "not found"}}, 5, "not found", 2},
	} {
		t.Run(name, func(t *testing.T) {
			w := &fakeFleet{chunks: 9, budget: 9, scripts: c.scripts}
			res, out := w.run(t, func(r *Request) {
				r.Opaque.FirstChunk, r.Opaque.HasPartialAnswer, r.Opaque.MaxAttempts = 5, true, c.attempts
			})
			if res.Outcome != fleet.Complete || out.text != c.want || len(w.opened) != c.opened {
				t.Errorf("%s with %q in %d attempts, want %q in %d", res.Outcome, out.text, len(w.opened), c.want, c.opened)
			}
		})
	}
}

// Guards against the answer of a silent attempt being joined to a stream while another backend server is looked for.
func TestAnswerOfTheSilentServerIsNotJoined(t *testing.T) {
	w := &silentFleet{
		fakeFleet: fakeFleet{chunks: 9, budget: 9}, headDelay: 400 * time.Millisecond,
		servers: []silentServer{
			{silentAt: 4, silence: time.Millisecond, crash: errBroken},
			{silentAt: 1, silence: 1200 * time.Millisecond, head: headOf(404, "text/plain")},
		},
	}
	w.expectComplete(t)
	if len(w.opened) != 3 {
		t.Errorf("%d attempts", len(w.opened))
	}
}

// Guards against a stream that another router, of an earlier build, has joined with an answer of another form.
func TestWhatAnotherRouterJoinedIsNotPassedOn(t *testing.T) {
	for name, rest := range map[string][]joinedPart{
		"at once":     {{headOf(404, ""), backend.Token{Index: 5, Text: []byte("not found"), Finish: "whole"}}},
		"later":       {{&okHead, backend.Token{Index: 5, Text: []byte("5 ")}}, {headOf(404, ""), backend.Token{Index: 6, Text: []byte("not found"), Finish: "whole"}}},
		"a mark":      {{&okHead, backend.Token{Index: 5, Text: []byte("not found"), Finish: "whole"}}},
		"no chunk":    {{&okHead, backend.Token{}}},
		"other media": {{headOf(200, "text/plain"), backend.Token{Index: 5, Text: []byte("not found")}}},
	} {
		t.Run(name, func(t *testing.T) {
			w := &silentFleet{fakeFleet: fakeFleet{chunks: 9, budget: 9}, servers: []silentServer{{silentAt: 5, silence: time.Millisecond, crash: errBroken}}}
			other := &joiningRouter{w: w, rest: rest}
			w.wire = func(d *Deps) { d.Forwarder = other }
			res, out := w.play(t, nil)
			if res.Outcome == fleet.Complete || !strings.HasPrefix(chunkText(9), out.text) {
				t.Errorf("%s with %q", res.Outcome, out.text)
			}
			if form := other.form; form == nil || *form != okHead.Form() {
				t.Errorf("the other router was told the form %v", form)
			}
		})
	}
}

// Guards against an answer that a router of an earlier build joins to its stream, since the router to which it passes the stream on takes it
// for a first answer.
func TestStreamOfARouterThatStatesNoFormIsNotJoined(t *testing.T) {
	notFound := script{head: headOf(404, "text/plain"), complete: "not found"}
	for beganAs, want := range map[string]string{"q": "5 6 7 8 9 ", "another": "not found"} {
		w := &fakeFleet{chunks: 9, budget: 9, scripts: []script{notFound, {head: headOf(200, backend.EventStream)}}}
		res, out := w.run(t, func(r *Request) {
			r.Forwarded, r.Opaque.FirstChunk, r.Opaque.HasPartialAnswer, r.Opaque.BeganAs = true, 5, true, beganAs
		})
		if res.Outcome != fleet.Complete || out.text != want {
			t.Errorf("began as %s: %s with %q, want %q", beganAs, res.Outcome, out.text, want)
		}
	}
}

// Guards against a connection that ends without the head and the chunks of a stream that broke off while they were received together.
func TestChunksBeforeABreakAreFlushed(t *testing.T) {
	w := &fakeFleet{chunks: 9, budget: 9, scripts: []script{{lastChunk: 4, err: errBroken, buffered: true}, {openErr: errBroken}}}
	res, out := w.run(t, func(r *Request) { r.Opaque.MaxAttempts = 2 })
	if res.Outcome != fleet.Failed || out.flushed != chunkText(4) {
		t.Errorf("%s, the caller has %q", res.Outcome, out.flushed)
	}
}

// joinedPart is what another router delivers from one of its attempts: a chunk, or none if it has no text.
type joinedPart struct {
	head  *backend.Head
	chunk backend.Token
}

// joiningRouter is a Forwarder of a router that is cut off after its first attempt.
type joiningRouter struct {
	w    *silentFleet
	rest []joinedPart
	form *backend.Form
}

func (f *joiningRouter) CutOff(string) bool                       { return len(f.w.opened) > 0 }
func (f *joiningRouter) CheckCutOff(context.Context, string) bool { return f.CutOff("") }
func (f *joiningRouter) Forward(_ context.Context, h Handover) (ForwardedStream, error) {
	f.form = h.Request.Opaque.Form
	return &joinedStream{parts: f.rest, head: f.rest[0].head}, nil
}

type joinedStream struct {
	parts []joinedPart
	head  *backend.Head
}

func (s *joinedStream) Next() (backend.Token, error) {
	if len(s.parts) == 0 || len(s.parts[0].chunk.Text) == 0 {
		return backend.Token{}, io.EOF
	}
	part := s.parts[0]
	s.parts, s.head = s.parts[1:], part.head
	return part.chunk, nil
}

func (s *joinedStream) Buffered() bool      { return false }
func (s *joinedStream) Incarnation() string { return "" }
func (s *joinedStream) Head() *backend.Head { return s.head }
func (s *joinedStream) Close() error        { return nil }
func (s *joinedStream) Router() string      { return "n2" }
func (s *joinedStream) Origin() Position    { return Position{Backend: "b2"} }
