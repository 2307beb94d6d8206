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
		name string
		work Work
		want time.Duration
	}{
		{"ends by itself before", Work{EndsBy: 99 * time.Second}, end},
		{"may end later", Work{EndsBy: 101 * time.Second}, 0},
		{"may end later, expected before", Work{EndsBy: 101 * time.Second, Expected: 3 * time.Second}, 97 * time.Second},
		{"nothing known", Work{}, 0},
	} {
		if got := c.work.latestBegin(end); got != c.want {
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
		wait, doneWaiting := g.UntilLatestBegin(t.Context(), func() Work { return Work{Expected: 2 * time.Second} })
		defer doneWaiting()
		if !g.MayBegin(func() Work { return Work{} }) || ctx.Err() != nil || wait.Err() != nil {
			t.Fatal("limited before the stop")
		}
		now := clock.SinceBoot()
		g.Begin(now+time.Second, now+5*time.Second)
		never, doneNever := g.UntilLatestBegin(t.Context(), func() Work { return Work{} })
		defer doneNever()
		synctest.Wait()
		if !errors.Is(context.Cause(never), ErrStopping) || wait.Err() != nil {
			t.Error("work that can't end in time waits, or work that can doesn't")
		}
		time.Sleep(3100 * time.Millisecond)
		if !errors.Is(context.Cause(wait), ErrStopping) || ctx.Err() != nil {
			t.Error("a wait outlasts the latest begin, or a run ends with it")
		}
		time.Sleep(2 * time.Second)
		if !errors.Is(context.Cause(ctx), ErrStopping) {
			t.Error("a run outlasts the process")
		}
	})
}

// Guards against an expected time that is too short since few, old or no durations are known.
func TestExpectedDurationCoversRecentWork(t *testing.T) {
	d := NewDurations()
	if _, known := d.Expected("s"); known {
		t.Error("known without any work")
	}
	for i := range 100 {
		d.Add("s", time.Duration(i)*10*time.Millisecond)
	}
	d.Add("other", time.Minute)
	if got, known := d.Expected("s"); !known || got < 900*time.Millisecond || got > 1100*time.Millisecond {
		t.Errorf("expected %v", got)
	}
}
