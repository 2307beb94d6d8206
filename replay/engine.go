// Package replay plays load patterns against a model of engines, on whatever clock the
// caller runs (testing/synctest in tests), so that decisions about waiting, refusing and
// placing are tried without sockets.
//
// The model has batched steps, prompts read in chunks between them, memory with
// preemption, a queue, copies and crashes. It is no simulator of a cluster: networks,
// processors and the engines' own schedulers are left out, and its figures are not those
// of a deployment. What it is for is the order of two policies under one load.
package replay

import (
	"context"
	"slices"
	"sync"
	"time"

	"wigeondale/fleet"
)

// Config is what one engine can do.
type Config struct {
	ReadPerSecond float64       // tokens of prompts
	Chunk         int           // tokens of a prompt that are read between two steps
	Step          time.Duration // that makes a token of each run, alone
	StepPerRun    time.Duration // that each run adds to it
	Memory        int           // tokens of runs and copies
}

// Signal is what happens to a run.
type Signal uint8

const (
	// First says that the prompt is read and the first token made.
	First Signal = iota
	// Done says that the last token is made.
	Done
	// Lost says that the engine crashed.
	Lost
)

// Run is one request at an engine.
type Run struct {
	Prompt  int // tokens that are to be read
	Kept    int // tokens of the prompt that a copy there spares
	Answer  int // tokens that are to be made
	Signals chan Signal

	read, made int
	cancelled  bool
}

// NewRun returns a run whose signals are kept until they are read.
func NewRun(prompt, kept, answer int) *Run {
	return &Run{Prompt: prompt, Kept: kept, Answer: answer, Signals: make(chan Signal, 3), read: kept}
}

func (r *Run) held() int { return r.read + r.made }

// Engine is the model of one engine.
type Engine struct {
	cfg  Config
	wake chan struct{}

	mu      sync.Mutex
	waiting []*Run // their prompts are read one after the other
	running []*Run
	copies  int // tokens
	report  fleet.EngineState
	shown   time.Time // when report was made
	vain    int       // tokens that were read again
	longest int       // most prompts that waited at once
}

// NewEngine returns an engine that works while Serve runs.
func NewEngine(cfg Config) *Engine { return &Engine{cfg: cfg, wake: make(chan struct{}, 1)} }

// Begin has the engine work on a run.
func (e *Engine) Begin(r *Run) {
	e.mu.Lock()
	e.waiting = append(e.waiting, r)
	e.longest = max(e.longest, len(e.waiting))
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Cancel takes a run out whose caller is gone.
func (e *Engine) Cancel(r *Run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.cancelled = true
}

// Keep holds a copy of so many tokens, until Keep with as many less than none.
func (e *Engine) Keep(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.copies = max(e.copies+tokens, 0)
}

// Crash loses everything.
func (e *Engine) Crash() {
	e.mu.Lock()
	lost := append(slices.Clone(e.waiting), e.running...)
	e.waiting, e.running, e.copies = nil, nil, 0
	e.report, e.shown = fleet.EngineState{}, time.Time{}
	e.mu.Unlock()
	for _, r := range lost {
		r.Signals <- Lost
	}
}

// reportEvery is how often an engine makes a new report of itself.
const reportEvery = 300 * time.Millisecond

// Report is what the engine says of itself: as it was when it last made a report.
func (e *Engine) Report() fleet.EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.renew()
	return e.report
}

// renew makes a new report when the last one is old. e.mu is held.
func (e *Engine) renew() {
	now := time.Now()
	if now.Sub(e.shown) < reportEvery {
		return
	}
	e.shown = now
	e.report = fleet.EngineState{MemoryUsed: e.held(), CopyTokens: e.copies}
	for _, r := range e.running {
		e.report.Runs = append(e.report.Runs, fleet.RunState{Memory: r.held(), Chunks: r.made})
	}
	if len(e.waiting) > 0 {
		e.report.Reading, e.report.Queued = 1, len(e.waiting)-1
	}
	if len(e.waiting) > 1 {
		e.report.NextPromptTokens = e.waiting[1].Prompt
	}
}

// Vain is how many tokens were read again, and Longest how many prompts waited at most.
func (e *Engine) Vain() int { e.mu.Lock(); defer e.mu.Unlock(); return e.vain }

// Longest is how many prompts waited at once at most.
func (e *Engine) Longest() int { e.mu.Lock(); defer e.mu.Unlock(); return e.longest }

// Serve works until ctx ends.
func (e *Engine) Serve(ctx context.Context) {
	for ctx.Err() == nil {
		d, busy := e.plan()
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

// plan is how long the next step takes.
func (e *Engine) plan() (d time.Duration, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.renew()
	e.dropCancelled()
	if len(e.waiting)+len(e.running) == 0 {
		return 0, false
	}
	d = e.cfg.Step + time.Duration(len(e.running))*e.cfg.StepPerRun
	if chunk := e.chunk(); chunk > 0 {
		d += time.Duration(float64(chunk) / e.cfg.ReadPerSecond * float64(time.Second))
	}
	return d, true
}

// chunk is how much of the first prompt is read in the next step: none while memory
// for it lacks.
func (e *Engine) chunk() int {
	if len(e.waiting) == 0 {
		return 0
	}
	r := e.waiting[0]
	chunk := min(e.cfg.Chunk, r.Prompt-r.read)
	if e.held()+chunk > e.cfg.Memory && len(e.running) > 0 {
		return 0 // until a run ends; where none does, copies and other prompts yield
	}
	return chunk
}

func (e *Engine) held() int {
	sum := e.copies
	for _, r := range e.running {
		sum += r.held()
	}
	for _, r := range e.waiting {
		sum += r.held()
	}
	return sum
}

func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.makeTokens()
	if len(e.waiting) == 0 {
		return
	}
	r := e.waiting[0]
	r.read += e.chunk()
	if r.read < r.Prompt {
		return
	}
	e.waiting = e.waiting[1:]
	e.running = append(e.running, r)
	if r.made == 0 {
		r.made = 1
		r.Signals <- First
	}
}

// makeTokens gives each run a token. When memory runs out the newest is put off.
func (e *Engine) makeTokens() {
	for e.held()+len(e.running) > e.cfg.Memory && len(e.running) > 1 {
		last := e.running[len(e.running)-1]
		e.running = e.running[:len(e.running)-1]
		e.vain += last.read
		last.read = 0
		e.waiting = append(e.waiting, last)
	}
	e.running = slices.DeleteFunc(e.running, func(r *Run) bool {
		r.made++
		if r.made < r.Answer {
			return false
		}
		r.Signals <- Done
		return true
	})
}

func (e *Engine) dropCancelled() {
	gone := func(r *Run) bool { return r.cancelled }
	e.waiting = slices.DeleteFunc(e.waiting, gone)
	e.running = slices.DeleteFunc(e.running, gone)
}
