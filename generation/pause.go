package generation

import "time"

// awakeFor is how long after a silence its cause may still lead to a loss.
const awakeFor = time.Second

// awaitCaller gives the news that the caller is gone a moment to arrive, when a
// stream breaks after a silence that may have been this process's own pause.
//
// What goes wrong without it: this process is paused in mid-stream. Its caller
// goes on through another router, which takes the engine's stream over. On
// waking, both connections are found closed. If the engine's is noticed first,
// the answer is begun on another engine for nobody, and the run that the other
// router reads is cancelled. It would show as attempts without a failed engine.
// A break in a flowing stream doesn't wait: its caller was there a moment ago.
func (x *run) awaitCaller() {
	now := time.Now()
	silent := sinceBoth(now, x.lastToken) > x.opts.PauseGap
	awoke := !x.awoke.IsZero() && now.Sub(x.awoke) < awakeFor
	if !silent && !awoke {
		return
	}
	t := time.NewTimer(x.opts.CallerGrace)
	defer t.Stop()
	select {
	case <-x.ctx.Done():
	case <-t.C:
	}
}

// sinceBoth is the longer of the times by the monotonic clock, which may stand
// still while a VM is paused, and by the wall clock, which may be set back.
func sinceBoth(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
