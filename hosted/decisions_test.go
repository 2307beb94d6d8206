package hosted

import (
	"testing"
	"time"

	"wigeondale/admission"
	"wigeondale/replay"
)

// longWork has longer prompts, and faster engines with more memory, than typicalWork.
var longWork = replayWork{prompt: 8200, answer: 980, engine: replay.Config{
	PrefillPerSecond: 8000, Chunk: 200, Step: 3470 * time.Microsecond, StepPerRun: 160 * time.Microsecond, Memory: 88000,
}}

// slowWork has the same prompts as longWork, and engines of half the speed with 0.6 of the
// memory.
var slowWork = replayWork{prompt: 8200, answer: 980, engine: replay.Config{
	PrefillPerSecond: 4000, Chunk: 200, Step: 6940 * time.Microsecond, StepPerRun: 320 * time.Microsecond, Memory: 52800,
}}

// overload returns the load of a fleet whose normal rate is perSecond. For nine seconds,
// during which two failure domains crash, the rate is perSecond multiplied by times.
func overload(perSecond, times float64) load {
	return load{
		end:     24 * time.Second,
		rates:   []replay.Rate{{PerSecond: perSecond}, {From: 5 * time.Second, PerSecond: times * perSecond}, {From: 14 * time.Second, PerSecond: perSecond}},
		crashes: map[time.Duration]string{8 * time.Second: "d1", 9500 * time.Millisecond: "d2"},
	}
}

// slowSeeds is the number of seeds for the fleet with slow engines. It is larger than for the
// other fleets: routers choose at random, and the number of requests served in time varies
// most with slow engines.
const slowSeeds = 18

// overloadedFleets are fleets of three kinds to which more prompts are sent than their engines
// can read.
var overloadedFleets = []struct {
	name string
	size replaySize
	load load
}{
	{"long prompts", replaySize{routers: 10, engines: 24, domains: 3, linked: 4, seeds: 3, work: longWork}, overload(6.5, 2.8)},
	{"slow engines", replaySize{routers: 10, engines: 24, domains: 3, linked: 4, seeds: slowSeeds, work: slowWork}, overload(4.8, 2)},
	{"linked routers", replaySize{routers: 6, engines: 12, domains: 4, seeds: 3}, overload(3, 4)},
}

// A client must not be refused if it can still get a late answer. For nine seconds more
// prompts arrive than the engines can read. If requests that would be late were refused, the
// engines would idle afterwards although they could have served these requests.
func TestLateAnswersAreBetterThanNone(t *testing.T) {
	for _, c := range overloadedFleets {
		var got [2]figures
		all := 0
		for i, policy := range []admission.RefusalPolicy{admission.RefuseLate, admission.RefuseUnservable} {
			size := c.size
			size.modify = refusing(policy)
			got[i], all = c.load.play(t, size, func(*replayFleet) {})
			t.Logf("%s, refusing requests that are %s: %+v", c.name, policy, got[i])
		}
		late, unservable := got[0], got[1]
		if unservable.refused > late.refused/2 {
			t.Errorf("%s: of %d %+v, %+v when late requests are refused", c.name, all, unservable, late)
		}
		if unservable.inTime < late.inTime*8/10 {
			t.Errorf("%s: late requests displace those that can be in time: %+v, %+v", c.name, unservable, late)
		}
	}
}

// refusing returns a function that sets the refusal policy of a picker.
func refusing(policy admission.RefusalPolicy) func(*picker) {
	return func(p *picker) { p.refusal = policy }
}
