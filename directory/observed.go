package directory

import (
	"time"

	"wigeondale/fleet"
)

// This file records the state that an engine reports when it is queried, and adds the
// requests that this router has started since that report was made.
//
// In a fleet with too many routers to send each other their loads, each router knows only
// its own requests. Without the engines' own reports, every engine seems to have free
// capacity, nothing waits, nothing is refused, and prompts displace each other from the
// engines' memory. In a burst, generations then take half as long again, and no generation
// is refused.

// reportLag is the assumed age of an engine's report when it arrives. A request that
// this router started within that time may be missing from the report, so its load is
// added. If the value is too high, a request may count twice for a moment; if it is too
// low, an engine to which this router has just sent a prompt seems idle.
const reportLag = 300 * time.Millisecond

// RequestSize is the size in tokens of a typical request of a service: it is needed
// because reports list the runs of an engine, but not how large the runs will become.
type RequestSize struct {
	Prompt, Answer float64
	// Spread is the variance of prompt and answer together where they are an estimate.
	Spread float64
	// Rest estimates the tokens that a run of the given priority will still generate after so many
	// chunks, with their variance. If it is nil, a run grows to the size of a typical request.
	Rest func(priority, chunks int) (mean, variance float64)
}

// observation is the peers' load derived from one report of an engine.
type observation struct {
	at time.Time
	// peers is the load of other routers' requests: the reported load minus the load of
	// this router's requests. It is negative if the report contains less than this
	// router has in progress.
	peers Load
}

// recentStart is the load of a request that this router started recently.
type recentStart struct {
	at   time.Time
	load Load
}

// Observe applies an engine's report of its state: it derives the load of other routers
// from the report. size is the size of a typical request of the engine's service. A report
// of an unknown engine is ignored.
func (d *Directory) Observe(id string, s fleet.EngineState, size RequestSize, now time.Time) {
	if r := d.index.get(id); r != nil {
		r.observe(loadFromState(s, size), now)
	}
}

// LoadOf returns the load that a router derives from a report, for models of fleets.
func LoadOf(s fleet.EngineState, size RequestSize) Load { return loadFromState(s, size) }

// loadFromState returns the load that the requests in a report will cause. The tokens
// of waiting requests, the unread rest of the prompts being read and the rest of the
// answers being generated are added to the tokens in memory. Reports don't include how
// far a prompt has been read, so a prompt that is being read counts in full as Reading.
func loadFromState(s fleet.EngineState, size RequestSize) Load {
	total := size.Prompt + size.Answer
	queued := float64(s.Queued) * size.Prompt
	if s.NextPromptTokens > 0 {
		queued += float64(s.NextPromptTokens) - size.Prompt
	}
	out := Load{
		Requests: float64(s.Queued + s.Reading + len(s.Runs)),
		Reading:  queued + float64(s.Reading)*size.Prompt,
		Memory:   float64(s.MemoryUsed) + queued + float64(s.Queued)*size.Answer,
	}
	beingRead := float64(s.MemoryUsed - s.CopyTokens) // memory taken by the prompts that are being read
	for _, run := range s.Runs {
		mean, variance := size.rest(run)
		out.Memory += mean
		out.Spread += variance
		out.Running += size.share(mean)
		beingRead -= float64(run.Memory)
	}
	out.Memory += max(float64(s.Reading)*total-max(beingRead, 0), 0)
	out.Spread += float64(s.Queued+s.Reading) * size.Spread
	return out
}

// rest returns mean and variance of the tokens by which a run will grow.
func (z *RequestSize) rest(run fleet.RunState) (mean, variance float64) {
	if z.Rest == nil {
		return max(z.Prompt+z.Answer-float64(run.Memory), 0), 0
	}
	return z.Rest(run.Priority, run.Chunks)
}

// share returns how much a run counts among the running ones: where its rest can be estimated, by that
// rest relative to a typical answer, since a run that is about to end is hardly delayed by a new prompt
// and hardly delays the new run.
func (z *RequestSize) share(rest float64) float64 {
	if z.Rest == nil || z.Answer <= 0 {
		return 1
	}
	return min(rest/z.Answer, 1)
}

func (r *record) observe(reported Load, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, b := range r.recentStarts {
		if now.Sub(b.at) <= reportLag {
			reported = reported.Plus(b.load)
		}
	}
	r.observed.Store(&observation{at: now, peers: reported.Minus(r.local.load())})
}

// rememberStart keeps the load of a started request for reportLag, after which every
// report that arrives is assumed to include the request. The caller holds r.mu.
func (r *record) rememberStart(l Load, now time.Time) {
	kept := r.recentStarts[:0]
	for _, b := range r.recentStarts {
		if now.Sub(b.at) <= reportLag {
			kept = append(kept, b)
		}
	}
	r.recentStarts = append(kept, recentStart{now, l})
}

// ReportedAt returns the time when the engine's last report of its state arrived, or the
// zero time if none has arrived.
func (r *record) ReportedAt() time.Time {
	if o := r.observed.Load(); o != nil {
		return o.at
	}
	return time.Time{}
}

// peerLoad returns the load of other routers' requests. If these routers send their loads,
// it returns the sum of these loads. Otherwise it returns the load derived from the
// engine's last report.
func (r *record) peerLoad() Load {
	if r.peersSendLoads.Load() {
		return r.peers.load()
	}
	if o := r.observed.Load(); o != nil {
		return o.peers
	}
	return Load{}
}

// estimatedLoad returns the load of this router's requests plus the load of other
// routers' requests. If a field of the sum is negative, estimatedLoad returns zero for this
// field. The sum can be negative because the peers' load in an observation can be negative,
// and this router's load may have fallen since that observation.
func (r *record) estimatedLoad() Load {
	sum := r.local.load().Plus(r.peerLoad())
	return Load{
		Requests: max(sum.Requests, 0),
		Reading:  max(sum.Reading, 0),
		Running:  max(sum.Running, 0),
		Memory:   max(sum.Memory, 0),
		Spread:   max(sum.Spread, 0),
		Extra:    sum.Extra,
	}
}

// Estimate returns the estimated load of an engine and the age of the engine's last
// report of its state. reported is false if the engine never sent a report.
func (d *Directory) Estimate(id string, now time.Time) (l Load, age time.Duration, reported bool) {
	r := d.index.get(id)
	if r == nil {
		return Load{}, 0, false
	}
	seen := r.ReportedAt()
	return r.estimatedLoad(), now.Sub(seen), !seen.IsZero()
}

// PeersSendLoads reports whether other routers send their loads. If they don't, this
// router must query the engines for their loads.
func (d *Directory) PeersSendLoads() bool { return d.loads.peersSendLoads.Load() }
