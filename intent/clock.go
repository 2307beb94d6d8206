package intent

import (
	"sync"
	"time"
)

// pauseClock notices that the process was stopped and then went on as if
// nothing had happened. Without it a router thawed after minutes would route by
// a configuration that was replaced long ago; the symptom is a request sent to a
// VM that has left or a version that was withdrawn. Both the monotonic and the
// wall clock are compared, since the former stands still in a suspended VM.
type pauseClock struct {
	mu        sync.Mutex
	bound     time.Duration // a gap between ticks above this is a pause
	silence   time.Duration // contact older than this counts as none
	lastTick  time.Time
	lastHeard time.Time
	confirmed bool
}

func newPauseClock(bound, silence time.Duration) *pauseClock {
	return &pauseClock{bound: bound, silence: silence, lastTick: time.Now()}
}

// elapsed is the larger of the monotonic and the wall clock's difference.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// tick notes that the process runs, and reports whether it was paused before.
func (c *pauseClock) tick(now time.Time) (paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	paused = elapsed(c.lastTick, now) > c.bound
	if paused {
		c.confirmed = false
	}
	c.lastTick = now
	return paused
}

// contact notes that a peer or the service was heard.
func (c *pauseClock) contact(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastHeard = now
}

// confirm notes that the revision was found to be the newest by an exchange
// that began at began. One that began before a pause proves nothing.
func (c *pauseClock) confirm(began, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if elapsed(c.lastTick, now) > c.bound || elapsed(began, now) > c.bound {
		return
	}
	c.confirmed = true
	c.lastHeard = now
}

// silent reports whether contact should be sought before it counts as lost.
func (c *pauseClock) silent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmed || elapsed(c.lastHeard, now) > c.silence/2
}

func (c *pauseClock) ready(now time.Time) (bool, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case elapsed(c.lastTick, now) > c.bound:
		return false, "the process was paused and has not confirmed its revision yet"
	case !c.confirmed:
		return false, "the revision is not confirmed by the key-value service or a peer since a start or pause"
	case elapsed(c.lastHeard, now) > c.silence:
		return false, "neither the key-value service nor any peer can be reached"
	}
	return true, ""
}
