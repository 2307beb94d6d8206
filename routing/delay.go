package routing

import "time"

// Names of the steps that place prompts at engines.
const (
	// FilterMemory keeps to engines that have memory for the run to its end.
	FilterMemory = "room"
	// FilterBacklog keeps to engines that will soon have read what they were sent.
	FilterBacklog = "backlog"
	// ScoreDelay prefers the engine where the prompt causes the least delay.
	ScoreDelay = "prompt-delay"
	// ScoreMemory prefers the engine that has most memory free.
	ScoreMemory = "memory"
)

// EngineLoad is a Live that knows what an engine has under way, in tokens.
type EngineLoad interface {
	// Reading is how many tokens of prompts are yet to be read.
	Reading() float64
	// Running is how many runs make tokens.
	Running() float64
	// Memory is how many tokens of runs and copies are in memory.
	Memory() float64
	// ReportedAt is when the engine said what it has under way, zero if it did not.
	ReportedAt() time.Time
}

// idleEngine stands for candidates of which nothing is known.
type idleEngine struct{}

func (idleEngine) Reading() float64      { return 0 }
func (idleEngine) Running() float64      { return 0 }
func (idleEngine) Memory() float64       { return 0 }
func (idleEngine) ReportedAt() time.Time { return time.Time{} }

func (c *Candidate) engine() EngineLoad {
	if e, ok := c.Live.(EngineLoad); ok {
		return e
	}
	return idleEngine{}
}

// delayPerRun is the part of the reading time of a prompt by which each run beside it
// is delayed: a chunk of a prompt takes several times as long as a token.
const delayPerRun = 0.8

// delayScorer rates by the delay, in tokens that are read meanwhile, that the prompt
// causes: its own wait behind prompts that are yet to be read there, and that of the
// runs that make tokens there.
//
// What goes wrong with a count of requests: a copy, a run that makes tokens and a prompt
// that is read weigh the same, although only a prompt takes time from others. Prompts
// are sent to engines that read one, while others read none. It shows as first pieces
// that come after twice the time that a prompt takes, under usual load.
type delayScorer struct{}

func (delayScorer) Score(v View, out []float64) {
	tokens := float64(max(v.ask.PromptTokens, 1))
	least := -1.0
	for k := range out {
		e := v.at(k).engine()
		out[k] = e.Reading() + tokens*(1+delayPerRun*e.Running())
		if least < 0 || out[k] < least {
			least = out[k]
		}
	}
	for k, delay := range out {
		out[k] = tokens / (tokens + delay - least)
	}
}

// shortBacklog tells whether the prompt is read within its time at an engine. An engine
// that reads no prompt takes one of any length.
//
// What goes wrong without it: an engine that has just come back has all its memory
// free, and every prompt that waits is sent there, to be read one after the other while
// other engines become free. It shows as answers that are late after a crash.
func shortBacklog(c *Candidate, ask *PickRequest) bool {
	reading := c.engine().Reading()
	return ask.Backlog <= 0 || reading == 0 || reading+float64(ask.PromptTokens) <= ask.Backlog
}

// memoryScorer rates by free memory.
type memoryScorer struct{}

func (memoryScorer) Score(v View, out []float64) {
	if v.ask.Capacity <= 0 {
		return
	}
	for k := range out {
		out[k] = max(1-v.at(k).engine().Memory()/float64(v.ask.Capacity), 0)
	}
}

// hasRoom tells whether an engine has memory for the request to its end.
//
// What goes wrong without it: the memory of an engine runs out in the middle of its
// runs, which are put off and read their prompts again, for which others are put off.
// It shows as tokens read for nothing, and as answers that are late long after a burst.
func hasRoom(c *Candidate, ask *PickRequest) bool {
	return ask.Capacity <= 0 || c.engine().Memory()+float64(ask.MemoryTokens) <= float64(ask.Capacity)
}
