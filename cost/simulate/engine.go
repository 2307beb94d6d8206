package simulate

import (
	"slices"
	"time"

	"wigeondale/fleet"
)

// The engines are those of a customer of the design page: memory for 55,000 tokens, 16 runs. Prompts are read one after the
// other, which slows the runs.
const (
	engineMemory   = 55_000
	engineRuns     = 16
	readPerSecond  = 5000.0
	pacePerSecond  = 40.0 // tokens a second of a run that is alone
	slowdownPerRun = 0.03 // by each further run
	slowdownByRead = 0.4  // while a prompt is read
	tokensPerChunk = 6
	reportAge      = 300 * time.Millisecond
)

type engine struct {
	waiting, running []*stream
	report           fleet.EngineState
	truth            float64 // tokens that all runs together will need, at the time of the report
	reportedAt       time.Duration
	preempted        int
}

func (e *engine) used() float64 {
	var sum float64
	for _, s := range e.running {
		sum += s.held()
	}
	for _, s := range e.waiting {
		sum += s.held()
	}
	return sum
}

// step moves the engine on by one tick. Streams that have ended are passed to ended.
func (e *engine) step(now time.Duration, ended func(*stream)) {
	e.read(now)
	pace := pacePerSecond / (1 + slowdownPerRun*float64(len(e.running)))
	if len(e.waiting) > 0 {
		pace *= 1 - slowdownByRead
	}
	grow := pace * tick.Seconds()
	for e.used()+grow*float64(len(e.running)) > engineMemory && len(e.running) > 1 {
		e.preempt()
	}
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool {
		s.generated += grow
		if s.generated < s.length {
			return false
		}
		ended(s)
		return true
	})
	if now-e.reportedAt >= reportAge {
		e.makeReport(now)
	}
}

// read reads the first waiting prompt, as long as there is room for it.
func (e *engine) read(now time.Duration) {
	if len(e.waiting) == 0 || len(e.running) >= engineRuns {
		return
	}
	s := e.waiting[0]
	part := min(readPerSecond*tick.Seconds(), s.toRead-s.read)
	if e.used()+part > engineMemory && len(e.running) > 0 {
		return
	}
	s.read += part
	if s.read < s.toRead {
		return
	}
	e.waiting = e.waiting[1:]
	e.running = append(e.running, s)
	if s.firstAt == 0 {
		s.firstAt = now
	}
}

// preempt takes the newest run out of memory. Its prompt and what it has generated are read again.
func (e *engine) preempt() {
	last := len(e.running) - 1
	s := e.running[last]
	e.running = e.running[:last]
	s.read, s.toRead, s.preempted = 0, s.prompt+s.generated, true
	e.preempted++
	e.waiting = append(e.waiting, s)
}

func (e *engine) makeReport(now time.Duration) {
	e.reportedAt = now
	e.report = fleet.EngineState{MemoryUsed: int(e.used())}
	e.truth = 0
	for _, s := range e.running {
		e.report.Runs = append(e.report.Runs, fleet.RunState{Memory: int(s.held()), Chunks: int(s.generated / tokensPerChunk)})
	}
	for _, s := range append(slices.Clone(e.waiting), e.running...) {
		e.truth += s.prompt + s.length
	}
	if len(e.waiting) > 0 {
		e.report.Reading, e.report.Queued = 1, len(e.waiting)-1
	}
	if len(e.waiting) > 1 {
		e.report.NextPromptTokens = int(e.waiting[1].prompt)
	}
}

// stream is one request and its run.
type stream struct {
	router                      int
	route, account              string
	prompt, length              float64 // length is that of the answer
	hint, maximum               int
	arrivedAt, firstAt, endedAt time.Duration
	read, toRead, generated     float64
	preempted, refused          bool
	size                        size // of sizedAt
	sizedAt                     time.Duration
}

func (s *stream) held() float64 {
	if s.read < s.toRead {
		return s.read
	}
	return s.prompt + s.generated
}
