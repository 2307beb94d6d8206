package bounded

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"
)

// Guards against messages that hold more memory together than they may, against ones that wait for each other for good, and
// against memory that isn't given back.
func TestMessagesShareTheMemory(t *testing.T) {
	const limit, largest, messages = 1 << 20, 512 << 10, 60
	for seed := range uint64(20) {
		p := NewPool(limit, "test", nil)
		rng := rand.New(rand.NewPCG(seed, 1))
		var all sync.WaitGroup
		var mu sync.Mutex
		peak := int64(0)
		for i := range messages {
			size, sender := rng.IntN(largest), fmt.Sprint("s", rng.IntN(3))
			all.Go(func() {
				h := p.Hold(sender)
				defer h.Close()
				body := io.MultiReader(bytes.NewReader(make([]byte, size/2)), bytes.NewReader(make([]byte, size-size/2)))
				got, err := ReadHeld(t.Context(), body, -1, largest, h)
				used, _ := p.Usage()
				mu.Lock()
				peak = max(peak, used)
				mu.Unlock()
				if err != nil || len(got) != size {
					t.Errorf("seed %d, message %d: %d bytes of %d, %v", seed, i, len(got), size, err)
				}
			})
		}
		all.Wait()
		if most := int64(limit + 2*largest + messages*smallMessage); peak > most {
			t.Errorf("seed %d: %d bytes at once, want at most %d", seed, peak, most)
		}
		if used, waiting := p.Usage(); used != 0 || waiting != 0 || len(p.bySender) != 0 {
			t.Errorf("seed %d: %d bytes and %d waits are left", seed, used, waiting)
		}
	}
}

// Guards against a faulty sender whose messages take the memory that those of others need, one after the other.
func TestEndlessMessageEndsTheWaitsOfItsSender(t *testing.T) {
	p := NewPool(1<<20, "test", nil)
	first, second, other := p.Hold("bad"), p.Hold("bad"), p.Hold("good")
	for _, h := range []*Hold{first, other} {
		if err := h.Grow(t.Context(), 512<<10); err != nil {
			t.Fatal(err)
		}
	}
	waits := make(chan error, 1)
	go func() { waits <- second.Grow(t.Context(), 100<<10) }()
	for {
		if _, waiting := p.Usage(); waiting == 1 || len(waits) > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if len(waits) == 0 {
		first.Endless()
	}
	// The oldest message that waits may use the reserve, so the wait may also end with memory.
	if err := <-waits; err != nil && !errors.Is(err, ErrEndless) {
		t.Errorf("got %v", err)
	}
	ctx, stop := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer stop()
	third := p.Hold("bad")
	if err := third.Grow(ctx, 1<<20); err != nil && !errors.Is(err, ErrNoMemory) {
		t.Errorf("got %v", err)
	}
}
