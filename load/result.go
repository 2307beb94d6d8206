package load

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeondale/fleet"
)

// Range and precision of the histograms, which count microseconds.
const (
	histMax    = int64(10 * time.Minute / time.Microsecond)
	histDigits = 3
)

// Quantiles summarises one histogram of durations, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
	Mean  float64 `json:"mean_ms"`
}

// ClassResult holds the results of one class of requests.
type ClassResult struct {
	Name           string                `json:"name"`
	Sent           int                   `json:"sent"`
	Outcomes       map[fleet.Outcome]int `json:"outcomes"`
	EndedBy        map[string]int        `json:"ended_by"`
	Reconnects     int                   `json:"reconnects"`
	Resumes        int                   `json:"resumes"`     // by another engine, from the record
	NoRetryAfter   int                   `json:"no_advice"`   // incomplete answers without Retry-After
	Tokens         int                   `json:"tokens"`      // delivered
	Missing        int                   `json:"missing"`     // tokens, over all answers
	Repeated       int                   `json:"repeated"`    // tokens
	Spliced        int                   `json:"spliced"`     // tokens
	BadAnswers     int                   `json:"bad_answers"` // answers whose check failed
	FirstToken     Quantiles             `json:"first_token"`
	Gap            Quantiles             `json:"token_gap"`
	Resume         Quantiles             `json:"resume_latency"`
	CompleteAnswer Quantiles             `json:"whole_answer"`

	firstToken, gap, resume, completeAnswer *hdrhistogram.Histogram
}

// Result holds the results of one run.
type Result struct {
	Seed    uint64         `json:"seed"`
	Seconds float64        `json:"seconds"`
	OK      bool           `json:"ok"` // all answers passed their checks
	Classes []*ClassResult `json:"classes"`
}

func newResult(cfg Config, took time.Duration) *Result {
	res := &Result{Seed: cfg.Seed, Seconds: took.Seconds()}
	for _, cl := range cfg.Classes {
		res.Classes = append(res.Classes, &ClassResult{
			Name:       cl.Name,
			Outcomes:   make(map[fleet.Outcome]int),
			EndedBy:    make(map[string]int),
			firstToken: newHist(), gap: newHist(), resume: newHist(), completeAnswer: newHist(),
		})
	}
	return res
}

func newHist() *hdrhistogram.Histogram { return hdrhistogram.New(1, histMax, histDigits) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	us := min(max(d.Microseconds(), 1), histMax)
	_ = h.RecordValue(us) // cannot fail: the value is within the range
}

// add counts one answer. resumedAt lists the token indices at which another engine resumed
// the answer.
func (r *Result) add(a *answer, resumedAt []int) {
	c := r.Classes[a.class]
	c.Sent++
	c.Outcomes[a.outcome]++
	c.Reconnects += a.reconnects
	if a.endedBy != "" {
		c.EndedBy[a.endedBy]++
	}
	if a.outcome != fleet.Complete && !a.retryAfter {
		c.NoRetryAfter++
	}
	if a.outcome == fleet.Complete {
		record(c.completeAnswer, a.duration)
	}
	if a.firstToken > 0 {
		record(c.firstToken, a.firstToken)
	}
	c.addGaps(a, resumedAt)
	if a.checked {
		c.addCheck(a)
	}
}

func (c *ClassResult) addGaps(a *answer, resumedAt []int) {
	for i, d := range a.gaps {
		if d > 0 {
			record(c.gap, d)
		}
		if slices.Contains(resumedAt, i+1) {
			c.Resumes++
			record(c.resume, d)
		}
	}
}

func (c *ClassResult) addCheck(a *answer) {
	c.Tokens += a.report.Tokens
	c.Missing += a.report.Missing
	c.Repeated += a.report.Repeated
	c.Spliced += a.report.Spliced
	if !a.report.OK {
		c.BadAnswers++
	}
}

func (r *Result) finish() {
	r.OK = true
	for _, c := range r.Classes {
		c.FirstToken = quantiles(c.firstToken)
		c.Gap = quantiles(c.gap)
		c.Resume = quantiles(c.resume)
		c.CompleteAnswer = quantiles(c.completeAnswer)
		r.OK = r.OK && c.BadAnswers == 0
	}
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	ms := func(us int64) float64 { return float64(us) / 1000 }
	return Quantiles{
		Count: h.TotalCount(),
		P50:   ms(h.ValueAtQuantile(50)),
		P90:   ms(h.ValueAtQuantile(90)),
		P99:   ms(h.ValueAtQuantile(99)),
		Max:   ms(h.Max()),
		Mean:  h.Mean() / 1000,
	}
}

// Print writes the result as a table.
func (r *Result) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "class\tsent\tcomplete\tnot-run\tfailed\tunknown\ttokens\tmissing\trepeated\tspliced")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", c.Name, c.Sent,
			c.Outcomes[fleet.Complete], c.Outcomes[fleet.NotRun], c.Outcomes[fleet.Failed], c.Outcomes[fleet.Unknown],
			c.Tokens, c.Missing, c.Repeated, c.Spliced)
	}
	fmt.Fprintln(t, "\nclass\tmeasure\tcount\tp50 ms\tp90 ms\tp99 ms\tmax ms")
	for _, c := range r.Classes {
		c.printQuantiles(t, "first token", c.FirstToken)
		c.printQuantiles(t, "token gap", c.Gap)
		c.printQuantiles(t, "resume latency", c.Resume)
		c.printQuantiles(t, "whole answer", c.CompleteAnswer)
	}
	t.Flush()
	fmt.Fprintf(w, "\nseed %d, %.1f s, check %s\n", r.Seed, r.Seconds, checkResult(r.OK))
}

func (c *ClassResult) printQuantiles(w io.Writer, name string, q Quantiles) {
	if q.Count == 0 {
		return
	}
	fmt.Fprintf(w, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\n", c.Name, name, q.Count, q.P50, q.P90, q.P99, q.Max)
}

func checkResult(ok bool) string {
	if ok {
		return "holds"
	}
	return "FAILS"
}
