package intent

import (
	"sync"
	"time"
)

// pauseClock detects that the process was suspended and resumed. Without pauseClock, a
// router that resumes after minutes would route by a configuration that was replaced during
// the pause, and send requests to a VM that has left or to a version that was withdrawn.
// pauseClock compares both the monotonic and the wall clock, because the monotonic clock
// stands still in a suspended VM.
type pauseClock struct {
	mu             sync.Mutex
	maxTickGap     time.Duration // a longer gap between ticks counts as a pause
	contactTimeout time.Duration // contact older than this counts as none
	lastTick       time.Time
	lastContact    time.Time
	confirmed      bool
}

func newPauseClock(maxTickGap, contactTimeout time.Duration) *pauseClock {
	return &pauseClock{maxTickGap: maxTickGap, contactTimeout: contactTimeout, lastTick: time.Now()}
}

// elapsed returns the time between from and to: the larger of the difference by the
// monotonic clock and the difference by the wall clock.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// tick records that the process is running at now, and reports whether the process was
// paused since the last tick. The process counts as paused if more than maxTickGap has passed
// since the last tick. After a pause, tick marks the revision as unconfirmed.
func (c *pauseClock) tick(now time.Time) (paused bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	paused = elapsed(c.lastTick, now) > c.maxTickGap
	if paused {
		c.confirmed = false
	}
	c.lastTick = now
	return paused
}

// recordContact records that a message from a peer or the key-value service arrived at now.
// A node whose last contact is older than contactTimeout isn't ready.
func (c *pauseClock) recordContact(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastContact = now
}

// confirm records that this node has read the log or a peer's state, in a call that started
// at startedAt, and that the node's revision is the newest one found there. A call that
// started before a pause proves nothing, because the revision may have been replaced during
// the pause, so confirm then does nothing.
func (c *pauseClock) confirm(startedAt, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if elapsed(c.lastTick, now) > c.maxTickGap || elapsed(startedAt, now) > c.maxTickGap {
		return
	}
	c.confirmed = true
	c.lastContact = now
}

// contactDue reports whether the node should contact the service or a peer now: its
// revision isn't confirmed, or more than half of contactTimeout has passed since the last
// contact.
func (c *pauseClock) contactDue(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.confirmed || elapsed(c.lastContact, now) > c.contactTimeout/2
}

func (c *pauseClock) ready(now time.Time) (bool, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case elapsed(c.lastTick, now) > c.maxTickGap:
		return false, "the process was paused and has not confirmed its revision yet"
	case !c.confirmed:
		return false, "the revision is not confirmed by the key-value service or a peer since a start or pause"
	case elapsed(c.lastContact, now) > c.contactTimeout:
		return false, "neither the key-value service nor any peer can be reached"
	}
	return true, ""
}
