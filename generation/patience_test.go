package generation

import (
	"testing"
	"testing/synctest"
	"time"
)

// Symptom: an answer is cut with "no replica" at the moment at which its silence is noticed,
// though its engine takes the next attempt. Sequence: the machine is busy, so that the
// engine paused before and its next silence is borne for 4.3 s; an answer that has begun
// may wait for 4 s. Cause: the silence counted as waiting.
func TestSilenceIsNoWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Runner{opts: Options{StartedMaxWait: 4 * time.Second}}
		x := newRun(r, t.Context(), Request{ID: "q"}, &fakeSink{})
		x.acc.next = 30
		time.Sleep(4300 * time.Millisecond)
		x.lossCause, x.lostAt = causeSilence, time.Now()
		if got := x.patienceLeft(); got != 4*time.Second {
			t.Errorf("%v are left when the loss is known", got)
		}
		time.Sleep(3 * time.Second)
		if got := x.patienceLeft(); got != time.Second {
			t.Errorf("%v are left after three seconds", got)
		}
	})
}
