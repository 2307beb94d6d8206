package hosted

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"wigeondale/directory"
	"wigeondale/generation"
)

// fullPicker has two engines, whose memory is full but for some tokens at each.
func fullPicker(t *testing.T, free int) *picker {
	const memory = 50000
	list := engineList(2, 2)
	p := pickerOf(t, list, memory)
	for _, b := range list {
		p.dir.Begin(b.ID, directory.Load{Memory: float64(memory - free)})
	}
	return p
}

func draftAsk(id string, tokens int) generation.PickRequest {
	return generation.PickRequest{RequestID: id, Service: "llm", PromptTokens: tokens, MaxAnswerTokens: 500, FirstChunkTarget: 4 * time.Second}
}

// Symptom: requests are refused although engines have memory for them. Sequence: a request
// that is larger than what is free anywhere came first. Cause: those behind it only wait.
func TestLargeRequestHoldsUpNobody(t *testing.T) {
	p := fullPicker(t, 8000)
	_, _, err := p.Pick(t.Context(), draftAsk("large", 20000))
	if u, ok := errors.AsType[*generation.Unavailable](err); !ok || !u.Retryable {
		t.Fatalf("the large one: %v", err)
	}
	if _, _, err := p.Pick(t.Context(), draftAsk("small", 5000)); err != nil {
		t.Errorf("the small one: %v", err)
	}
}

// Symptom: a client waits for seconds and is refused then. Sequence: engines are full, ten
// wait and get places at one a second; one more comes. Cause: it is let into the line. It
// must be told at once, with when its turn would come.
func TestTooLateATurnIsRefusedAtOnce(t *testing.T) {
	p := fullPicker(t, 0)
	line := p.queues.of("llm").line
	now := time.Now()
	for i := range 10 {
		line.Poll(fmt.Sprint("q", i), 1, 0, now)
	}
	for i := range 3 {
		id := fmt.Sprint("had", i)
		line.Poll(id, 0, 0, now.Add(-4*time.Second))
		line.Poll(id, 0, 0, now.Add(-4*time.Second))
		line.RecordGrant(id, now.Add(time.Duration(i-3)*time.Second))
	}
	_, _, err := p.Pick(t.Context(), draftAsk("late", 5000))
	u, ok := errors.AsType[*generation.Unavailable](err)
	if !ok || u.Retryable || u.Code != codeOverloaded {
		t.Fatalf("got %v", err)
	}
	if u.RetryAfter < 10*time.Second || u.RetryAfter > 18*time.Second {
		t.Errorf("told to come back after %v", u.RetryAfter)
	}
	started, lost, moved := draftAsk("started", 5000), draftAsk("lost", 5000), draftAsk("moved", 5000)
	started.Resume, lost.LostDomain, moved.MayHaveRun = true, "d0", true
	for _, a := range []generation.PickRequest{started, lost, moved} {
		_, _, err = p.Pick(t.Context(), a)
		if u, ok := errors.AsType[*generation.Unavailable](err); !ok || !u.Retryable {
			t.Errorf("%s: %v", a.RequestID, err)
		}
	}
}

// Symptom: runs are put off for lack of memory while other engines have plenty. Sequence:
// two engines are idle, one of them keeps a copy. Cause: copies counted for nothing, and
// what other routers keep there is known in part.
func TestIdleEngineWithoutCopiesGoesFirst(t *testing.T) {
	p := fullPicker(t, 50000)
	p.dir.Begin("e0", directory.Load{Memory: 6000})
	for i := range 20 {
		b, share, err := p.Pick(t.Context(), draftAsk(fmt.Sprint("q", i), 5000))
		if err != nil || b.ID != "e1" {
			t.Fatalf("got %s, %v", b.ID, err)
		}
		share.End()
	}
}
