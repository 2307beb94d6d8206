// Package bubble runs tests in bubbles of testing/synctest, also with the race detector.
//
// All timers of a bubble run with one thread context of the race detector, and a timer that is already due runs in the goroutine
// that resets or reads it. If two goroutines of a bubble do so at the same moment, the detector itself crashes (SIGSEGV in
// __tsan::SlotLock), without a report and without a failed test. So while a bubble runs with the detector, one processor executes all
// goroutines. The detector compares the order that synchronization gives, and needs no goroutines that run at the same moment.
package bubble

import (
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
)

// Test runs f in a bubble, as synctest.Test does.
func Test(t *testing.T, f func(t *testing.T)) {
	t.Helper()
	if raceDetector {
		processors.limit()
		defer processors.release()
	}
	synctest.Test(t, f)
}

var processors limiter

// limiter limits the processors of the process to one while bubbles run.
type limiter struct {
	mu      sync.Mutex
	bubbles int
	before  int // processors without bubbles
}

func (l *limiter) limit() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bubbles == 0 {
		l.before = runtime.GOMAXPROCS(1)
	}
	l.bubbles++
}

func (l *limiter) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bubbles--
	if l.bubbles == 0 {
		runtime.GOMAXPROCS(l.before)
	}
}
