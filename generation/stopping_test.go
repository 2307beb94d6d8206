package generation

import (
	"context"
	"testing"
	"time"

	"wigeondale/backend"
	"wigeondale/clock"
	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
	"wigeondale/quarantine"
	"wigeondale/stopping"
)

// slowPicker chooses a backend server after a wait, which the end of the context cuts short.
type slowPicker struct {
	*fakeFleet
	wait time.Duration
}

func (p slowPicker) Pick(ctx context.Context, a PickRequest) (fleet.Backend, LoadShare, error) {
	clock.Sleep(ctx, p.wait)
	return p.fakeFleet.Pick(ctx, a)
}

// cutOffRouter is a Forwarder of a router that is cut off from the moment at which retries get budget.
type cutOffRouter struct {
	w         *fakeFleet
	handovers int
}

func (r *cutOffRouter) CutOff(string) bool                       { return len(r.w.awaited) > 0 }
func (r *cutOffRouter) CheckCutOff(context.Context, string) bool { return r.CutOff("") }
func (r *cutOffRouter) Forward(context.Context, Handover) (ForwardedStream, error) {
	r.handovers++
	return nil, &Unavailable{Err: errNoneLeft}
}

// Guards against requests that wait for something at the signal, begin after it, and can't end for certain before the process does.
func TestRequestsThatWaitAtTheSignalDoNotBegin(t *testing.T) {
	refusal := []script{{openErr: &backend.Refused{Status: 503}}}
	for name, c := range map[string]struct {
		scripts []script
		loan    time.Duration
		change  func(*Deps, *fakeFleet)
		before  int // attempts before the signal
	}{
		"for a choice":     {change: func(d *Deps, w *fakeFleet) { d.Picker = slowPicker{w, time.Second} }},
		"for retry budget": {scripts: refusal, loan: 50 * time.Millisecond, before: 1},
		"for a decision of the guard": {change: func(d *Deps, _ *fakeFleet) {
			d.Guard = quarantine.NewGuard(quarantine.Config{StartWait: time.Second})
		}},
		"for retry budget, and is passed on": {scripts: refusal, loan: 50 * time.Millisecond, before: 1,
			change: func(d *Deps, w *fakeFleet) { d.Forwarder = &cutOffRouter{w: w} }},
	} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				w := &fakeFleet{chunks: 9, scripts: c.scripts, loanAfter: c.loan}
				d := Deps{Admitter: w, Picker: w, Watcher: fleetWatcher{w}, Engines: w, Abandon: w, Budget: w, Stop: stopping.New()}
				if c.change != nil {
					c.change(&d, w)
				}
				r, err := New(d, Options{})
				if err != nil {
					t.Fatal(err)
				}
				time.AfterFunc(20*time.Millisecond, func() {
					d.Stop.Begin(clock.SinceBoot(), clock.SinceBoot()+3*time.Second)
				})
				req := Request{ID: "q", Opaque: &Opaque{Opaque: &backend.Opaque{Streaming: true}, Service: "svc", FirstChunk: 1, MaxAttempts: 5, MaxWait: time.Second}}
				res := r.Run(t.Context(), req, &callerAnswer{})
				r.Wait()
				if f, ok := d.Forwarder.(*cutOffRouter); ok && f.handovers > 0 {
					t.Errorf("was passed on %d times after the signal", f.handovers)
				}
				if len(w.opened) > c.before || res.Outcome != fleet.NotRun || res.Code != CodeStopping {
					t.Errorf("%s (%s) in %d attempts, %d of them before the signal", res.Outcome, res.Code, len(w.opened), c.before)
				}
			})
		})
	}
}
