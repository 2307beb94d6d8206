package hedge

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const pool = "service/tags"

// allowance is a budget of so many second tries.
type allowance struct{ firsts, left int }

func (a *allowance) First() { a.firsts++ }

func (a *allowance) Take() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// hedger knows of latencies of 1 to 100 ms, so that the delay is about 95 ms.
func hedger(budget *allowance) *Hedger {
	h := New(Config{Enabled: true}, budget, metrics.NewSet())
	for i := range 100 {
		h.Observe(pool, time.Duration(i+1)*time.Millisecond, time.Now())
	}
	return h
}

// answers plays two backend servers: each try takes its time or fails.
type answers struct {
	took    [2]time.Duration
	fails   [2]bool
	sent    [2]int
	began   [2]time.Time
	ended   [2]bool // by its context
	dropped int
}

var errBroken = errors.New("broken")

func (a *answers) call(idempotent bool) Call[string] {
	return Call[string]{
		Pool: pool, Idempotent: idempotent,
		HasOther: func() bool { return true },
		Discard:  func(string) { a.dropped++ },
		Try: func(ctx context.Context, second bool) (string, error) {
			n := index(second)
			a.sent[n]++
			a.began[n] = time.Now()
			select {
			case <-ctx.Done():
				a.ended[n] = true
				return "", ctx.Err()
			case <-time.After(a.took[n]):
			}
			if a.fails[n] {
				return "", errBroken
			}
			return [2]string{"first", "second"}[n], nil
		},
	}
}

// Symptom: a slot is booked twice, or a lookup is late although a sibling of
// the slow backend server is idle.
// Sequence: the first try is slower than 95 of 100 calls were; a second one is
// sent after that delay and the winner's answer is taken.
// Cause: for the first symptom, a second try of a call that may not be
// repeated; for the other, none of a call that may.
func TestSecondTries(t *testing.T) {
	const long, short = 10 * time.Second, 10 * time.Millisecond
	rows := []struct {
		name       string
		idempotent bool
		left       int
		plan       answers
		want       string
		sent       int
		ended      [2]bool
		sentCount  uint64
		denied     uint64
	}{
		{"quick", true, 1, answers{took: [2]time.Duration{short, short}}, "first", 1, [2]bool{}, 0, 0},
		{"late, second wins", true, 1, answers{took: [2]time.Duration{long, short}}, "second", 2, [2]bool{true, false}, 1, 0},
		{"late, first wins", true, 1, answers{took: [2]time.Duration{150 * time.Millisecond, long}}, "first", 2, [2]bool{false, true}, 1, 0},
		{"late, budget spent", true, 0, answers{took: [2]time.Duration{long, short}}, "first", 1, [2]bool{}, 0, 1},
		{"late, not idempotent", false, 1, answers{took: [2]time.Duration{long, short}}, "first", 1, [2]bool{}, 0, 0},
		{"first fails after the second was sent", true, 1,
			answers{took: [2]time.Duration{150 * time.Millisecond, long}, fails: [2]bool{true, false}}, "second", 2, [2]bool{}, 1, 0},
		{"first fails early", true, 1, answers{took: [2]time.Duration{short, short}, fails: [2]bool{true, false}}, "", 1, [2]bool{}, 0, 0},
		{"both fail", true, 1,
			answers{took: [2]time.Duration{150 * time.Millisecond, short}, fails: [2]bool{true, true}}, "", 2, [2]bool{}, 1, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				budget := &allowance{left: row.left}
				h := hedger(budget)
				a := row.plan
				got, release, err := Do(t.Context(), h, a.call(row.idempotent))
				synctest.Wait()
				if got != row.want || (err != nil) != (row.want == "") {
					t.Errorf("got %q, error %v; want %q", got, err, row.want)
				}
				sent := a.sent[0] + a.sent[1]
				if sent != row.sent || a.ended != row.ended {
					t.Errorf("sent %d, cancelled %v; want %d, %v", sent, a.ended, row.sent, row.ended)
				}
				if h.sent.Get() != row.sentCount || h.denied.Get() != row.denied {
					t.Errorf("counted %d sent, %d denied", h.sent.Get(), h.denied.Get())
				}
				wait := a.began[1].Sub(a.began[0])
				if sent == 2 && (wait < 90*time.Millisecond || wait > 100*time.Millisecond) {
					t.Errorf("second try after %v", wait)
				}
				if row.idempotent != (budget.firsts == 1) {
					t.Errorf("%d first tries counted", budget.firsts)
				}
				release()
			})
		})
	}
}

// Symptom: the share of hedged calls creeps up until the budget is all that
// holds it.
// Sequence: one call in ten is late; its second try wins quickly; the latency
// that is learned from it is that of the second try.
// Cause: a call won by its second try must count with its whole wait, or the
// percentile falls with each win.
func TestWinsDoNotShortenTheDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := hedger(&allowance{left: 1000})
		for range 200 {
			a := answers{took: [2]time.Duration{time.Minute, time.Millisecond}}
			_, release, err := Do(t.Context(), h, a.call(true))
			if err != nil {
				t.Fatal(err)
			}
			release()
		}
		if d, ok := h.Delay(pool, true); !ok || d < 90*time.Millisecond {
			t.Errorf("the delay fell to %v", d)
		}
	})
}

// Guards against: a call at which a try panics ends each router that its caller sends it to,
// since tries run beside the caller's connection.
func TestPanicOfATryFailsTheCallOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &answers{}
		call := a.call(true)
		call.Try = func(context.Context, bool) (string, error) { panic("as asked") }
		if _, _, err := Do(t.Context(), hedger(&allowance{left: 1}), call); err == nil {
			t.Error("no error")
		}
	})
}
