package forward

import (
	"context"
	"errors"
	"io"
	"testing"

	"wigeondale/backend"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// Guards against a request that is run from another chunk than its client wants, because the message doesn't state one.
func TestStartMessageWithoutAPositionIsNotRun(t *testing.T) {
	stream := func(change func(*opaqueStart)) startMessage {
		o := &opaqueStart{Method: "POST", Service: "llm", Streaming: true, Resumable: true, FirstChunk: 1}
		change(o)
		return startMessage{ID: "q", Opaque: o}
	}
	answer := func(p *resumePoint) startMessage { return startMessage{ID: "q", Model: &modelStart{}, Resume: p} }
	for name, c := range map[string]struct {
		m    startMessage
		want bool
	}{
		"new stream":                 {stream(func(*opaqueStart) {}), true},
		"rest of a stream":           {stream(func(o *opaqueStart) { o.FirstChunk, o.HasPartialAnswer = 13, true }), true},
		"after the last number":      {stream(func(o *opaqueStart) { o.FirstChunk, o.HasPartialAnswer = maxChunk+1, true }), true},
		"plain request":              {startMessage{ID: "q", Opaque: &opaqueStart{Method: "GET", Service: "app"}}, true},
		"no id":                      {startMessage{Opaque: &opaqueStart{Method: "GET", Service: "app"}}, false},
		"no first chunk":             {stream(func(o *opaqueStart) { o.FirstChunk = 0 }), false},
		"negative first chunk":       {stream(func(o *opaqueStart) { o.FirstChunk = -12 }), false},
		"huge first chunk":           {stream(func(o *opaqueStart) { o.FirstChunk, o.HasPartialAnswer = maxChunk+2, true }), false},
		"a part, from its start":     {stream(func(o *opaqueStart) { o.HasPartialAnswer = true }), false},
		"no part, from its middle":   {stream(func(o *opaqueStart) { o.FirstChunk = 13 }), false},
		"rest that can't be resumed": {stream(func(o *opaqueStart) { o.FirstChunk, o.HasPartialAnswer, o.Resumable = 13, true, false }), false},
		"two kinds of request":       {startMessage{ID: "q", Opaque: &opaqueStart{}, Model: &modelStart{}}, false},
		"negative time":              {startMessage{ID: "q", Model: &modelStart{}, TimeLeftMS: -1}, false},
		"new answer":                 {answer(nil), true},
		"rest of an answer":          {answer(&resumePoint{Offset: 12, Attempt: 1}), true},
		"negative offset":            {answer(&resumePoint{Offset: -1}), false},
		"negative attempt":           {answer(&resumePoint{Attempt: -1}), false},
	} {
		a, b := newPipe()
		ran := false
		if err := a.Send(t.Context(), c.m); err != nil {
			t.Fatal(err)
		}
		New(Config{}).Serve(t.Context(), "n1", b, runnerFunc(func(context.Context, generation.Request, generation.Sink) generation.Result {
			ran = true
			return generation.Result{Outcome: fleet.Complete}
		}))
		var end answerMessage
		if err := a.Receive(t.Context(), aliveTimeout, &end); err != nil {
			t.Fatal(err)
		}
		if ran != c.want || !ran && (end.Outcome != fleet.NotRun || end.Code != codeInvalid) {
			t.Errorf("%s: ran %v, outcome %q, code %q", name, ran, end.Outcome, end.Code)
		}
	}
}

// Guards against an answer of another router that counts as complete although its end, or what it is the end of, wasn't stated.
func TestAnswerWithoutAStatedEndIsNotComplete(t *testing.T) {
	begin := answerMessage{Kind: answerBegin, Backend: "b1", Status: 200}
	token := answerMessage{Kind: answerToken, Index: 1, Text: []byte("t")}
	end := answerMessage{Kind: answerEnd, Outcome: fleet.Complete}
	for name, c := range map[string]struct {
		messages []answerMessage
		want     bool
	}{
		"whole":               {[]answerMessage{begin, token, end}, true},
		"no outcome":          {[]answerMessage{begin, token, {Kind: answerEnd}}, false},
		"unknown outcome":     {[]answerMessage{begin, token, {Kind: answerEnd, Outcome: "completed"}}, false},
		"unknown kind":        {[]answerMessage{begin, token, {Kind: answerEnd + 1, Outcome: fleet.Complete}, end}, false},
		"negative index":      {[]answerMessage{begin, {Kind: answerToken, Index: -1}, end}, false},
		"token of no attempt": {[]answerMessage{token, begin, end}, false},
		"end of no attempt":   {[]answerMessage{end}, false},
	} {
		a, b := newPipe()
		for _, m := range c.messages {
			if err := b.Send(t.Context(), m); err != nil {
				t.Fatal(err)
			}
		}
		b.Close()
		s := &stream{conn: a, ctx: t.Context()}
		var err error
		for err == nil {
			_, err = s.Next()
		}
		if complete := errors.Is(err, io.EOF); complete != c.want {
			t.Errorf("%s: %v", name, err)
		}
		_, ended := errors.AsType[*generation.RemoteEnd](err)
		if !c.want && !ended && !errors.Is(err, backend.ErrBroken) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a router that joins an answer of another form to a stream, since it isn't told what its caller has.
func TestFormOfTheStreamIsPassedOn(t *testing.T) {
	for _, want := range []*backend.Form{nil, {Status: 200}, {Status: 200, MediaType: backend.EventStream}} {
		for _, oneVersion := range []bool{true, false} {
			req := generation.Request{ID: "q", Opaque: &generation.Opaque{
				Opaque: &backend.Opaque{Streaming: true, Resumable: true}, FirstChunk: 4, HasPartialAnswer: true, Form: want,
			}}
			start, body := encode(generation.Handover{Request: req}, 1, oneVersion)
			got := start.request(body).Opaque.Form
			if (got == nil) != (want == nil) || got != nil && *got != *want {
				t.Errorf("got %v, want %v", got, want)
			}
		}
	}
}
