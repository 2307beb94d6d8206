package event

import (
	"io"
	"sync"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/klog/v2/textlogger"
)

// outputQueue is the number of lines that may wait to be written.
const outputQueue = 512

// Output writes log lines in its own goroutine.
//
// If the process that reads the log stops reading, the pipe fills up, and without
// Output the next request that logs a line blocks: all requests of the node stop at the
// same moment. Lines beyond the queue or the rate are dropped and counted.
type Output struct {
	// OnDropped, if set before use, is called at most once a second with the number of lines
	// dropped since its last call, if any. The number does not include the line that
	// OnDropped logs itself.
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

// NewOutput returns an Output that writes up to rate lines per second to w.
func NewOutput(w io.Writer, rate int) *Output {
	o := &Output{lines: make(chan []byte, outputQueue), done: make(chan struct{}), rate: rate}
	go o.run(w)
	return o
}

func (o *Output) run(w io.Writer) {
	defer close(o.done)
	for line := range o.lines {
		// An error can't be reported when the log itself can't be written.
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

// queue queues the line, or drops it if the queue is full, the rate is reached or the
// Output is closed. At the first line of a second it returns the number of lines that were
// dropped before, and starts to count again from 0. At other lines it returns 0.
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

// Close waits until the queued lines are written, for a second at most.
func (o *Output) Close() {
	o.mu.Lock()
	o.closed = true
	close(o.lines)
	o.mu.Unlock()
	select {
	case <-o.done:
	case <-time.After(time.Second): // the reader has stopped reading
	}
}

// LogTo writes all log lines to w as structured text.
func LogTo(w io.Writer, verbosity int) {
	cfg := textlogger.NewConfig(textlogger.Output(w), textlogger.Verbosity(verbosity))
	klog.SetLoggerWithOptions(textlogger.NewLogger(cfg))
}
