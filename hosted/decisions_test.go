package hosted

import (
	"testing"
	"time"

	"wigeondale/admission"
	"wigeondale/replay"
)

// longWork are longer prompts at faster engines with more memory than usualWork's.
var longWork = replayWork{prompt: 8200, answer: 980, engine: replay.Config{
	ReadPerSecond: 8000, Chunk: 200, Step: 3470 * time.Microsecond, StepPerRun: 160 * time.Microsecond, Memory: 88000,
}}

// slowWork are the same prompts at engines of half the speed with 0.6 of the memory.
var slowWork = replayWork{prompt: 8200, answer: 980, engine: replay.Config{
	ReadPerSecond: 4000, Chunk: 200, Step: 6940 * time.Microsecond, StepPerRun: 320 * time.Microsecond, Memory: 52800,
}}

// crowded is the load of a fleet whose usual rate is perSecond: two and a half times that for
// nine seconds, in which two failure domains crash.
func crowded(perSecond, times float64) load {
	return load{
		end:     24 * time.Second,
		rates:   []replay.Rate{{PerSecond: perSecond}, {From: 5 * time.Second, PerSecond: times * perSecond}, {From: 14 * time.Second, PerSecond: perSecond}},
		crashes: map[time.Duration]string{8 * time.Second: "d1", 9500 * time.Millisecond: "d2"},
	}
}

// slowSeeds are more than for the others: routers choose at random, and who is in time on
// slow engines spreads most.
const slowSeeds = 18

// crowdedFleets are fleets of three kinds under more load than they read.
var crowdedFleets = []struct {
	name string
	size replaySize
	load load
}{
	{"long prompts", replaySize{routers: 10, engines: 24, domains: 3, hear: 4, seeds: 3, work: longWork}, crowded(6.5, 2.8)},
	{"slow engines", replaySize{routers: 10, engines: 24, domains: 3, hear: 4, seeds: slowSeeds, work: slowWork}, crowded(4.8, 2)},
	{"routers that hear each other", replaySize{routers: 6, engines: 12, domains: 4, seeds: 3}, crowded(3, 4)},
}

// Symptom: a caller gets no answer at all where a late one would do. Sequence: more prompts
// come than engines read, for nine seconds; who would be late is refused. After it the
// engines idle. Cause: who can't be in time counts as who can't be served.
func TestLateAnswersAreBetterThanNone(t *testing.T) {
	for _, c := range crowdedFleets {
		var got [2]figures
		all := 0
		for i, way := range []admission.RefusalPolicy{admission.RefuseLate, admission.RefuseUnservable} {
			size := c.size
			size.change = refusing(way)
			got[i], all = c.load.play(t, size, func(*replayed) {})
			t.Logf("%s, refused is who is %s: %+v", c.name, way, got[i])
		}
		late, unservable := got[0], got[1]
		if unservable.refused > late.refused/2 {
			t.Errorf("%s: of %d %+v, %+v where who is late is refused", c.name, all, unservable, late)
		}
		if unservable.inTime < late.inTime*8/10 {
			t.Errorf("%s: who can't be in time takes the place of who can: %+v, %+v", c.name, unservable, late)
		}
	}
}

// refusing sets a way of refusal.
func refusing(way admission.RefusalPolicy) func(*picker) {
	return func(p *picker) { p.refusal = way }
}
