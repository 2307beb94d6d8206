package routing

import "time"

// Names of the steps that choose the engine for a prompt.
const (
	// FilterMemory keeps engines that have enough free memory to finish the request.
	FilterMemory = "room"
	// FilterBacklog keeps engines whose queue of unread prompt tokens is short enough.
	FilterBacklog = "backlog"
	// ScoreDelay prefers the engine where the prompt causes the least delay.
	ScoreDelay = "prompt-delay"
	// ScoreMemory prefers the engine with the most free memory.
	ScoreMemory = "memory"
)

// EngineLoad is implemented by a Live that knows an engine's load in tokens.
type EngineLoad interface {
	// Reading is the number of prompt tokens that the engine has yet to read.
	Reading() float64
	// Running is the number of runs that are generating tokens.
	Running() float64
	// Memory is the number of tokens that runs and copies of runs occupy in the engine's
	// memory.
	Memory() float64
	// ReportedAt is when the engine last reported its load. It is the zero time if the
	// engine never reported its load.
	ReportedAt() time.Time
}

// idleEngine is the load that is assumed for candidates about which nothing is known: no
// prompt to read, no run and no tokens in memory.
type idleEngine struct{}

func (idleEngine) Reading() float64      { return 0 }
func (idleEngine) Running() float64      { return 0 }
func (idleEngine) Memory() float64       { return 0 }
func (idleEngine) ReportedAt() time.Time { return time.Time{} }

func (c *Candidate) engineLoad() EngineLoad {
	if e, ok := c.Live.(EngineLoad); ok {
		return e
	}
	return idleEngine{}
}

// delayPerRun is the share of a prompt's reading time by which the prompt delays each run
// that generates tokens at the same engine. It is high because an engine step that reads a
// chunk of a prompt takes several times as long as a step that only generates a token.
const delayPerRun = 0.8

// delayScorer rates candidates by the delay that the prompt causes. The delay is the prompt's
// own wait behind prompts that the engine has yet to read, plus the slowdown of the runs that
// generate tokens there. It is expressed as the number of tokens that an engine reads in that
// time.
//
// A count of requests is not enough: it gives a stored copy, a run that generates tokens and a
// prompt that is being read the same weight, although only reading a prompt slows the other
// requests at the engine. Prompts would then be sent to engines that are reading a prompt
// while other engines read none, and under normal load the first chunks would arrive after
// twice the time that reading a prompt takes.
type delayScorer struct{}

func (delayScorer) Score(v View, out []float64) {
	tokens := float64(max(v.req.PromptTokens, 1))
	least := -1.0
	for k := range out {
		e := v.candidate(k).engineLoad()
		out[k] = e.Reading() + tokens*(1+delayPerRun*e.Running())
		if least < 0 || out[k] < least {
			least = out[k]
		}
	}
	for k, delay := range out {
		out[k] = tokens / (tokens + delay - least)
	}
}

// backlogWithinBound reports whether the engine's prompt tokens to be read, including this
// prompt, are within the allowed backlog. An engine that is not reading any prompt passes,
// however long the new prompt is.
//
// Without this filter, an engine that has just restarted has all its memory free, so every
// waiting prompt is sent there and read one after the other, while other engines become idle.
// Answers then miss their deadlines after a crash.
func backlogWithinBound(c *Candidate, req *PickRequest) bool {
	reading := c.engineLoad().Reading()
	return req.Backlog <= 0 || reading == 0 || reading+float64(req.PromptTokens) <= req.Backlog
}

// memoryScorer rates candidates by the free share of their memory: 1 if all of it is free.
// If the capacity isn't known, all candidates get 0.
type memoryScorer struct{}

func (memoryScorer) Score(v View, out []float64) {
	if v.req.Capacity <= 0 {
		return
	}
	for k := range out {
		out[k] = max(1-v.candidate(k).engineLoad().Memory()/float64(v.req.Capacity), 0)
	}
}

// fitsMemory reports whether an engine has enough free memory to finish the request. If
// the capacity isn't known, it returns true.
//
// Without this filter, an engine runs out of memory in the middle of its runs. Runs are
// then preempted and read their prompts again later, for which other runs are preempted in
// turn. Prefill work is wasted, and answers are late long after a burst has ended.
func fitsMemory(c *Candidate, req *PickRequest) bool {
	if req.Capacity <= 0 {
		return true
	}
	need := c.engineLoad().Memory() + float64(req.MemoryTokens)
	return need+memoryReserve(c.memorySpread()+req.MemorySpread) <= float64(req.Capacity)
}
