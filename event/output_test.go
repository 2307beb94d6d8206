package event

import (
	"fmt"
	"io"
	"testing"
)

// Symptom: all requests of a node stand still. Sequence: whoever reads the log
// stops reading. Cause: a log line waits for the pipe.
func TestOutputNeverBlocks(t *testing.T) {
	r, w := io.Pipe() // nobody reads
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

// Symptom: a flood of lines costs the processor that requests need.
func TestOutputBoundsItsRateAndCounts(t *testing.T) {
	o := &Output{lines: make(chan []byte, 100), rate: 3}
	for range 10 {
		o.queue([]byte("x"), 1)
	}
	if len(o.lines) != 3 {
		t.Errorf("%d lines in a second", len(o.lines))
	}
	if n := o.queue([]byte("x"), 2); n != 7 || len(o.lines) != 4 {
		t.Errorf("told of %d dropped, %d lines", n, len(o.lines))
	}
}

// Symptom: a node stands still at the first line after lines were dropped. Cause:
// the line that tells their number is written within the writing of another.
func TestDroppedLinesAreTold(t *testing.T) {
	o := NewOutput(io.Discard, 100)
	LogTo(o, 0)
	log := New("n")
	told := 0
	o.OnDropped = func(n int) {
		told += n
		log.Emit(LinesDropped, "lines", n)
	}
	o.mu.Lock()
	o.dropped = 5 // in an earlier second
	o.mu.Unlock()
	log.Emit(Started)
	o.Close()
	if told != 5 {
		t.Errorf("told of %d", told)
	}
}
