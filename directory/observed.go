package directory

import (
	"time"

	"wigeondale/fleet"
)

// What an engine says of itself when it is asked, brought forward to the present.
//
// What goes wrong without it: where routers are too many to tell each other what they
// have under way, each knows of its own requests only. Every engine seems to have room,
// nothing waits and nothing is refused, and prompts crowd each other out of memory. It
// shows as drafts that are late by the half in a burst, none of them refused.

// reportLag is how old the state in an engine's report is taken to be when it comes. What
// this router began there since may not be in it, and is added. Taken for too long a time,
// a request may count twice for a moment; for too short a time, an engine to which this
// router has just sent a prompt seems idle.
const reportLag = 300 * time.Millisecond

// RequestSize is the size in tokens of a service's ordinary request: reports name the runs, not
// how large they will be.
type RequestSize struct{ Prompt, Answer float64 }

// observation is what an engine said.
type observation struct {
	at time.Time
	// others is what requests of other routers take. It may be below zero while the report
	// holds less than this router has under way.
	others Load
}

// begun is what this router began at a moment.
type begun struct {
	at   time.Time
	load Load
}

// Observe takes in what an engine says of itself.
func (d *Directory) Observe(id string, s fleet.EngineState, usual RequestSize, now time.Time) {
	if r := d.table.Load().byID[id]; r != nil {
		r.observe(loadIn(s, usual), now)
	}
}

// loadIn is what the requests in a report are going to take: what waits, and the rest of
// the prompts that are being read and of the answers that are being made, come on top of
// what is in memory. How far a prompt has been read isn't said: it counts whole.
func loadIn(s fleet.EngineState, usual RequestSize) Load {
	holds := usual.Prompt + usual.Answer
	queued := float64(s.Queued) * usual.Prompt
	if s.NextPromptTokens > 0 {
		queued += float64(s.NextPromptTokens) - usual.Prompt
	}
	out := Load{
		Requests: float64(s.Queued + s.Reading + len(s.Runs)),
		Reading:  queued + float64(s.Reading)*usual.Prompt,
		Running:  float64(len(s.Runs)),
		Memory:   float64(s.MemoryUsed) + queued + float64(s.Queued)*usual.Answer,
	}
	beingRead := float64(s.MemoryUsed - s.CopyTokens) // what the prompts that are being read have in memory
	for _, run := range s.Runs {
		out.Memory += max(holds-float64(run.Memory), 0)
		beingRead -= float64(run.Memory)
	}
	out.Memory += max(float64(s.Reading)*holds-max(beingRead, 0), 0)
	return out
}

func (r *record) observe(there Load, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.begun {
		if now.Sub(b.at) <= reportLag {
			there = there.Plus(b.load)
		}
	}
	r.observed.Store(&observation{at: now, others: there.Minus(r.own.load())})
}

// remember keeps what began until every report holds it. r.mu is held.
func (r *record) remember(l Load, now time.Time) {
	kept := r.begun[:0]
	for _, b := range r.begun {
		if now.Sub(b.at) <= reportLag {
			kept = append(kept, b)
		}
	}
	r.begun = append(kept, begun{now, l})
}

// ReportedAt is when the engine last said what it has under way; zero if it never did.
func (r *record) ReportedAt() time.Time {
	if o := r.observed.Load(); o != nil {
		return o.at
	}
	return time.Time{}
}

// othersLoad is what requests of other routers take: as these tell or, if they don't, as
// the engine said.
func (r *record) othersLoad() Load {
	if r.told.Load() {
		return r.peers.load()
	}
	if o := r.observed.Load(); o != nil {
		return o.others
	}
	return Load{}
}

// estimated is this router's own requests and those of others.
func (r *record) estimated() Load {
	sum := r.own.load().Plus(r.othersLoad())
	return Load{
		Requests: max(sum.Requests, 0),
		Reading:  max(sum.Reading, 0),
		Running:  max(sum.Running, 0),
		Memory:   max(sum.Memory, 0),
	}
}

// Estimate is what an engine is taken to have under way, and how long ago it reported that
// itself; reported is false if it never did.
func (d *Directory) Estimate(id string, now time.Time) (l Load, age time.Duration, reported bool) {
	r := d.table.Load().byID[id]
	if r == nil {
		return Load{}, 0, false
	}
	seen := r.ReportedAt()
	return r.estimated(), now.Sub(seen), !seen.IsZero()
}

// PeersSendLoads tells whether other routers tell what they have under way. If not, engines
// are to be asked.
func (d *Directory) PeersSendLoads() bool { return d.loads.tells.Load() }
