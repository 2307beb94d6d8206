package measure

import (
	"fmt"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// reportDetection writes the results of the detection experiment: a row of medians over the
// runs for each policy, a row for each policy and kind of fault, and a plot.
func reportDetection(env *Env, results [][]tally) error {
	base := slices.IndexFunc(env.Fleets, func(r *Running) bool { return r.Name == baselineFleet })
	curve := &Table{Name: "curve", Columns: []string{"policy", "complete", "lost streams", "resume p50 ms", "p99 ms", "mean ms",
		"ratio", "extra tokens/1000", "ratio", "prefilled again", "for nobody", "false resumes", "wait s", "cost 4:1", "cost 1:4"}}
	perKind := &Table{Name: "kinds", Columns: []string{"policy", "fault", "waits", "p50 ms", "p99 ms", "resumes", "prefilled again", "for nobody"}}
	var points []Point
	for i, runs := range results {
		name := env.Fleets[i].Name
		m, b := summary(runs), summary(results[base])
		latency, extra := m.mean/b.mean, m.extra/b.extra
		curve.Add(name, m.complete, formatCount(m.lost), formatCount(m.p50), formatCount(m.p99), formatCount(m.mean), formatRatio(latency), formatCount(m.extra), formatRatio(extra),
			formatCount(m.prefilled), formatCount(m.wasted), formatCount(m.falseResumes), formatCount(m.waited), formatRatio((4*latency+extra)/5), formatRatio((latency+4*extra)/5))
		points = append(points, Point{name, m.extra, m.mean})
		addKinds(perKind, name, runs)
	}
	if err := env.Save(curve); err != nil {
		return err
	}
	if err := env.Save(perKind); err != nil {
		return err
	}
	return env.SavePlot("curve", "Resume latency against extra work", "extra tokens per 1000 delivered", "mean resume latency, ms", points)
}

// figures holds the results of one fleet over its runs, mostly as medians. Times are in
// milliseconds, except waited, which is in seconds. extra is the number of extra tokens for
// each 1,000 tokens delivered.
type figures struct {
	complete                 string
	lost, p50, p99, mean     float64
	extra, prefilled, wasted float64
	falseResumes, waited     float64
}

func summary(runs []tally) figures {
	answers, complete := 0, 0
	for _, t := range runs {
		answers += t.answers
		complete += t.complete
	}
	losses := func(f func(*hdrhistogram.Histogram) float64) float64 {
		return median(runs, func(t *tally) float64 { return f(t.losses()) })
	}
	return figures{
		complete: fmt.Sprintf("%d/%d", complete, answers),
		lost:     losses(func(h *hdrhistogram.Histogram) float64 { return float64(h.TotalCount()) }),
		p50:      losses(func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(50)) / 1000 }),
		p99:      losses(func(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtQuantile(99)) / 1000 }),
		mean:     losses(func(h *hdrhistogram.Histogram) float64 { return h.Mean() / 1000 }),
		extra: median(runs, func(t *tally) float64 {
			return 1000 * float64(t.extra()) / float64(max(t.delivered, 1))
		}),
		prefilled:    median(runs, func(t *tally) float64 { return float64(sum(t.prefilled)) }),
		wasted:       median(runs, func(t *tally) float64 { return float64(sum(t.wasted)) }),
		waited:       median(runs, func(t *tally) float64 { return t.waited() }),
		falseResumes: median(runs, func(t *tally) float64 { return float64(t.falseResumes()) }),
	}
}

func addKinds(table *Table, name string, runs []tally) {
	for _, k := range append(slices.Clone(faultKinds), noFault) {
		waits := newHist()
		resumes, prefilled, wasted := 0, 0, 0
		for _, t := range runs {
			waits.Merge(t.waits[k])
			resumes += t.resumes[k]
			prefilled += t.prefilled[k]
			wasted += t.wasted[k]
		}
		table.Add(name, string(k), fmt.Sprint(waits.TotalCount()), quantileMS(waits, 50), quantileMS(waits, 99),
			fmt.Sprint(resumes), fmt.Sprint(prefilled), fmt.Sprint(wasted))
	}
}

func sum(m map[faultKind]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

func median(runs []tally, f func(*tally) float64) float64 {
	var all []float64
	for i := range runs {
		all = append(all, f(&runs[i]))
	}
	slices.Sort(all)
	return (all[(len(all)-1)/2] + all[len(all)/2]) / 2
}

func formatCount(v float64) string { return fmt.Sprintf("%.0f", v) }
func formatRatio(v float64) string { return fmt.Sprintf("%.2f", v) }
