package health

import (
	"testing"
	"time"
)

// history30 returns the history of an engine that steps every 30 ms, with some pauses.
func history30(pause time.Duration, pauses int) History {
	var g Gaps
	for range 2000 {
		g.Add(30 * time.Millisecond)
	}
	for range pauses {
		g.Add(pause)
	}
	return History{Gaps: g.Shares(), Streams: 20, Bytes: 20 * 8000}
}

// The threshold must follow the expected cost: with a wrong threshold callers wait for seconds
// on dead engines, or prefill is repeated for engines that were merely slow. Each row changes
// one input and states which way the threshold must move.
func TestThresholdFollowsExpectedCost(t *testing.T) {
	base := DefaultPolicy()
	baseline := Threshold(history30(0, 0), &base)
	rows := []struct {
		name   string
		change func(h *History, p *Policy)
		longer bool
	}{
		{"latency weighs more", func(_ *History, p *Policy) { p.ResumeLatencyWeight = 20 }, false},
		{"extra work weighs more", func(_ *History, p *Policy) { p.ExtraWorkWeight = 20 }, true},
		{"more text to prefill", func(h *History, _ *Policy) { h.Bytes *= 20 }, true},
		{"failures are frequent", func(_ *History, p *Policy) { p.FailuresPerHour = 20 }, false},
		{"a peer report is current", func(h *History, _ *Policy) { h.PeerReported = true }, false},
		{"an engine with pauses", func(h *History, _ *Policy) { *h = history30(700*time.Millisecond, 40) }, true},
	}
	for _, row := range rows {
		h, p := history30(0, 0), base
		row.change(&h, &p)
		got := Threshold(h, &p)
		if row.longer && got <= baseline {
			t.Errorf("%s: threshold %v, want above %v", row.name, got, baseline)
		}
		if !row.longer && got >= baseline {
			t.Errorf("%s: threshold %v, want below %v", row.name, got, baseline)
		}
	}
	if baseline < 2*30*time.Millisecond || baseline > 2*time.Second {
		t.Errorf("threshold of an engine with steps of 30 ms is %v", baseline)
	}
}

// Streams must not be resumed at each preemption. The fault is to consider only the cost of
// the next moment. An engine steps every 30 ms and pauses for 700 ms once in fifty steps;
// silence of 100 ms is rare for its steps, yet the next token is likely to come.
func TestKnownPausesAreWaitedOut(t *testing.T) {
	p := DefaultPolicy()
	got := Threshold(history30(700*time.Millisecond, 40), &p)
	if got < 700*time.Millisecond {
		t.Errorf("threshold %v is shorter than the engine's typical pauses", got)
	}
}

func TestPrefillBoundGrowsWithPrompt(t *testing.T) {
	p := DefaultPolicy()
	short, long := p.PrefillBound(100, false), p.PrefillBound(100_000, false)
	if short < p.MinPrefill || long <= short || p.PrefillBound(1<<40, true) != p.MaxPrefill {
		t.Errorf("bounds: short %v, long %v", short, long)
	}
	if p.PrefillBound(100, true) <= short {
		t.Error("a request that is queued behind live streams is given no more time")
	}
}

func TestBucketsMatchTheirEdges(t *testing.T) {
	for i := range buckets - 1 {
		if got := bucketOf(bucketBound(i) - time.Microsecond); got != i {
			t.Errorf("just below bound %d: bucket %d", i, got)
		}
		if got := bucketOf(bucketBound(i)); got != i+1 {
			t.Errorf("at bound %d: bucket %d", i, got)
		}
	}
}

func TestPolicyIsChecked(t *testing.T) {
	p := DefaultPolicy()
	if err := p.Check(); err != nil {
		t.Error(err)
	}
	for name, invalidate := range map[string]func(p *Policy){
		"weight":    func(p *Policy) { p.ExtraWorkWeight = 0 },
		"bounds":    func(p *Policy) { p.MaxSilence = p.MinSilence },
		"share":     func(p *Policy) { p.MaxEjectedShare = 1 },
		"histogram": func(p *Policy) { p.MaxSilence = time.Hour },
	} {
		bad := DefaultPolicy()
		invalidate(&bad)
		if !Error.Has(bad.Check()) {
			t.Errorf("%s: accepted", name)
		}
	}
}

// The weights must have an effect: otherwise deployments with opposite weights resume at the
// same silence, and an operator who changes a weight sees no difference. An engine steps every
// 30 ms; among thousands of gaps two are of 600 ms. If the wait for an engine that merely
// pauses costs nothing in the sum, one observed pause outweighs every weight and the threshold
// is the longest gap in the histogram.
func TestWeightsMoveTheThreshold(t *testing.T) {
	at := func(latency, extra float64, pauses int) time.Duration {
		p := DefaultPolicy()
		p.ResumeLatencyWeight, p.ExtraWorkWeight = latency, extra
		p.MinSilence, p.MaxSilence = 60*time.Millisecond, 8*time.Second
		p.TailExponent = 2
		h := history30(600*time.Millisecond, pauses)
		h.Streams, h.Bytes = 6, 6*9000
		return Threshold(h, &p)
	}
	for _, pauses := range []int{0, 2} {
		last := time.Duration(0)
		for _, w := range [][2]float64{{16, 1}, {4, 1}, {1, 1}, {1, 4}, {1, 16}} {
			got := at(w[0], w[1], pauses)
			if got <= last {
				t.Errorf("%d pauses, weights %v: threshold %v, not above %v", pauses, w, got, last)
			}
			t.Logf("%d pauses, weights latency %v extra %v: threshold %v", pauses, w[0], w[1], got)
			last = got
		}
	}
}

// BenchmarkThreshold measures the evaluation of one engine; it runs at most five
// times a second for an engine that is silent beyond MinSilence.
func BenchmarkThreshold(b *testing.B) {
	p := DefaultPolicy()
	h := history30(700*time.Millisecond, 2)
	for b.Loop() {
		Threshold(h, &p)
	}
}
