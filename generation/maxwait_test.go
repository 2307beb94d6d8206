package generation

import (
	"testing"
	"time"

	"wigeondale/fakes/bubble"
)

// The machine is busy. The engine paused before, so the failure detector tolerates the
// engine's next silence for 4.3 s. A started answer may wait for only 4 s. If the silence
// counted as part of this wait, the answer would be truncated with "no replica" as soon as the
// silence is detected, although its engine would accept the next attempt.
func TestSilenceIsNoWait(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		r := &Runner{opts: Options{StartedMaxWait: 4 * time.Second}}
		x := newRun(r, t.Context(), Request{ID: "q"}, &fakeSink{})
		x.filter.next = 30
		time.Sleep(4300 * time.Millisecond)
		x.lossCause, x.lostAt = causeSilence, time.Now()
		if got := x.waitLeft(); got != 4*time.Second {
			t.Errorf("%v are left when the loss is noticed", got)
		}
		time.Sleep(3 * time.Second)
		if got := x.waitLeft(); got != time.Second {
			t.Errorf("%v are left after three seconds", got)
		}
	})
}
