package quarantine

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// countingProber is a Prober whose probes take a time, and which counts those in progress.
type countingProber struct {
	took             time.Duration
	state            State
	open, most, sent atomic.Int64
}

func (p *countingProber) Probe(context.Context, fleet.Backend) State {
	p.sent.Add(1)
	p.most.Store(max(p.most.Load(), p.open.Add(1)))
	time.Sleep(p.took)
	p.open.Add(-1)
	return p.state
}

// Guards against a connection for each of the requests that a server loses at one moment.
func TestLossesOfOneServerShareProbes(t *testing.T) {
	const losses = 200
	for _, took := range []time.Duration{time.Millisecond, ProbeTimeout} {
		t.Run(fmt.Sprint(took), func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				startedAt := time.Now()
				p := &countingProber{took: took, state: Unreachable}
				g := NewGuard(Config{
					Now: func() time.Duration { return time.Since(startedAt) }, Prober: p,
					Leaving:    func(string) bool { return false },
					Neighbours: func(fleet.Backend, int) []fleet.Backend { return nil },
					Broadcast:  func(Update) {},
				})
				var examined []<-chan struct{}
				for range losses {
					examined = append(examined, g.Track(subject("q")).Lost(Loss{Backend: fleet.Backend{ID: "s", Addr: "h:1"}, Ran: time.Second}))
				}
				for _, done := range examined {
					<-done
				}
				if p.most.Load() > 2 || p.sent.Load() != maxProbes {
					t.Errorf("%d probes, %d at a time, want %d and at most 2", p.sent.Load(), p.most.Load(), maxProbes)
				}
				if took := time.Since(startedAt); took > maxProbes*p.took+(maxProbes-1)*probeInterval {
					t.Errorf("the losses were examined after %v", took)
				}
			})
		})
	}
}

// Guards against a loss that is examined by a probe from long before it.
func TestLaterLossIsProbedAnew(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		p := &countingProber{took: ProbeTimeout, state: Working}
		g := NewGuard(Config{Now: func() time.Duration { return time.Since(startedAt) }, Prober: p})
		go g.probeOnce(fleet.Backend{ID: "s"})
		time.Sleep(sharedProbeAge)
		g.probeOnce(fleet.Backend{ID: "s"})
		if p.sent.Load() != 2 {
			t.Errorf("%d probes, want 2", p.sent.Load())
		}
	})
}
