package hosted

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeondale/directory"
	"wigeondale/fakes/bubble"
	"wigeondale/generation"
)

// herdLoad is a load that a single node receives, on engines that have room for all of it.
type herdLoad struct {
	engines   int
	perSecond int           // requests
	fullFor   time.Duration // the engines have no room for this long at the start
	length    time.Duration // of the load
	prefill   time.Duration // time to the first chunk
	decode    time.Duration // time from the first chunk to the end
}

// herdResult counts the requests of a load.
type herdResult struct {
	sent, granted, refused int
	longestWait            time.Duration
}

// simulate sends the requests of a load through a picker, each as a run of package generation does.
func (l herdLoad) simulate(t *testing.T) (out herdResult) {
	bubble.Test(t, func(t *testing.T) {
		p := pickerOf(t, engineList(l.engines, 4), 50000)
		rng := rand.New(rand.NewPCG(1, uint64(l.perSecond)))
		type end struct {
			granted bool
			waited  time.Duration
		}
		ends := make(chan end)
		out.sent = int(l.length.Seconds() * float64(l.perSecond))
		l.fill(p)
		gap := time.Second / time.Duration(l.perSecond)
		for i := range out.sent {
			seed := rng.Uint64()
			go func() {
				time.Sleep(time.Duration(i) * gap)
				granted, waited := l.send(t.Context(), p, fmt.Sprint("q", i), rand.New(rand.NewPCG(seed, 1)))
				ends <- end{granted, waited}
			}()
		}
		for range out.sent {
			e := <-ends
			out.longestWait = max(out.longestWait, e.waited)
			if e.granted {
				out.granted++
			} else {
				out.refused++
			}
		}
		time.Sleep(l.prefill + l.decode) // the last runs end
	})
	return out
}

// fill reserves the memory of all engines for fullFor.
func (l herdLoad) fill(p *picker) {
	for _, b := range engineList(l.engines, 4) {
		share := p.dir.Begin(b.ID, directory.Load{Memory: 50000})
		time.AfterFunc(l.fullFor, share.End)
	}
}

// send has a request wait for an engine, and runs it there.
func (l herdLoad) send(ctx context.Context, p *picker, id string, rng *rand.Rand) (granted bool, waited time.Duration) {
	const minDelay = 20 * time.Millisecond // of generation, between two tries
	began := time.Now()
	for {
		_, share, err := p.Pick(ctx, newPickRequest(id, 1500))
		if err == nil {
			go l.run(share)
			return true, time.Since(began)
		}
		u, ok := errors.AsType[*generation.Unavailable](err)
		if !ok || !u.Retryable || time.Since(began) > 2*time.Second {
			return false, time.Since(began)
		}
		d := max(u.RetryAfter, minDelay)
		time.Sleep(d/2 + time.Duration(rng.Float64()*float64(d)/2))
	}
}

func (l herdLoad) run(share generation.LoadShare) {
	time.Sleep(l.prefill)
	share.PrefillDone()
	time.Sleep(l.decode)
	share.End()
}

// Guards against a node that gets most requests of a fleet refusing them while the engines that it knows have room.
func TestOneNodeUsesTheRoomThatItSees(t *testing.T) {
	for name, l := range map[string]herdLoad{
		"40 engines":    {engines: 40, perSecond: 400, length: 4 * time.Second, prefill: 20 * time.Millisecond, decode: 400 * time.Millisecond, fullFor: 300 * time.Millisecond},
		"300 engines":   {engines: 300, perSecond: 1500, length: 2 * time.Second, prefill: 60 * time.Millisecond, decode: 400 * time.Millisecond, fullFor: 300 * time.Millisecond},
		"1,000 engines": {engines: 1000, perSecond: 3000, length: time.Second, prefill: 60 * time.Millisecond, decode: 400 * time.Millisecond, fullFor: 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			out := l.simulate(t)
			t.Logf("%+v", out)
			if float64(out.granted) < herdAim*float64(out.sent) {
				t.Errorf("%d of %d requests get an engine, %d are refused", out.granted, out.sent, out.refused)
			}
		})
	}
}

// herdAim is the least share of requests that get an engine where engines have room.
const herdAim = 0.95
