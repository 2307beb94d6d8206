package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	fakefault "wigeondale/fakes/fault"
	fakes "wigeondale/fakes/hosted"
)

// maxLateWrite is the longest time after which the store makes a write that it didn't answer.
const maxLateWrite = 5 * time.Second

// evidenceFaults lists the faults of Config.Evidence.
func (r *platformRun) evidenceFaults() []fault {
	if !r.cfg.Evidence {
		return nil
	}
	all := []fault{
		{"all routers end", func() func() { return r.endAllRouters(nil) }},
		{"the store refuses writes", func() func() { return r.troubleWrites(fakes.WriteFate{Refused: true}) }},
		{"the store loses writes, or their answers, or makes them late", func() func() { return r.troubleWrites() }},
		{"another program writes odd entries", r.writeOddEntries},
		{"heads of answers are cut", r.cutHeads},
		{"heads of answers are cut", r.cutHeads},
	}
	if r.cfg.Software {
		all = append(all,
			fault{"all routers end while versions change", func() func() { return r.endAllRouters(r.releaseSoftware(r.newSoftware())) }},
			fault{"all routers end while versions change", func() func() { return r.endAllRouters(r.releaseSoftware(r.anySoftware())) }},
		)
	}
	return all
}

// endAllRouters kills all routers when the fault ends, before or after a release is finished, and starts them again.
func (r *platformRun) endAllRouters(finishRelease func()) (end func()) {
	first := r.rng.IntN(2) == 0
	if finishRelease == nil {
		finishRelease = func() {}
	}
	return func() {
		if first {
			finishRelease()
		}
		for _, n := range r.nodes {
			n.kill()
		}
		if !first {
			finishRelease()
		}
		for _, n := range r.nodes {
			n.restart()
		}
	}
}

// troubleWrites gives the store's transactions one of some fates, or any.
func (r *platformRun) troubleWrites(fates ...fakes.WriteFate) (end func()) {
	rng := rand.New(rand.NewPCG(r.rng.Uint64(), 1))
	r.store.SetWriteFate(func() fakes.WriteFate {
		if len(fates) > 0 {
			return fates[rng.IntN(len(fates))]
		}
		late := time.Duration(rng.Int64N(int64(maxLateWrite)))
		return []fakes.WriteFate{{}, {Lost: true}, {AnswerLost: true}, {Late: late}}[rng.IntN(4)]
	})
	return func() { r.store.SetWriteFate(nil) }
}

// writeOddEntries writes entries among those of the replicas and of the routers, which are deleted when the fault ends.
func (r *platformRun) writeOddEntries() (end func()) {
	var keys []string
	names := slices.Sorted(maps.Keys(fakes.OddValues))
	for _, prefix := range []string{"servers/", "wigeondale/nodes/", "wigeondale/versions/llm/", "wigeondale/software/", "op/rollout/"} {
		name := names[r.rng.IntN(len(names))]
		key := fmt.Sprintf("%sodd-%d", prefix, r.rng.IntN(100))
		r.store.Put(key, []byte(fakes.OddValues[name]))
		keys = append(keys, key)
	}
	return func() {
		for _, key := range keys {
			r.store.Delete(key)
		}
	}
}

// cutHeads closes connections of a replica within the heads of some answers.
func (r *platformRun) cutHeads() (end func()) {
	rep := r.randomReplica()
	troubled := r.checks.ends.trouble.begin(rep)
	rep.Listener().SetHeadCuts(fakefault.CutSomeHeads())
	return func() {
		rep.Listener().SetHeadCuts(nil)
		troubled()
	}
}

// evidenceFaults lists the faults of Config.Evidence.
func (r *productRun) evidenceFaults() []fault {
	if !r.cfg.Evidence {
		return nil
	}
	return []fault{
		{"all routers end", func() func() {
			return func() {
				for _, one := range r.routers {
					one.kill()
				}
				for _, one := range r.routers {
					one.restart()
				}
			}
		}},
		r.switchFault("heads of an engine's answers are cut", r.randomEngine, "cut-heads", "", "cut-heads", `{"on":false}`),
		r.switchFault("heads of a plain service's answers are cut", r.randomService, "cut-heads", "", "cut-heads", `{"on":false}`),
	}
}
