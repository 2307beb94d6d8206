package event

import (
	"io"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/klog/v2/textlogger"
)

// outputQueue is how many lines may wait for the reader of the output.
const outputQueue = 512

// Output writes log lines in a goroutine of its own.
//
// What goes wrong without it: whoever reads the log stops reading, the pipe
// fills up, and the next request that logs a line stands still. It shows as a
// node on which all requests stop at the same moment. Lines beyond the queue,
// or beyond the rate, are dropped and counted.
type Output struct {
	// OnDropped, set before use, is told once a second how many lines were
	// dropped in the second before, if any. Its own line is not counted.
	OnDropped func(n int)

	lines chan []byte
	done  chan struct{}
	rate  int

	mu      sync.Mutex
	second  int64
	written int
	dropped int
	closed  bool
}

// NewOutput writes up to rate lines a second to w.
func NewOutput(w io.Writer, rate int) *Output {
	o := &Output{lines: make(chan []byte, outputQueue), done: make(chan struct{}), rate: rate}
	go o.run(w)
	return o
}

func (o *Output) run(w io.Writer) {
	defer close(o.done)
	for line := range o.lines {
		// Nobody is left to tell when the log itself can't be written.
		_, _ = w.Write(line)
	}
}

// Write implements io.Writer. It never blocks and never fails.
func (o *Output) Write(line []byte) (int, error) {
	dropped := o.queue(line, time.Now().Unix())
	if dropped > 0 && o.OnDropped != nil {
		o.OnDropped(dropped)
	}
	return len(line), nil
}

// queue takes the line, or drops it. At the first line of a second it returns
// how many were dropped before.
func (o *Output) queue(line []byte, now int64) (dropped int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now != o.second {
		o.second, o.written = now, 0
		dropped, o.dropped = o.dropped, 0
	}
	if o.closed || o.written >= o.rate {
		o.dropped++
		return dropped
	}
	select {
	case o.lines <- append([]byte(nil), line...):
		o.written++
	default:
		o.dropped++
	}
	return dropped
}

// Close waits for the lines that were taken.
func (o *Output) Close() {
	o.mu.Lock()
	o.closed = true
	close(o.lines)
	o.mu.Unlock()
	select {
	case <-o.done:
	case <-time.After(time.Second): // the reader is gone
	}
}

// LogTo sends all log lines to w, as structured text.
func LogTo(w io.Writer, verbosity int) {
	cfg := textlogger.NewConfig(textlogger.Output(w), textlogger.Verbosity(verbosity))
	klog.SetLoggerWithOptions(textlogger.NewLogger(cfg))
}
