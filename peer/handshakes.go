package peer

import (
	"context"
	"errors"
	"slices"
	"sync"
)

var errTooManyHandshakes = errors.New("given up for a newer handshake")

// handshakes bounds the accepted connections that have not proved the key. The oldest is given up for a new one: a handshake takes a few
// round trips, so that one that lasts is likely to stand still.
type handshakes struct {
	most int

	mu      sync.Mutex
	running []*context.CancelCauseFunc // the oldest first
}

// begin returns the context of a new handshake and a function that ends it.
func (h *handshakes) begin(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.running) >= h.most {
		(*h.running[0])(errTooManyHandshakes)
		h.running = slices.Delete(h.running, 0, 1)
	}
	h.running = append(h.running, &cancel)
	return ctx, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		cancel(nil)
		h.running = slices.DeleteFunc(h.running, func(c *context.CancelCauseFunc) bool { return c == &cancel })
	}
}
