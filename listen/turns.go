package listen

import (
	"runtime"
	"sync/atomic"
	"time"
)

// turnTime bounds one turn, so that a reader that stops in the middle of a body delays no other one.
const turnTime = 10 * time.Millisecond

// turns lets few goroutines at a time decode what they have read of long requests. Small chunks take much more processor time than
// bytes: without turns, a crowd of such bodies keeps every other goroutine waiting for a whole scheduler slice of each.
type turns chan struct{}

func newTurns() turns { return make(turns, runtime.GOMAXPROCS(0)) }

// turn is the place of one connection in turns.
type turn struct {
	turns turns
	held  atomic.Bool
	timer *time.Timer
}

// begin waits for a turn.
func (t *turn) begin() {
	t.turns <- struct{}{}
	t.held.Store(true)
	if t.timer == nil {
		t.timer = time.AfterFunc(turnTime, t.end)
		return
	}
	t.timer.Reset(turnTime)
}

// end ends the turn, if there is one. It is safe for concurrent use.
func (t *turn) end() {
	if t.held.CompareAndSwap(true, false) {
		<-t.turns
	}
}
