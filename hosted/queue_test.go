package hosted

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"wigeondale/directory"
	"wigeondale/generation"
	"wigeondale/schedule"
)

// fullPicker returns a picker with two engines, whose memory is full except for the given
// number of tokens at each engine.
func fullPicker(t *testing.T, free int) *picker {
	const memory = 50000
	list := engineList(2, 2)
	p := pickerOf(t, list, memory)
	for _, b := range list {
		p.dir.Begin(b.ID, directory.Load{Memory: float64(memory - free)})
	}
	return p
}

func newPickRequest(id string, tokens int) generation.PickRequest {
	return generation.PickRequest{RequestID: id, Service: "llm", PromptTokens: tokens, MaxAnswerTokens: 500, FirstChunkTarget: 4 * time.Second}
}

// Requests must not be refused while engines have memory for them. The fault is that a request
// larger than the free memory of any engine arrived first and blocks the requests behind it.
func TestLargeRequestHoldsUpNobody(t *testing.T) {
	p := fullPicker(t, 8000)
	_, _, err := p.Pick(t.Context(), newPickRequest("large", 20000))
	if u, ok := errors.AsType[*generation.Unavailable](err); !ok || !u.Retryable {
		t.Fatalf("the large one: %v", err)
	}
	if _, _, err := p.Pick(t.Context(), newPickRequest("small", 5000)); err != nil {
		t.Errorf("the small one: %v", err)
	}
}

// A client must not wait for seconds and then be refused. Engines are full, ten requests wait
// and one is admitted each second; one more request arrives. It must be refused at once, with
// the time at which its position would be reached.
func TestTooLateATurnIsRefusedAtOnce(t *testing.T) {
	p := fullPicker(t, 0)
	waitQueue := p.queues.of("llm").waitQueue
	now := time.Now()
	for i := range 10 {
		waitQueue.Poll(schedule.Item{ID: fmt.Sprint("q", i), Stage: schedule.New, FirstTry: now}, now)
	}
	for i := range 3 {
		id := fmt.Sprint("had", i)
		waitQueue.Poll(schedule.Item{ID: id, FirstTry: now.Add(-4 * time.Second)}, now.Add(-4*time.Second))
		waitQueue.Poll(schedule.Item{ID: id, FirstTry: now.Add(-4 * time.Second)}, now.Add(-4*time.Second))
		waitQueue.RecordGrant(id, now.Add(time.Duration(i-3)*time.Second))
	}
	_, _, err := p.Pick(t.Context(), newPickRequest("late", 5000))
	u, ok := errors.AsType[*generation.Unavailable](err)
	if !ok || u.Retryable || u.Code != codeOverloaded {
		t.Fatalf("got %v", err)
	}
	if u.RetryAfter < 10*time.Second || u.RetryAfter > 18*time.Second {
		t.Errorf("told to come back after %v", u.RetryAfter)
	}
	started, lost, moved := newPickRequest("started", 5000), newPickRequest("lost", 5000), newPickRequest("moved", 5000)
	started.Resume, lost.LostDomain, moved.MayHaveRun = true, "d0", true
	for _, a := range []generation.PickRequest{started, lost, moved} {
		_, _, err = p.Pick(t.Context(), a)
		if u, ok := errors.AsType[*generation.Unavailable](err); !ok || !u.Retryable {
			t.Errorf("%s: %v", a.RequestID, err)
		}
	}
}

// Runs must not be preempted for lack of memory while other engines have plenty. Two engines
// are idle, and one of them keeps a copy: the other must be chosen. Copies must count, since a
// router knows only part of the copies of other routers.
func TestIdleEngineWithoutCopiesGoesFirst(t *testing.T) {
	p := fullPicker(t, 50000)
	p.dir.Begin("e0", directory.Load{Memory: 6000})
	for i := range 20 {
		b, share, err := p.Pick(t.Context(), newPickRequest(fmt.Sprint("q", i), 5000))
		if err != nil || b.ID != "e1" {
			t.Fatalf("got %s, %v", b.ID, err)
		}
		share.End()
	}
}
