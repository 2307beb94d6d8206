package event

import (
	"fmt"
	"io"
	"testing"
)

// Logging must not block when the process that reads the log stops reading and the pipe
// is full, or all requests of the node stop.
func TestOutputNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // no reader
	defer r.Close()
	o := NewOutput(w, 1<<20)
	for i := range 10 * outputQueue {
		fmt.Fprintf(o, "line %d\n", i)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.dropped == 0 {
		t.Error("no line was dropped")
	}
}

// A flood of log lines must be limited, or it uses processor time that requests need.
func TestOutputBoundsItsRateAndCounts(t *testing.T) {
	o := &Output{lines: make(chan []byte, 100), rate: 3}
	for range 10 {
		o.queue([]byte("x"), 1)
	}
	if len(o.lines) != 3 {
		t.Errorf("%d lines in a second", len(o.lines))
	}
	if n := o.queue([]byte("x"), 2); n != 7 || len(o.lines) != 4 {
		t.Errorf("reported %d dropped, %d lines queued", n, len(o.lines))
	}
}

// The line that reports dropped lines is written from within the writing of another
// line. This must not deadlock.
func TestDroppedLinesAreTold(t *testing.T) {
	o := NewOutput(io.Discard, 100)
	LogTo(o, 0)
	log := New("n")
	reported := 0
	o.OnDropped = func(n int) {
		reported += n
		log.Emit(LinesDropped, "lines", n)
	}
	o.mu.Lock()
	o.dropped = 5 // in an earlier second
	o.mu.Unlock()
	log.Emit(Started)
	o.Close()
	if reported != 5 {
		t.Errorf("reported %d dropped", reported)
	}
}
