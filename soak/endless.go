package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wigeondale/fakes/endless"
	fakes "wigeondale/fakes/hosted"
)

// endlessGap is the time between two bytes of a slow answer without end.
const endlessGap = 5 * time.Millisecond

// endlessAnswer draws an answer without end, at full speed or slow.
func endlessAnswer(rng *rand.Rand) endless.Answer {
	a := endless.Answer{Kind: endless.All[rng.IntN(len(endless.All))]}
	if rng.IntN(2) == 0 {
		a.Gap = endlessGap
	}
	return a
}

// endlessFaults lists the faults of Config.Endless.
func (r *platformRun) endlessFaults() []fault {
	if !r.cfg.Endless {
		return nil
	}
	one := fault{"replica answers without end", func() func() { return r.misbehave(fakes.Faults{Endless: endlessAnswer(r.rng)}) }}
	return []fault{one, one, one} // as often as the other misbehaviours together
}

// endlessFaults lists the faults of Config.Endless.
func (r *productRun) endlessFaults() []fault {
	if !r.cfg.Endless {
		return nil
	}
	server := func(title string, id func() string) fault {
		return fault{title + " answers without end", func() func() {
			target, a := id(), endlessAnswer(r.rng)
			r.setFault(target, "endless", fmt.Sprintf(`{"kind":%q,"ms":%d}`, a.Kind, a.Gap.Milliseconds()))
			return func() { r.setFault(target, "endless", `{"on":false}`) }
		}}
	}
	return []fault{
		server("engine", r.randomEngine), server("plain service", r.randomService),
		server("key-value service", func() string { return "kv" }), server("VM list", func() string { return "vms" }),
	}
}
