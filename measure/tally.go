package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeondale/fleet"
	"wigeondale/load"
)

// tally is what one fleet did in one run.
type tally struct {
	answers, complete int
	delivered         int // tokens
	waits             map[kind]*hdrhistogram.Histogram
	resumes           map[kind]int
	prefilled         map[kind]int // tokens prefilled again
	wasted            map[kind]int // tokens generated for nobody
	firstToken        map[string]*hdrhistogram.Histogram
}

// longGap is from where on a wait between two tokens is laid to a fault.
const longGap = 5 * step

func newTally(answers []Answer, rec *load.Record, faults []fault) tally {
	t := tally{
		waits: map[kind]*hdrhistogram.Histogram{}, resumes: map[kind]int{},
		prefilled: map[kind]int{}, wasted: map[kind]int{},
		firstToken: map[string]*hdrhistogram.Histogram{},
	}
	for _, k := range append(slices.Clone(kinds), noFault) {
		t.waits[k] = newHist()
	}
	attempts := attemptsOf(rec)
	for i := range answers {
		t.add(&answers[i], attempts[answers[i].Request], faults)
	}
	return t
}

// tried is one attempt with the engine that ran it.
type tried struct {
	engine string
	load.AttemptRecord
}

// attemptsOf lists each request's attempts in their order.
func attemptsOf(rec *load.Record) map[string][]tried {
	out := map[string][]tried{}
	for _, e := range rec.Engines {
		for _, s := range e.Streams {
			out[s.Request] = append(out[s.Request], tried{e.Engine, s})
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b tried) int { return cmp.Compare(a.Attempt, b.Attempt) })
	}
	return out
}

func (t *tally) add(a *Answer, attempts []tried, faults []fault) {
	t.answers++
	if a.Outcome == fleet.Complete {
		t.complete++
	}
	t.delivered += len(a.Tokens)
	if len(a.Tokens) > 0 {
		if t.firstToken[a.Class] == nil {
			t.firstToken[a.Class] = newHist()
		}
		observe(t.firstToken[a.Class], a.Tokens[0]-a.Began)
	}
	t.addWaits(a, attempts, faults)
	t.addExtra(a, attempts, faults)
}

// addWaits lays each long wait between two tokens to the fault of the engine
// that was serving before it.
func (t *tally) addWaits(a *Answer, attempts []tried, faults []fault) {
	for i := 1; i < len(a.Tokens); i++ {
		from, to := a.Tokens[i-1], a.Tokens[i]
		if to-from < longGap {
			continue
		}
		k := cause(faults, servedBy(a, attempts, i-1), from, to)
		observe(t.waits[k], to-from)
	}
}

// servedBy returns the engine that delivered token i.
func servedBy(a *Answer, attempts []tried, i int) string {
	at := a.Tokens[i]
	for _, l := range a.Lost { // start-over: the loss that came next
		if l.At > at {
			return l.Engine
		}
	}
	engine := ""
	for _, try := range attempts {
		if len(a.Lost) > 0 || try.ResumedAt <= i && try.Delivered > 0 {
			engine = try.engine
		}
	}
	return engine
}

// addExtra reckons for each lost attempt what the next one prefilled again
// and what was generated for nobody.
func (t *tally) addExtra(a *Answer, attempts []tried, faults []fault) {
	for i := 1; i < len(attempts); i++ {
		lost, next := attempts[i-1], attempts[i]
		from, to := lossOf(a, next, i)
		k := cause(faults, lost.engine, from, to)
		used := max(next.ResumedAt-lost.ResumedAt, 0)
		t.resumes[k]++
		t.prefilled[k] += next.Prefilled
		t.wasted[k] += max(lost.Generated-used, 0)
	}
}

// lossOf is the time in which an attempt was lost: from the last token before
// it to the first one after it.
func lossOf(a *Answer, next tried, i int) (from, to time.Duration) {
	if i-1 < len(a.Lost) {
		return a.Lost[i-1].At - firstTokenLimit, a.Lost[i-1].At
	}
	from, to = a.Began, a.Ended
	if at := next.ResumedAt; at > 0 && at <= len(a.Tokens) {
		from = a.Tokens[at-1]
	}
	if next.ResumedAt < len(a.Tokens) {
		to = a.Tokens[next.ResumedAt]
	}
	return from, to
}

// cause finds the fault of the engine that overlaps the time.
func cause(faults []fault, engine string, from, to time.Duration) kind {
	k := noFault
	for _, f := range faults {
		if f.engine == engine && f.at <= to && from <= f.end()+afterFault {
			k = f.kind
		}
	}
	return k
}

// extra is all extra tokens: prefilled again and generated for nobody.
func (t *tally) extra() int {
	sum := 0
	for k := range t.waits {
		sum += t.prefilled[k] + t.wasted[k]
	}
	return sum
}

// falseResumes are those after faults that end by themselves, or none.
func (t *tally) falseResumes() int {
	sum := 0
	for k, n := range t.resumes {
		if !k.real() {
			sum += n
		}
	}
	return sum
}

// losses merges the waits around engines that were lost.
func (t *tally) losses() *hdrhistogram.Histogram {
	h := newHist()
	h.Merge(t.waits[killed])
	h.Merge(t.waits[frozen])
	return h
}

// waited is the callers' time in long waits after all faults, in seconds.
func (t *tally) waited() float64 {
	var sum float64
	for k, h := range t.waits {
		if k != noFault {
			sum += h.Mean() * float64(h.TotalCount()) / usPerSecond
		}
	}
	return sum
}
