package bounded

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/fakes/bubble"
)

// input returns the Hold of a message that is closed when it is given up, as its reader does.
func input(p *Pool, givenUp *atomic.Int64) *Hold {
	var h *Hold
	h = p.HoldInput(Input{MaxWait: time.Second, GiveUp: func() {
		givenUp.Add(1)
		h.Close()
	}})
	return h
}

// arrive records n bytes that arrive and take as much memory.
func arrive(t *testing.T, h *Hold, n int64) {
	t.Helper()
	h.Received(n)
	if err := h.Grow(t.Context(), n); err != nil {
		t.Fatal(err)
	}
}

// Guards against messages that stand still and keep the memory from those that come later, be these small or large.
func TestMessageThatStandsStillIsGivenUp(t *testing.T) {
	for name, size := range map[string]int64{"small": 8 << 10, "large": 300 << 10} {
		t.Run(name, func(t *testing.T) {
			bubble.Test(t, func(t *testing.T) {
				p, stalled := NewPool(1<<20, "test", nil), atomic.Int64{}
				for p.used+15<<10 <= p.limit {
					arrive(t, input(p, &stalled), 15<<10)
				}
				time.Sleep(100 * time.Millisecond)
				arrive(t, input(p, new(atomic.Int64)), size)
				synctest.Wait()
				if stalled.Load() == 0 {
					t.Error("no message was given up")
				}
				if stalled.Load() > size/(15<<10)+20 {
					t.Errorf("%d messages were given up for %d bytes", stalled.Load(), size)
				}
			})
		})
	}
}

// Guards against a slow message within the limits that is given up although nothing needs its memory, and against the loss of one that is
// complete or still arrives while another one stands still.
func TestOnlyTheSlowestMessageIsGivenUp(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p, lost, stalled := NewPool(1<<20, "test", nil), atomic.Int64{}, atomic.Int64{}
		slow, still, complete := input(p, &lost), input(p, &stalled), input(p, &lost)
		arrive(t, complete, 200<<10)
		complete.Complete()
		time.Sleep(time.Second)
		arrive(t, still, 300<<10)
		for range 60 {
			arrive(t, slow, 100)
			time.Sleep(time.Second)
		}
		if stalled.Load()+lost.Load() != 0 {
			t.Fatal("a message was given up although there was memory")
		}
		arrive(t, slow, 100)
		arrive(t, input(p, &lost), 400<<10)
		synctest.Wait()
		if stalled.Load() != 1 || lost.Load() != 0 {
			t.Errorf("%d messages that stand still and %d others were given up", stalled.Load(), lost.Load())
		}
	})
}

// Guards against small messages that wait behind large ones which hold or await all memory.
func TestSmallMessagePassesLargeOnes(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p, lost := NewPool(1<<20, "test", nil), atomic.Int64{}
		for range 3 {
			h := input(p, &lost)
			arrive(t, h, 250<<10)
			h.Complete()
		}
		for range 40 {
			h := input(p, &lost)
			h.Complete()
			go h.Grow(context.Background(), smallMessage+1)
		}
		synctest.Wait()
		for range 100 {
			arrive(t, input(p, &lost), 2<<10)
		}
		if _, waiting := p.Usage(); waiting == 0 {
			t.Error("no large message waits")
		}
		time.Sleep(time.Minute)
	})
}

// Guards against a wait for memory that counts the time of the client: a message that has arrived for long may still wait as long as others.
func TestWaitForMemoryBeginsWithTheWait(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		p, lost := NewPool(1<<20, "test", nil), atomic.Int64{}
		slow, other := input(p, &lost), input(p, &lost)
		arrive(t, slow, 20<<10)
		time.Sleep(5 * time.Second)
		arrive(t, other, 700<<10)
		other.Complete()
		first := input(p, &lost)
		go first.Grow(context.Background(), 500<<10) // it gets the reserve
		synctest.Wait()
		time.AfterFunc(900*time.Millisecond, func() { other.Close(); first.Close() })
		slow.Received(200 << 10)
		if err := slow.Grow(t.Context(), 200<<10); err != nil {
			t.Errorf("got %v", err)
		}
		if err := slow.Grow(t.Context(), 2<<20); err != nil && !errors.Is(err, ErrNoMemory) {
			t.Errorf("got %v", err)
		}
	})
}

// Guards against a message that counts as complete after it was given up, so that its request runs while its connection ends.
func TestMessageThatWasGivenUpIsNotComplete(t *testing.T) {
	p := NewPool(1<<20, "test", nil)
	given := make(chan struct{})
	h := p.HoldInput(Input{GiveUp: func() { close(given) }})
	if !h.Complete() {
		t.Error("a message that has arrived isn't complete")
	}
	h = p.HoldInput(Input{GiveUp: func() { close(given) }})
	arrive(t, h, 700<<10)
	time.Sleep(2 * steadyGap)
	other := p.HoldInput(Input{})
	go other.Grow(t.Context(), 700<<10)
	<-given
	if h.Complete() {
		t.Error("a message that was given up is complete")
	}
	h.Close()
}
