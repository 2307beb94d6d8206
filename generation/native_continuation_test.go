package generation

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"wigeondale/fleet"
)

// unfitAnswers returns answers to a request for the rest of an attempt, none of which is its rest.
func unfitAnswers() map[string]func(http.ResponseWriter, post) {
	out := map[string]func(http.ResponseWriter, post){
		"the caller's tokens": func(w http.ResponseWriter, p post) {
			for i := range 3 {
				emit(w, p.Ext.RequestID, p.Ext.Attempt, i)
			}
			io.WriteString(w, "data: [DONE]\n\n")
		},
	}
	bodies := []string{"", "ERRORTEXT", `{"error":{"code":"overloaded"}}`, "data: ERRORTEXT\n\n", "data: [DONE]\n\n", "HTTP/1.1 404 X\r\n\r\nERRORTEXT"}
	add := func(status int, mediaType, body string) {
		out[fmt.Sprintf("%d %s %q", status, mediaType, body)] = func(w http.ResponseWriter, _ post) {
			w.Header().Set("Content-Type", mediaType)
			w.WriteHeader(status)
			_, _ = io.WriteString(w, body) // some statuses have no body
		}
	}
	for n, body := range bodies {
		add(200, "application/json", body)
		add(200, "text/event-stream", body)
		for status := 201; status < 600; status++ {
			if status%len(bodies) == n { // each status with one of the bodies
				add(status, "text/event-stream", body)
			}
		}
	}
	return out
}

// Guards against an engine's answer that isn't the rest of an attempt being joined to it, or ending it as complete.
func TestUnfitAnswerOfAnEngineIsNotJoined(t *testing.T) {
	for name, answer := range unfitAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			engine := func(behaviors ...behavior) *fakeEngine {
				e := newFakeEngine(t, behaviors...)
				e.unfit = answer
				return e
			}
			broken, unfit := behavior{tokens: 3, fault: "reset"}, behavior{fault: "unfit"}
			resumed := harness{engines: []*fakeEngine{engine(broken), engine(unfit), engine(behavior{})}}
			attached := harness{engines: []*fakeEngine{engine(broken, unfit)}}
			passedOn := harness{engines: []*fakeEngine{engine(broken)}}
			passedOn.forwarder = &otherRouter{
				harness: harness{engines: []*fakeEngine{engine(unfit)}},
				cutOff:  func() bool { return len(passedOn.engines[0].got()) > 0 },
			}
			if res := checkJoined(t, &resumed, Request{}); res.Outcome != fleet.Complete {
				t.Errorf("it didn't go on at a sound engine: %s", res.Outcome)
			}
			checkJoined(t, &attached, Request{NonIdempotent: true})
			checkJoined(t, &passedOn, Request{})
		})
	}
}

// checkJoined runs a request and checks that its answer is a part of the sound one, and all of it if it is complete.
func checkJoined(t *testing.T, h *harness, req Request) Result {
	t.Helper()
	sink := &fakeSink{}
	res := h.run(t, req, sink, Options{StartedMaxWait: 5 * time.Millisecond, MaxWait: 5 * time.Millisecond})
	got := sink.text.String()
	if !strings.HasPrefix(answerText(answerTokens), got) || (res.Outcome == fleet.Complete) != (got == answerText(answerTokens)) || got == "" {
		t.Errorf("%s with %q", res.Outcome, got)
	}
	return res
}
