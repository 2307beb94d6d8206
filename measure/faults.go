package measure

import (
	"context"
	"time"

	"wigeondale/load"
)

// faultKind is a kind of fault of an engine.
type faultKind string

// The kinds of faults. After the first two an answer must be resumed on another engine; the
// others end by themselves, so that a resume is wasted work.
const (
	killed    faultKind = "killed"    // connections are reset, a new incarnation starts 3 s later
	frozen    faultKind = "frozen"    // silent for 6.5 s, then thawed
	pause10   faultKind = "pause-10"  // silent for 10 decode steps
	pause20   faultKind = "pause-20"  // 20 decode steps
	pause40   faultKind = "pause-40"  // 40 decode steps
	preempted faultKind = "preempted" // one stream is silent for 50 steps while others continue
	noFault   faultKind = "none"      // for waits and resumes without a fault
)

var faultKinds = []faultKind{killed, pause10, frozen, pause20, preempted, pause40}

// losesEngine reports whether the engine is lost to its callers, so that a resume is necessary.
func (k faultKind) losesEngine() bool { return k == killed || k == frozen }

const (
	step         = stepMS * time.Millisecond
	restartAfter = 3 * time.Second
	frozenFor    = 6500 * time.Millisecond
	preemptedFor = 50 * step
	// afterFault is the time after the end of a fault in which a loss still counts as
	// caused by that fault, since data in socket buffers and work until the next tick
	// arrive late.
	afterFault = 300 * time.Millisecond
)

func (k faultKind) duration() time.Duration {
	switch k {
	case killed:
		return restartAfter
	case frozen:
		return frozenFor
	case pause10:
		return 10 * step
	case pause20:
		return 20 * step
	case pause40:
		return 40 * step
	}
	return preemptedFor
}

// fault is one fault that is set on one engine at the time at and ends after a time that
// depends on the kind.
type fault struct {
	kind   faultKind
	engine string
	at     time.Duration // after the start
}

func (f fault) end() time.Duration { return f.at + f.kind.duration() }

// detectionFaults returns the faults of one run of the detection experiment. It assigns the
// kinds of faults to the engines in turn. The increment of three engines gives each engine
// another kind in each round.
func detectionFaults(p detectionPlan) []fault {
	ids := engineIDs()
	var out []fault
	for i := 0; ; i++ {
		at := p.first + time.Duration(i)*p.every
		if at+time.Second > p.duration {
			return out
		}
		out = append(out, fault{kind: faultKinds[i%len(faultKinds)], engine: ids[i*3%len(ids)], at: at})
	}
}

// playFaults sets and clears all faults at their times, which are offsets from start.
// Faults may overlap.
func playFaults(ctx context.Context, start time.Time, r *Running, faults []fault) error {
	errs := make(chan error, len(faults))
	for _, f := range faults {
		go func() { errs <- f.play(ctx, start, r) }()
	}
	var first error
	for range faults {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (f fault) play(ctx context.Context, start time.Time, r *Running) error {
	switch f.kind {
	case killed:
		return Script{{f.at, f.engine, "kill", nil}, {f.end(), f.engine, "start", nil}}.Play(ctx, start, r)
	case preempted:
		return f.preempt(ctx, start, r)
	}
	return Script{{f.at, f.engine, "freeze", nil}, {f.end(), f.engine, "thaw", nil}}.Play(ctx, start, r)
}

// lateArgs are the arguments of the fault "late", which delays one request.
type lateArgs struct {
	Request string  `json:"request"`
	MS      float64 `json:"ms"`
}

// preempt silences one stream of the class Drafts that the engine decodes, if there is one: a
// stream with more tokens than any of the class Lookups and less than half of those of a draft.
func (f fault) preempt(ctx context.Context, start time.Time, r *Running) error {
	if !load.SleepUntil(ctx, start.Add(f.at)) {
		return Error.Wrap(ctx.Err())
	}
	rec, err := load.FetchRecord(ctx, r.Record())
	if err != nil {
		return err
	}
	for _, e := range rec.Engines {
		if e.Engine != f.engine {
			continue
		}
		for _, s := range e.Streams {
			eligible := s.Generated > 2*Lookups.MaxTokens && s.ResumedAt+s.Generated < Drafts.MaxTokens/2
			if s.Finished || s.Cancelled != "" || !eligible {
				continue
			}
			return SetFault(ctx, r, f.engine, "late", lateArgs{s.Request, float64(preemptedFor.Milliseconds())})
		}
	}
	return nil
}
