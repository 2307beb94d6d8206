package bounded

import (
	"context"
	"testing"
	"time"
)

// reviewPool has a message that arrived about 0.1 s before another one needs memory.
func reviewPool(t *testing.T) (*Pool, *bool) {
	p := NewPool(1<<20, "test", nil)
	reserve := p.Hold("") // uses the reserve, so that others have to wait
	_ = reserve.Grow(context.Background(), 1)
	p.mu.Lock()
	p.oldest = reserve
	p.mu.Unlock()
	dropped := new(bool)
	return p, dropped
}

// Guards against a complete request that can't take memory from incomplete ones, because it is complete for a while.
func TestCompleteMessageTakesMemoryOfSlowOnes(t *testing.T) {
	p, _ := reviewPool(t)
	var slow *Hold
	given := make(chan struct{})
	slow = p.HoldInput(Input{GiveUp: func() { close(given); slow.Close() }})
	whole := p.HoldInput(Input{MaxWait: 300 * time.Millisecond, GiveUp: func() {}})
	whole.Received(100)
	_ = whole.Grow(context.Background(), 100)
	whole.Complete()
	time.Sleep(time.Second) // the handler works
	slow.Received(1)
	_ = slow.Grow(context.Background(), 700<<10)
	time.Sleep(900 * time.Millisecond) // the other stands still for 0.9 s
	if err := whole.Grow(context.Background(), 200<<10); err != nil {
		t.Errorf("a complete message gets no memory beside one that stands still: %v", err)
	}
}

// Guards against a message that is given up as slow right after it waited for memory, which is no fault of its client.
func TestMessageThatWaitedForMemoryIsNotSlow(t *testing.T) {
	p, _ := reviewPool(t)
	given := make(chan struct{})
	var waited *Hold
	waited = p.HoldInput(Input{GiveUp: func() { close(given); waited.Close() }})
	other := p.Hold("x")
	_ = other.Grow(context.Background(), 512<<10)
	waited.Received(300 << 10)
	_ = waited.Grow(context.Background(), 200<<10)
	go func() { time.Sleep(900 * time.Millisecond); other.Close() }()
	if err := waited.Grow(context.Background(), 400<<10); err != nil {
		t.Fatal(err)
	}
	newcomer := p.HoldInput(Input{MaxWait: 100 * time.Millisecond, GiveUp: func() {}})
	newcomer.Received(1)
	_ = newcomer.Grow(context.Background(), 300<<10)
	select {
	case <-given:
		t.Error("a message that waited 0.9 s for memory and sent all it could is given up for one that sent a byte")
	default:
	}
}
