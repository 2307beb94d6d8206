package cost_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"wigeondale/cost/simulate"
)

// play returns the sum of the results of the first seeds.
func play(t *testing.T, c simulate.Config, seeds uint64) (sum simulate.Result) {
	t.Helper()
	for seed := range seeds {
		c.Seed = seed + 1
		r, err := simulate.Run(c)
		if err != nil {
			t.Error(err)
		}
		sum.Add(r)
	}
	return sum
}

// Guards against learned sizes that gain less than half of what is to be gained by knowing lengths, and that pay for it
// with preemptions: the streams of an engine that has run out of memory pause while prompts are read again.
func TestLearnedSizesGainHalfOfTheWay(t *testing.T) {
	for _, size := range []struct {
		routers, engines int
		seeds            uint64 // a small fleet has few streams
	}{{8, 24, 6}, {59, 180, 1}} {
		t.Run(fmt.Sprint(size.routers, " routers"), func(t *testing.T) {
			got := map[string]simulate.Result{}
			var mu sync.Mutex
			var group sync.WaitGroup
			for _, p := range []string{"none", "maximum", "learned", "perfect"} {
				group.Go(func() {
					r := play(t, simulate.Config{
						Routers: size.routers, Engines: size.engines, PerEngine: 0.26, Policy: p,
						Length: 110 * time.Second, From: 60 * time.Second, BurstFactor: 0.5,
					}, size.seeds)
					mu.Lock()
					defer mu.Unlock()
					got[p] = r
					t.Logf("%s: %+v, %.4f good", p, r, r.Good())
				})
			}
			group.Wait()
			none, learned, perfect := got["none"].Good(), got["learned"].Good(), got["perfect"].Good()
			if learned < (none+perfect)/2 {
				t.Errorf("%.4f with learned sizes, %.4f without, %.4f with perfect ones", learned, none, perfect)
			}
			if got["learned"].Preemptions > got["maximum"].Preemptions {
				t.Errorf("%d preemptions, %d with the stated maximum", got["learned"].Preemptions, got["maximum"].Preemptions)
			}
		})
	}
}

// Guards against hints that do harm: wrong by a factor of ten, missing, or chosen to make requests seem small. The results must
// not be more than 2% worse than those without any estimate.
func TestBadHintsDoNoHarm(t *testing.T) {
	c := simulate.Config{Routers: 59, Engines: 180, PerEngine: 0.25, Length: 100 * time.Second, From: 60 * time.Second, BurstFactor: 0.5, Policy: "none"}
	none := play(t, c, 1).Good()
	c.Policy = "learned"
	for _, h := range []simulate.Hints{simulate.HintsTenfold, simulate.HintsMissing, simulate.HintsHostile} {
		c.Hints = h
		got := play(t, c, 1).Good()
		t.Logf("%s: %.4f, without estimates %.4f", h, got, none)
		if got < 0.98*none {
			t.Errorf("hints %s: %.4f, without estimates %.4f", h, got, none)
		}
	}
}
