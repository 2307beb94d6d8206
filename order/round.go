package order

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"wigeondale/fleet"
	"wigeondale/intent"
)

// round queries the engines that are due and sends the orders that follow from the answers,
// if this router has a tenure and its desired state is up to date.
func (e *Executor) round(ctx context.Context) {
	fence, ok := e.fence()
	if !ok || !e.cfg.UpToDate() {
		return
	}
	e.roundAt(ctx, fence, time.Now())
}

// roundAt runs a round that started at now.
func (e *Executor) roundAt(ctx context.Context, fence uint64, now time.Time) {
	if fence != e.progressOf || e.schedule == nil {
		e.progress, e.schedule, e.progressOf = Progress{}, NewSchedule(now), fence
	}
	e.mu.Lock()
	e.rounds++
	e.mu.Unlock()
	s := e.cfg.State()
	v := e.readFleet(ctx, s, now)
	steps := Next(s, v, e.cfg.Policy, &e.progress, time.Now())
	e.send(ctx, steps)
}

// readFleet queries the engines that are due. For the other engines it uses their last
// answers.
func (e *Executor) readFleet(ctx context.Context, s *intent.State, now time.Time) View {
	v := View{Backends: e.cfg.List(), Weights: e.sizes(ctx)}
	for {
		due := e.schedule.Due(s, v.Backends, e.cfg.Incarnation, now)
		if len(due) == 0 {
			break
		}
		e.queryStatus(ctx, due)
	}
	v.Status = e.schedule.status
	return v
}

func (e *Executor) queryStatus(ctx context.Context, due []fleet.Backend) {
	var mu sync.Mutex
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for _, b := range due {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, e.cfg.Policy.OrderDeadline)
			defer cancel()
			st, err := e.cfg.Backends.Status(ctx, b)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				e.schedule.RecordFailure(b.ID)
				return nil // the schedule makes the engine due again
			}
			e.schedule.RecordAnswer(b.ID, st)
			return nil
		})
	}
	_ = g.Wait()
}

// sizes returns the sizes of the weights. It waits no longer than the deadline of an order,
// because a slow weight store must not delay orders that load nothing.
func (e *Executor) sizes(ctx context.Context) map[string]int64 {
	ctx, cancel := context.WithTimeout(ctx, e.cfg.Policy.OrderDeadline)
	defer cancel()
	return e.cfg.Sizes(ctx)
}
