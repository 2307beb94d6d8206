package waitorder

import "testing"

func TestSimTrial(t *testing.T) {
	for _, n := range []int{59, 300} {
		for _, u := range []float64{0.1, 0.4, 0.7, 1.2} {
			for _, k := range []int{2} {
				simNeed = k
				r := newSim(simConfig{routers: n, seconds: 16, ordered: true, slots: 9, run: 10, urgent: u, other: 1.3, seed: 1}).play()
				t.Logf("n=%d u=%.1f k=%v: inv %.2f%% harm %.2f%% idle %.2f%% starved %v urgent wait %v p95 %v share %.2f bytes %.0f max %.0f grants %d held %d", n, u, k, 100*float64(r.inversions)/float64(r.grants), 100*float64(r.harmful)/float64(r.grants), 100*r.idle, r.starved, r.urgentWait, r.p95Wait, float64(r.urgentGrants)/float64(r.grants), r.bytes, r.bytesMax, r.grants, r.held)
			}
		}
	}
}
