// Package replay runs load patterns against a model of engines, on the clock of the
// caller (testing/synctest in tests), so that decisions to queue, refuse and place requests
// are tested without sockets.
//
// The model has batched decode steps, prompts that are prefilled in chunks between them,
// memory with preemption, a queue, stored prompt copies and crashes. It does not simulate a
// cluster: networks, processors and the schedulers of real engines are left out, so its
// figures are not those of a deployment. It serves to rank two policies under the same load.
package replay

import (
	"context"
	"slices"
	"sync"
	"time"

	"wigeondale/fleet"
)

// Config is the capacity of one engine.
type Config struct {
	PrefillPerSecond float64       // prompt tokens prefilled per second
	Chunk            int           // prompt tokens prefilled between two decode steps
	Step             time.Duration // fixed part of a decode step, which generates one token of each run
	StepPerRun       time.Duration // added to Step for each run in the batch
	Memory           int           // capacity in tokens, for runs and stored copies
}

// Signal is an event in the progress of a run. The engine sends it to Run.Signals.
type Signal uint8

const (
	// FirstToken is sent when the prompt is prefilled and the first token generated.
	FirstToken Signal = iota
	// Done is sent when the last token is generated.
	Done
	// Lost is sent when the engine crashes before the run is done.
	Lost
)

// Run is one request at an engine.
type Run struct {
	PromptTokens int // tokens of the prompt
	CachedTokens int // tokens of the prompt that a stored copy saves from prefill
	AnswerTokens int // tokens to generate
	Signals      chan Signal

	prefilled, generated int
	cancelled            bool
}

// NewRun returns a run. The channel Signals can store all signals of a run, so the engine
// never blocks on a caller that does not read them.
func NewRun(prompt, cached, answer int) *Run {
	return &Run{PromptTokens: prompt, CachedTokens: cached, AnswerTokens: answer, Signals: make(chan Signal, 3), prefilled: cached}
}

func (r *Run) usedTokens() int { return r.prefilled + r.generated }

// Engine is the model of one engine.
type Engine struct {
	cfg  Config
	wake chan struct{}

	mu         sync.Mutex
	waiting    []*Run // queued for prefill, which takes one prompt at a time
	running    []*Run
	copies     int // tokens of stored copies
	report     fleet.EngineState
	reportedAt time.Time // when report was made
	recomputed int       // tokens that had to be prefilled again after a preemption
	maxWaiting int       // maximum length of waiting
}

// NewEngine returns an engine. It makes progress only while Serve runs.
func NewEngine(cfg Config) *Engine { return &Engine{cfg: cfg, wake: make(chan struct{}, 1)} }

// Start queues a run.
func (e *Engine) Start(r *Run) {
	e.mu.Lock()
	e.waiting = append(e.waiting, r)
	e.maxWaiting = max(e.maxWaiting, len(e.waiting))
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Cancel marks a run whose caller has disconnected. The engine removes the run before its
// next step.
func (e *Engine) Cancel(r *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cancelled = true
}

// AdjustCopies changes the number of tokens that stored copies occupy. A negative number of tokens
// removes a copy.
func (e *Engine) AdjustCopies(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies = max(e.copies+tokens, 0)
}

// Crash drops all runs, copies and the report, and sends Lost to each run.
func (e *Engine) Crash() {
	e.mu.Lock()
	lost := append(slices.Clone(e.waiting), e.running...)
	e.waiting, e.running, e.copies = nil, nil, 0
	e.report, e.reportedAt = fleet.EngineState{}, time.Time{}
	e.mu.Unlock()
	for _, r := range lost {
		r.Signals <- Lost
	}
}

// reportInterval is the minimum age of the engine's load report before a new one replaces it.
const reportInterval = 300 * time.Millisecond

// Report returns the engine's load report. It describes the state at the time at which it was
// made, up to reportInterval ago.
func (e *Engine) Report() fleet.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refreshReport()
	return e.report
}

