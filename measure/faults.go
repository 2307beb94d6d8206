package measure

import (
	"context"
	"time"

	"wigeondale/load"
)

// kind is what happens to an engine.
type kind string

// The kinds of faults. After the first two an answer must go on elsewhere;
// the others end by themselves, and a resume there was for nothing.
const (
	killed    kind = "killed"    // connections reset, a new incarnation 3 s later
	frozen    kind = "frozen"    // silent for 6.5 s, then thawed
	pause10   kind = "pause-10"  // silent for 10 decode steps
	pause20   kind = "pause-20"  // 20 decode steps
	pause40   kind = "pause-40"  // 40 decode steps
	preempted kind = "preempted" // one stream silent for 50 steps beside live ones
	noFault   kind = "none"      // whatever happens without a fault
)

var kinds = []kind{killed, pause10, frozen, pause20, preempted, pause40}

// real tells whether the engine is lost to its callers.
func (k kind) real() bool { return k == killed || k == frozen }

const (
	step         = stepMS * time.Millisecond
	restartAfter = 3 * time.Second
	frozenFor    = 6500 * time.Millisecond
	preemptedFor = 50 * step
	// afterFault is for how long after its end a fault explains a loss: what
	// waited in sockets and for the next tick.
	afterFault = 300 * time.Millisecond
)

func (k kind) length() time.Duration {
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

// fault is one event on one engine.
type fault struct {
	kind   kind
	engine string
	at     time.Duration // after the start
}

func (f fault) end() time.Duration { return f.at + f.kind.length() }

// detectionFaults deals the kinds to the engines in turn. The step of three
// engines gives each engine another kind on each round.
func detectionFaults(p detectionPlan) []fault {
	ids := engineIDs()
	var out []fault
	for i := 0; ; i++ {
		at := p.first + time.Duration(i)*p.every
		if at+time.Second > p.duration {
			return out
		}
		out = append(out, fault{kind: kinds[i%len(kinds)], engine: ids[i*3%len(ids)], at: at})
	}
}

// playFaults turns the switches of all faults, which may overlap.
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

// lateArgs are the arguments of the switch that silences one request.
type lateArgs struct {
	Request string  `json:"request"`
	MS      float64 `json:"ms"`
}

// preempt silences one draft that the engine is decoding, if there is one.
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
			young := s.Generated > 2*Lookups.MaxTokens && s.ResumedAt+s.Generated < Drafts.MaxTokens/2
			if s.Finished || s.Cancelled != "" || !young {
				continue
			}
			return Turn(ctx, r, f.engine, "late", lateArgs{s.Request, float64(preemptedFor.Milliseconds())})
		}
	}
	return nil
}
