package stopping

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"wigeondale/clock"
	"wigeondale/fakes/bubble"
)

// Guards against work that begins although it ends after the process, and against refusals of work that ends before.
func TestWorkBeginsIfItEndsInTime(t *testing.T) {
	end := 100 * time.Second
	for _, c := range []struct {
		name   string
		endsBy time.Duration
		want   time.Duration
	}{
		{"ends by itself before", 99 * time.Second, end},
		{"ends by itself with the process", end, end},
		{"may end later", 101 * time.Second, 0},
		{"nothing known", 0, 0},
	} {
		if got := latestBegin(c.endsBy, end); got != c.want {
			t.Errorf("%s: may begin until %v, want %v", c.name, got, c.want)
		}
	}
}

// Guards against requests that wait for a server when they can't end any more, and against runs that are open when the process ends.
func TestContextsEndBeforeTheProcess(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		g := New()
		ctx, done := g.UntilEnd(t.Context())
		defer done()
		now := clock.SinceBoot()
		wait, doneWaiting := g.UntilLatestBegin(t.Context(), func() time.Duration { return now + 4*time.Second })
		defer doneWaiting()
		unbounded := func() time.Duration { return 0 }
		if !g.MayBegin(unbounded) || ctx.Err() != nil || wait.Err() != nil {
			t.Fatal("limited before the stop")
		}
		g.Begin(now+time.Second, now+5*time.Second)
		never, doneNever := g.UntilLatestBegin(t.Context(), unbounded)
		defer doneNever()
		synctest.Wait()
		if !errors.Is(context.Cause(never), ErrStopping) || wait.Err() != nil {
			t.Error("work that can't end in time waits, or work that can doesn't")
		}
		time.Sleep(4900 * time.Millisecond)
		if wait.Err() != nil || ctx.Err() != nil {
			t.Error("a wait or a run ends before the process")
		}
		time.Sleep(200 * time.Millisecond)
		if !errors.Is(context.Cause(ctx), ErrStopping) || !errors.Is(context.Cause(wait), ErrStopping) {
			t.Error("a run or a wait outlasts the process")
		}
	})
}

// Guards against work that begins before a kill of which it isn't known when it comes, and against runs that are ended early for it.
func TestWithoutAKnownKillOnlyOpenWorkGoesOn(t *testing.T) {
	bubble.Test(t, func(t *testing.T) {
		g := New()
		ctx, done := g.UntilEnd(t.Context())
		defer done()
		soon := func() time.Duration { return clock.SinceBoot() + time.Millisecond }
		wait, doneWaiting := g.UntilLatestBegin(t.Context(), soon)
		defer doneWaiting()
		g.BeginWithoutEnd(clock.SinceBoot() + time.Second)
		time.Sleep(time.Hour)
		if g.MayBegin(soon) || !errors.Is(context.Cause(wait), ErrStopping) {
			t.Error("work begins after the signal")
		}
		if ctx.Err() != nil {
			t.Error("a run is ended")
		}
	})
}