// refreshReport replaces the report if it is older than reportInterval. The caller holds e.mu.
func (e *Engine) refreshReport() {
	now := time.Now()
	if now.Sub(e.reportedAt) < reportInterval {
		return
	}
	e.reportedAt = now
	e.report = fleet.EngineState{MemoryUsed: e.usedTokens(), CopyTokens: e.copies}
	for _, r := range e.running {
		e.report.Runs = append(e.report.Runs, fleet.RunState{Memory: r.usedTokens(), Chunks: r.generated})
	}
	if len(e.waiting) > 0 {
		e.report.Reading, e.report.Queued = 1, len(e.waiting)-1
	}
	if len(e.waiting) > 1 {
		e.report.NextPromptTokens = e.waiting[1].PromptTokens
	}
}

// RecomputedTokens returns the number of tokens that were prefilled again after preemptions.
func (e *Engine) RecomputedTokens() int { e.mu.Lock(); defer e.mu.Unlock(); return e.recomputed }

// MaxWaiting returns the maximum number of runs that were queued at the same time.
func (e *Engine) MaxWaiting() int { e.mu.Lock(); defer e.mu.Unlock(); return e.maxWaiting }

// Serve executes steps until ctx ends.
func (e *Engine) Serve(ctx context.Context) {
	for ctx.Err() == nil {
		d, busy := e.nextStep()
		if !busy {
			select {
			case <-ctx.Done():
				return
			case <-e.wake:
			}
			continue
		}
		time.Sleep(d)
		e.step()
	}
}

// nextStep returns the duration of the next step; busy is false if there is no run.
func (e *Engine) nextStep() (d time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refreshReport()
	e.dropCancelled()
	if len(e.waiting)+len(e.running) == 0 {
		return 0, false
	}
	d = e.cfg.Step + time.Duration(len(e.running))*e.cfg.StepPerRun
	if chunk := e.nextChunk(); chunk > 0 {
		d += time.Duration(float64(chunk) / e.cfg.PrefillPerSecond * float64(time.Second))
	}
	return d, true
}

// nextChunk returns how many tokens of the first queued prompt are prefilled in the next
// step. Exception: it returns 0 while there is not enough memory for these tokens and a run
// is being decoded, since the end of that run will free memory.
func (e *Engine) nextChunk() int {
	if len(e.waiting) == 0 {
		return 0
	}
	r := e.waiting[0]
	chunk := min(e.cfg.Chunk, r.PromptTokens-r.prefilled)
	if e.usedTokens()+chunk > e.cfg.Memory && len(e.running) > 0 {
		return 0 // wait until a run ends; without any run, copies and other prompts make room
	}
	return chunk
}

func (e *Engine) usedTokens() int {
	sum := e.copies
	for _, r := range e.running {
		sum += r.usedTokens()
	}
	for _, r := range e.waiting {
		sum += r.usedTokens()
	}
	return sum
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.generateTokens()
	if len(e.waiting) == 0 {
		return
	}
	r := e.waiting[0]
	r.prefilled += e.nextChunk()
	if r.prefilled < r.PromptTokens {
		return
	}
	e.waiting = e.waiting[1:]
	e.running = append(e.running, r)
	if r.generated == 0 {
		r.generated = 1
		r.Signals <- FirstToken
	}
}

// generateTokens generates one token for each run. While memory is short, it first preempts the
// newest run: the run returns to the queue and its prompt is prefilled again.
func (e *Engine) generateTokens() {
	for e.usedTokens()+len(e.running) > e.cfg.Memory && len(e.running) > 1 {
		last := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.recomputed += last.prefilled
		last.prefilled = 0
		e.waiting = append(e.waiting, last)
	}
	e.running = slices.DeleteFunc(e.running, func(r *Run) bool {
		r.generated++
		if r.generated < r.AnswerTokens {
			return false
		}
		r.Signals <- Done
		return true
	})
}

func (e *Engine) dropCancelled() {
	isCancelled := func(r *Run) bool { return r.cancelled }
	e.waiting = slices.DeleteFunc(e.waiting, isCancelled)
	e.running = slices.DeleteFunc(e.running, isCancelled)
}
