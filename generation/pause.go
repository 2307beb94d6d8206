package generation

import "time"

// afterPauseWindow is the time after a silence that may have been a pause of this process
// during which a loss is still attributed to that pause.
const afterPauseWindow = time.Second

// awaitCallerDisconnect is used when a stream breaks. If the break comes during or just after
// a silence that may have been a pause of this process, awaitCallerDisconnect waits for up to
// CallerGrace. In that time the router can notice that the caller has disconnected too.
//
// It guards against this sequence: this process is paused in mid-stream. Its caller continues
// through another router, which takes over the engine's stream. When this process resumes, it
// finds both connections closed. If this process handled the engine's closed connection first,
// it would continue the answer on another engine for a caller that has left, and cancel the
// run that the other router is reading. The symptom would be further attempts although no
// engine failed.
//
// A break in a flowing stream needs no wait, since its caller was connected a moment ago.
func (x *run) awaitCallerDisconnect() {
	now := time.Now()
	longSilence := maxElapsed(now, x.lastToken) > x.opts.PauseGap
	afterPause := !x.pauseEndedAt.IsZero() && now.Sub(x.pauseEndedAt) < afterPauseWindow
	if !longSilence && !afterPause {
		return
	}
	t := time.NewTimer(x.opts.CallerGrace)
	defer t.Stop()
	select {
	case <-x.ctx.Done():
	case <-t.C:
	}
}

// maxElapsed returns the longer of the elapsed times by the monotonic clock, which may stand
// still while a VM is paused, and by the wall clock, which may be set back.
func maxElapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}
