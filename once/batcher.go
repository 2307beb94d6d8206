package once

import (
	"context"
	"slices"
	"sync"
)

// waiter is one operation in a batcher's queue or in the batch that is being sent; the
// goroutine that submitted the operation waits for its result.
type waiter struct {
	op   Op
	done chan Result // capacity 1, so that run does not block if the caller has stopped waiting
}

// batcher collects operations while the previous batch is being sent, and then sends the
// collected operations as the next batch. At most one batch is being sent at a time. So the
// number of writes depends on the elapsed time and not on the number of operations.
type batcher struct {
	send     func([]Op) []Result
	maxOps   int
	maxQueue int

	mu    sync.Mutex
	queue []*waiter
	busy  bool
}

// submit sends op with the next batch and waits for its result. If ctx ends while op is
// still queued, submit removes op from the queue, so that op is never written.
func (b *batcher) submit(ctx context.Context, op Op) Result {
	w, ok := b.enqueue(op)
	if !ok {
		return Result{Code: CodeUnavailable}
	}
	return b.wait(ctx, w)
}

// submitAll enqueues all operations before it waits for their results, so that the
// operations share a batch.
func (b *batcher) submitAll(ctx context.Context, ops []Op) []Result {
	waiters := make([]*waiter, len(ops))
	for i, op := range ops {
		waiters[i], _ = b.enqueue(op)
	}
	results := make([]Result, len(ops))
	for i, w := range waiters {
		results[i] = Result{Code: CodeUnavailable}
		if w != nil {
			results[i] = b.wait(ctx, w)
		}
	}
	return results
}

func (b *batcher) enqueue(op Op) (*waiter, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.maxQueue {
		return nil, false
	}
	w := &waiter{op: op, done: make(chan Result, 1)}
	b.queue = append(b.queue, w)
	if !b.busy {
		b.busy = true
		go b.run()
	}
	return w, true
}

func (b *batcher) wait(ctx context.Context, w *waiter) Result {
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
	}
	if b.dequeue(w) {
		return Result{Code: CodeUnavailable}
	}
	return Result{Code: CodeUnknown}
}

func (b *batcher) dequeue(w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.queue, w)
	if i < 0 {
		return false
	}
	b.queue = slices.Delete(b.queue, i, i+1)
	return true
}

func (b *batcher) run() {
	for {
		batch := b.nextBatch()
		if len(batch) == 0 {
			return
		}
		ops := make([]Op, len(batch))
		for i, w := range batch {
			ops[i] = w.op
		}
		for i, r := range b.send(ops) {
			batch[i].done <- r
		}
	}
}

func (b *batcher) nextBatch() []*waiter {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.queue), b.maxOps)
	if n == 0 {
		b.busy = false
		return nil
	}
	batch := slices.Clone(b.queue[:n])
	b.queue = slices.Delete(b.queue, 0, n)
	return batch
}

// repeatResult returns n results with the same code.
func repeatResult(n int, c Code) []Result {
	results := make([]Result, n)
	for i := range results {
		results[i].Code = c
	}
	return results
}
