package quarantine

import (
	"context"
	"testing"
	"time"

	"wigeondale/fakes/bubble"
	"wigeondale/fleet"
)

// silentProber is a Prober of backend servers, of which "silent" gives no answer.
type silentProber struct{ *fakeProber }

func (p silentProber) Probe(ctx context.Context, b fleet.Backend) State {
	if b.ID == "silent" {
		<-ctx.Done()
		return Unreachable
	}
	return p.fakeProber.Probe(ctx, b)
}

// Guards against a second attempt of a request beside one that goes on after a silence, which ended its turn.
func TestAttemptThatGoesOnAfterASilenceKeepsItsTurn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p := silentProber{&fakeProber{results: map[string]State{}}}
		startedAt := time.Now()
		g := NewGuard(Config{
			Now: func() time.Duration { return time.Since(startedAt) }, Prober: p,
			Leaving:    func(string) bool { return false },
			Neighbours: func(fleet.Backend, int) []fleet.Backend { return nil },
			Broadcast:  func(Update) {},
		})
		first, second := g.Track(subject("bad")), g.Track(subject("bad"))
		for _, id := range []string{"s1", "s2", "s3"} {
			p.set(id, Exited)
			<-g.Track(subject("bad")).Lost(Loss{Backend: fleet.Backend{ID: id, FailureDomain: "d"}, Ran: time.Second})
			time.Sleep(2 * time.Second)
		}
		first.AttemptBegan()
		if second.MayAttempt() {
			t.Fatal("the attempts of the request take no turns")
		}
		first.Lost(Loss{Backend: fleet.Backend{ID: "silent"}, Ran: time.Second}) // the attempt is silent
		time.Sleep(500 * time.Millisecond)
		first.AttemptBegan() // the attempt delivers again
		time.Sleep(1500 * time.Millisecond)
		if second.MayAttempt() {
			t.Error("another attempt may begin")
		}
	})
}
