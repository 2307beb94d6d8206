package generation

import (
	"context"
	"errors"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/fleet"
)

// leavingCaller is a harness whose caller disconnects shortly after the loss was reported.
type leavingCaller struct {
	*harness
	leave context.CancelFunc
}

func (l *leavingCaller) Result(_ string, err error) {
	if err != nil {
		l.leave()
	}
}

// After a pause of this process, a generation must not be started again on another engine for
// a caller that has left, nor may the stream that another router reads be cancelled. During
// the pause the caller continued through another router, which took over the stream. After the
// pause, the broken stream is noticed first, and the loss must not be handled before the
// caller's disconnect can be noticed.
func TestLossAfterOwnPauseWaitsForTheCaller(t *testing.T) {
	first, second := newFakeEngine(t, behavior{3, "reset"}), newFakeEngine(t, behavior{})
	ctx, disconnect := context.WithCancel(t.Context())
	h := &harness{engines: []*fakeEngine{first, second}}
	l := &leavingCaller{h, func() { time.AfterFunc(10*time.Millisecond, disconnect) }}
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
		t.Errorf("cancelled %v, started again %v", h.abandoned, second.got())
	}
}
