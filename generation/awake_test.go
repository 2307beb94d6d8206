package generation

import (
	"context"
	"errors"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// leaver is a harness whose caller is seen to have left only after the loss.
type leaver struct {
	*harness
	leave context.CancelFunc
}

func (l *leaver) Result(_ string, err error) {
	if err != nil {
		l.leave()
	}
}

// Symptom: a second draft begins on another engine, and the stream that another
// router reads is cancelled.
// Sequence: this process is paused; its caller goes on at another router, which
// takes the stream over; on waking, the broken stream is noticed first.
// Cause: the loss was acted on before news of the caller could arrive.
func TestLossAfterOwnPauseWaitsForTheCaller(t *testing.T) {
	first, second := newFakeEngine(t, act{3, "reset"}), newFakeEngine(t, act{})
	ctx, gone := context.WithCancel(t.Context())
	h := &harness{engines: []*fakeEngine{first, second}}
	l := &leaver{h, func() { time.AfterFunc(10*time.Millisecond, gone) }}
	client := backend.NewClient()
	defer client.CloseIdle()
	r, err := New(Deps{Admitter: h, Claims: h, Picker: h, Watcher: l, Engines: Native{client}, Abandon: h, Budget: h},
		Options{PauseGap: 1, CallerGrace: time.Hour})
	if err != nil {
		t.Fatal(err)
	}
	res := r.Run(ctx, Request{ID: "r", Ref: ref, Prompt: "prompt", MaxTokens: 100}, &fakeSink{})
	if res.Outcome != fleet.Failed || res.Code != CodeCallerDisconnected || !errors.Is(res.Err, ErrCallerDisconnected) {
		t.Errorf("got %+v", res)
	}
	if len(h.abandoned) != 0 || len(second.got()) != 0 {
		t.Errorf("cancelled %v, begun again %v", h.abandoned, second.got())
	}
}
