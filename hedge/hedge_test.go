package hedge

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/fakes/bubble"
)

const pool = "service/tags"

// fakeBudget is a budget of a fixed number of second tries.
type fakeBudget struct{ firsts, left int }

func (a *fakeBudget) First() { a.firsts++ }

func (a *fakeBudget) Take() bool {
	if a.left == 0 {
		return false
	}
	a.left--
	return true
}

// newHedger returns a Hedger that has observed latencies of 1 to 100 ms, so that its delay is
// about 95 ms.
func newHedger(budget *fakeBudget) *Hedger {
	h := New(Config{Enabled: true}, budget, metrics.NewSet())
	for i := range 100 {
		h.Observe(pool, time.Duration(i+1)*time.Millisecond, time.Now())
	}
	return h
}

// fakeBackends stands in for two backend servers: each try takes the time in took and then
// answers or, if fails is set, returns an error.
type fakeBackends struct {
	took      [2]time.Duration
	fails     [2]bool
	sent      [2]int
	startedAt [2]time.Time
	cancelled [2]bool // by its context
	dropped   int
}

var errBroken = errors.New("broken")

func (a *fakeBackends) call(idempotent bool) Call[string] {
	return Call[string]{
		Pool: pool, Idempotent: idempotent,
		HasOther: func() bool { return true },
		Discard:  func(string) { a.dropped++ },
		Try: func(ctx context.Context, second bool) (string, error) {
			n := index(second)
			a.sent[n]++
			a.startedAt[n] = time.Now()
			select {
			case <-ctx.Done():
				a.cancelled[n] = true
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

// A call that may not be repeated must not be hedged: otherwise both backend servers run
// it, and a call that books a slot books it twice. A call that may be repeated must be
// hedged: otherwise it is slow although another replica is idle. The first try is slower
// than 95 of 100 calls were; a second try is sent after that delay, and the faster answer
// is used.
func TestSecondTries(t *testing.T) {
	const long, short = 10 * time.Second, 10 * time.Millisecond
	rows := []struct {
		name       string
		idempotent bool
		left       int
		plan       fakeBackends
		want       string
		sent       int
		ended      [2]bool
		sentCount  uint64
		denied     uint64
	}{
		{"quick", true, 1, fakeBackends{took: [2]time.Duration{short, short}}, "first", 1, [2]bool{}, 0, 0},
		{"late, second wins", true, 1, fakeBackends{took: [2]time.Duration{long, short}}, "second", 2, [2]bool{true, false}, 1, 0},
		{"late, first wins", true, 1, fakeBackends{took: [2]time.Duration{150 * time.Millisecond, long}}, "first", 2, [2]bool{false, true}, 1, 0},
		{"late, budget spent", true, 0, fakeBackends{took: [2]time.Duration{long, short}}, "first", 1, [2]bool{}, 0, 1},
		{"late, not idempotent", false, 1, fakeBackends{took: [2]time.Duration{long, short}}, "first", 1, [2]bool{}, 0, 0},
		{"first fails after the second was sent", true, 1,
			fakeBackends{took: [2]time.Duration{150 * time.Millisecond, long}, fails: [2]bool{true, false}}, "second", 2, [2]bool{}, 1, 0},
		{"first fails early", true, 1, fakeBackends{took: [2]time.Duration{short, short}, fails: [2]bool{true, false}}, "", 1, [2]bool{}, 0, 0},
		{"both fail", true, 1,
			fakeBackends{took: [2]time.Duration{150 * time.Millisecond, short}, fails: [2]bool{true, true}}, "", 2, [2]bool{}, 1, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				budget := &fakeBudget{left: row.left}
				h := newHedger(budget)
				a := row.plan
				got, release, err := Do(t.Context(), h, a.call(row.idempotent))
				synctest.Wait()
				if got != row.want || (err != nil) != (row.want == "") {
					t.Errorf("got %q, error %v; want %q", got, err, row.want)
				}
				sent := a.sent[0] + a.sent[1]
				if sent != row.sent || a.cancelled != row.ended {
					t.Errorf("sent %d, cancelled %v; want %d, %v", sent, a.cancelled, row.sent, row.ended)
				}
				if h.sent.Get() != row.sentCount || h.denied.Get() != row.denied {
					t.Errorf("counted %d sent, %d denied", h.sent.Get(), h.denied.Get())
				}
				wait := a.startedAt[1].Sub(a.startedAt[0])
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

// One call in ten is slow and its second try wins quickly. If such a call were recorded with
// the latency of the second try instead of the whole wait, each win would lower the
// percentile, and the share of hedged calls would grow until only the budget limits it.
func TestWinsDoNotShortenTheDelay(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		h := newHedger(&fakeBudget{left: 1000})
		for range 200 {
			a := fakeBackends{took: [2]time.Duration{time.Minute, time.Millisecond}}
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

// Tries run in goroutines of their own and not in the goroutine of the caller's connection, so
// an unrecovered panic of a try ends the router process. A call that makes a try panic must
// not end every router to which its caller sends it.
func TestPanicOfATryFailsTheCallOnly(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		a := &fakeBackends{}
		call := a.call(true)
		call.Try = func(context.Context, bool) (string, error) { panic("as asked") }
		if _, _, err := Do(t.Context(), newHedger(&fakeBudget{left: 1}), call); err == nil {
			t.Error("no error")
		}
	})
}
