package measure

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"wigeondale/fleet"
	"wigeondale/load"
)

// tally sums up the answers and the extra work of one fleet in one run.
type tally struct {
	answers, complete int
	delivered         int // tokens
	waits             map[faultKind]*hdrhistogram.Histogram
	resumes           map[faultKind]int
	prefilled         map[faultKind]int // tokens prefilled again
	wasted            map[faultKind]int // tokens generated that no caller received
	firstToken        map[string]*hdrhistogram.Histogram
}

// minFaultGap is the minimum wait between two tokens that is attributed to a fault.
const minFaultGap = 5 * step

func newTally(answers []Answer, rec *load.Record, faults []fault) tally {
	t := tally{
		waits: map[faultKind]*hdrhistogram.Histogram{}, resumes: map[faultKind]int{},
		prefilled: map[faultKind]int{}, wasted: map[faultKind]int{},
		firstToken: map[string]*hdrhistogram.Histogram{},
	}
	for _, k := range append(slices.Clone(faultKinds), noFault) {
		t.waits[k] = newHist()
	}
	attempts := attemptsOf(rec)
	for i := range answers {
		t.add(&answers[i], attempts[answers[i].Request], faults)
	}
	return t
}

// engineAttempt is one attempt and the engine that ran it.
type engineAttempt struct {
	engine string
	load.AttemptRecord
}

// attemptsOf returns the attempts of each request, in order.
func attemptsOf(rec *load.Record) map[string][]engineAttempt {
	out := map[string][]engineAttempt{}
	for _, e := range rec.Engines {
		for _, s := range e.Streams {
			out[s.Request] = append(out[s.Request], engineAttempt{e.Engine, s})
		}
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b engineAttempt) int { return cmp.Compare(a.Attempt, b.Attempt) })
	}
	return out
}

func (t *tally) add(a *Answer, attempts []engineAttempt, faults []fault) {
	t.answers++
	if a.Outcome == fleet.Complete {
		t.complete++
	}
	t.delivered += len(a.Tokens)
	if len(a.Tokens) > 0 {
		if t.firstToken[a.Class] == nil {
			t.firstToken[a.Class] = newHist()
		}
		observe(t.firstToken[a.Class], a.Tokens[0]-a.StartedAt)
	}
	t.addWaits(a, attempts, faults)
	t.addExtra(a, attempts, faults)
}

// addWaits attributes each long wait between two tokens to the fault of the engine that
// delivered the token before the wait.
func (t *tally) addWaits(a *Answer, attempts []engineAttempt, faults []fault) {
	for i := 1; i < len(a.Tokens); i++ {
		from, to := a.Tokens[i-1], a.Tokens[i]
		if to-from < minFaultGap {
			continue
		}
		k := faultDuring(faults, servedBy(a, attempts, i-1), from, to)
		observe(t.waits[k], to-from)
	}
}

// servedBy returns the engine that delivered token i.
func servedBy(a *Answer, attempts []engineAttempt, i int) string {
	at := a.Tokens[i]
	for _, l := range a.Losses { // start-over client: the next loss names the engine
		if l.At > at {
			return l.Engine
		}
	}
	engine := ""
	for _, try := range attempts {
		if len(a.Losses) > 0 || try.ResumedAt <= i && try.Delivered > 0 {
			engine = try.engine
		}
	}
	return engine
}

// addExtra adds, for each lost attempt, the tokens that the next attempt prefilled again and
// the generated tokens that no caller received.
func (t *tally) addExtra(a *Answer, attempts []engineAttempt, faults []fault) {
	for i := 1; i < len(attempts); i++ {
		lost, next := attempts[i-1], attempts[i]
		from, to := lossSpan(a, next, i)
		k := faultDuring(faults, lost.engine, from, to)
		used := max(next.ResumedAt-lost.ResumedAt, 0)
		t.resumes[k]++
		t.prefilled[k] += next.Prefilled
		t.wasted[k] += max(lost.Generated-used, 0)
	}
}

// lossSpan returns the time span in which an attempt was lost: from the last token before
// the loss to the first token after it. For an attempt of the start-over client, which
// records its losses, the span is the firstTokenLimit before the client noticed the loss.
func lossSpan(a *Answer, next engineAttempt, i int) (from, to time.Duration) {
	if i-1 < len(a.Losses) {
		return a.Losses[i-1].At - firstTokenLimit, a.Losses[i-1].At
	}
	from, to = a.StartedAt, a.EndedAt
	if at := next.ResumedAt; at > 0 && at <= len(a.Tokens) {
		from = a.Tokens[at-1]
	}
	if next.ResumedAt < len(a.Tokens) {
		to = a.Tokens[next.ResumedAt]
	}
	return from, to
}

// faultDuring returns the kind of the engine's last listed fault that overlaps the time span, or
// noFault.
func faultDuring(faults []fault, engine string, from, to time.Duration) faultKind {
	k := noFault
	for _, f := range faults {
		if f.engine == engine && f.at <= to && from <= f.end()+afterFault {
			k = f.kind
		}
	}
	return k
}

// extra returns the number of extra tokens: prefilled again, or generated and not received by
// any caller.
func (t *tally) extra() int {
	sum := 0
	for k := range t.waits {
		sum += t.prefilled[k] + t.wasted[k]
	}
	return sum
}

// falseResumes returns the number of resumes after faults that end by themselves, or without a
// fault.
func (t *tally) falseResumes() int {
	sum := 0
	for k, n := range t.resumes {
		if !k.losesEngine() {
			sum += n
		}
	}
	return sum
}

// losses merges the waits that killed and frozen engines caused into one histogram.
func (t *tally) losses() *hdrhistogram.Histogram {
	h := newHist()
	h.Merge(t.waits[killed])
	h.Merge(t.waits[frozen])
	return h
}

// waited returns the total time of callers in long waits caused by faults, in seconds.
func (t *tally) waited() float64 {
	var sum float64
	for k, h := range t.waits {
		if k != noFault {
			sum += h.Mean() * float64(h.TotalCount()) / usPerSecond
		}
	}
	return sum
}
