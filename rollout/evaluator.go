package rollout

import (
	"fmt"
	"math"
)

const (
	// slowBuckets is how many latency buckets an answer must lie above the median latency of the
	// old version to count as slow.
	slowBuckets = 4
	// minBaseline is how many answers of the old version with a known latency are needed before
	// their median is used. With fewer answers no answer counts as slow.
	minBaseline = 8
	// The old version is assumed to have given priorAnswers more answers than were counted,
	// priorBad of them bad. This prior stands for the old version's share of bad answers until
	// enough answers are counted.
	priorBad     = 1.0
	priorAnswers = 25.0
	// A version is bad if its share of bad answers exceeds the old version's share of bad
	// answers by badShare. toleranceFactor and toleranceAdd allow for the difference between
	// two healthy versions.
	badShare        = 0.22
	toleranceFactor = 1.25
	toleranceAdd    = 0.03
	maxBadShare     = 0.97
	// badEvidence is the amount of evidence from which a version counts as bad. Evidence is the
	// log likelihood ratio of a bad version against a healthy version, as a cumulative sum that
	// never falls below zero (CUSUM), so that a version that turns bad after a while is found
	// as fast as a version that is bad from the start.
	badEvidence = 11.0
	// maxDomainShare is the part of badEvidence that one failure domain can contribute.
	maxDomainShare = 0.5
	// A trial does not pass if its evidence against the new version is maxOtherEvidence or more.
	// Where there are several failure domains, the evidence of the one that contributes most is
	// left out, so that one failing domain can't block the trial.
	maxOtherEvidence = 1.0
	// minAnswers is how many answers of the new version are needed to pass a trial, unless
	// fewer than fewRequests requests arrived during the trial.
	minAnswers  = 10
	fewRequests = 20
	// soundEvidence is the amount of evidence for the new version that a roll-out needs to complete: its answers since
	// all work moved there are 20 times likelier from a healthy version than from a bad one. About a dozen good
	// answers suffice, and each bad one needs several good ones more.
	soundEvidence = 3.0
	// maxReporters bounds the number of routers that must have reported such answers.
	maxReporters = 8
)

// evidenceKey identifies one cumulative sum of evidence: the sum for one route and aspect, or
// the sum for all routes and aspects together.
type evidenceKey struct {
	route  string
	aspect Aspect
	all    bool
}

// Verdict is the result of evaluating the evidence that the new version is bad.
type Verdict struct {
	Bad           bool
	Route         string // route with the strongest evidence; empty for all routes together
	Aspect        Aspect
	Evidence      float64
	OtherEvidence float64 `json:"Doubt"` // evidence without that of the failure domain that contributes most
	Answers       int     // answers of the new version
	BadAnswers    int     `json:"BadOnes"` // bad answers of the new version
}

func (v Verdict) String() string {
	on := v.Route
	if on == "" {
		on = "all routes"
	}
	return fmt.Sprintf("evidence %.1f on %s, %d of %d answers bad", v.Evidence, on, v.BadAnswers, v.Answers)
}

// baseline describes the answers of the old version on one route, measured by one aspect.
type baseline struct {
	known    bool  // whether there are enough answers to know the median time
	slowFrom Grade // bucket from which an answer counts as slow
	badRate  float64
}

// bad reports whether an answer counts against its version: it failed, or it is slow compared
// with the baseline.
func (b baseline) bad(g Grade) bool { return g == Failed || (b.known && g >= b.slowFrom) }

// baselineOf computes the baseline of one route and aspect from the answers of the old version.
func baselineOf(old map[CountKey]uint32, route string, aspect Aspect) baseline {
	var buckets [lastGrade + 1]uint32
	var timed, failed uint32
	for c, n := range old {
		switch {
		case c.Route != route || c.Aspect != aspect:
		case c.Grade == Failed:
			failed += n
		default:
			buckets[min(c.Grade, lastGrade)] += n
			timed += n
		}
	}
	b := baseline{known: timed >= minBaseline}
	slow := uint32(0)
	if b.known {
		b.slowFrom = median(buckets[:], timed) + slowBuckets
		for g := int(b.slowFrom); g <= lastGrade; g++ {
			slow += buckets[g]
		}
	}
	b.badRate = (float64(failed+slow) + priorBad) / (float64(timed+failed) + priorAnswers)
	return b
}

func median(buckets []uint32, total uint32) Grade {
	seen := uint32(0)
	for g, n := range buckets {
		seen += n
		if 2*seen >= total {
			return Grade(g)
		}
	}
	return lastGrade
}

// evaluator accumulates evidence from answers of the new version, compared with those of the old
// version.
type evaluator struct {
	sums       map[evidenceKey]map[string]float64 // evidence, by key and failure domain
	answers    int
	badAnswers int
	// sound is the evidence for the new version from the answers since the last call of widened, by failure
	// domain.
	sound map[string]float64
}

// widened is called when the new version gets more requests: answers from before don't speak for it.
func (e *evaluator) widened() { e.sound = map[string]float64{} }

// evidenceFor returns the evidence for the new version. Of several failure domains the one with the
// least is left out, as in verdict: one replica that fails is not a fault of the version.
func (e *evaluator) evidenceFor() float64 {
	sum, least := 0.0, math.Inf(1)
	for _, s := range e.sound {
		sum += s
		least = min(least, s)
	}
	if len(e.sound) > 1 {
		sum -= least
	}
	return sum
}

// evidenceGains holds the evidence that a batch of answers adds, by key and failure domain.
type evidenceGains map[evidenceKey]map[string]float64

func (g evidenceGains) add(key evidenceKey, domain string, added float64) {
	if g[key] == nil {
		g[key] = map[string]float64{}
	}
	g[key][domain] += added
}

// add compares answers of the new version that became known together with the given answers of
// the old version, and adds the resulting evidence to the sums.
func (e *evaluator) add(answers map[CountKey]uint32, old map[CountKey]uint32) {
	baselines := map[evidenceKey]baseline{}
	g := evidenceGains{}
	for c, n := range answers {
		key := evidenceKey{route: c.Route, aspect: c.Aspect}
		b, ok := baselines[key]
		if !ok {
			b = baselineOf(old, c.Route, c.Aspect)
			baselines[key] = b
		}
		bad := b.bad(c.Grade)
		added := float64(n) * weight(b.badRate, bad)
		if e.sound != nil {
			e.sound[c.Domain] -= added
		}
		g.add(key, c.Domain, added)
		g.add(evidenceKey{all: true}, c.Domain, added)
		if c.Aspect != ChunkInterval {
			e.answers += int(n)
		}
		if bad {
			e.badAnswers += int(n)
		}
	}
	e.accumulate(g)
}

func (e *evaluator) accumulate(g evidenceGains) {
	if e.sums == nil {
		e.sums = map[evidenceKey]map[string]float64{}
	}
	for key, byDomain := range g {
		if e.sums[key] == nil {
			e.sums[key] = map[string]float64{}
		}
		for domain, added := range byDomain {
			e.sums[key][domain] = max(e.sums[key][domain]+added, 0)
		}
	}
}

// verdict evaluates the accumulated evidence. domains is the number of failure domains in
// which the new version has replicas, or 0 if the number is not known yet. Unless the number
// is 1, the evidence of one domain is not sufficient: a domain that crashes, or one replica that
// fails, is not a fault of the version.
func (e *evaluator) verdict(domains int) Verdict {
	v := Verdict{Answers: e.answers, BadAnswers: e.badAnswers}
	domainMax := badEvidence
	if domains != 1 { // 0: not known yet
		domainMax = maxDomainShare * badEvidence
	}
	for key, byDomain := range e.sums {
		sum, largest := 0.0, 0.0
		for _, s := range byDomain {
			sum += min(s, domainMax)
			largest = max(largest, min(s, domainMax))
		}
		if domains > 1 {
			v.OtherEvidence = max(v.OtherEvidence, sum-largest)
		} else {
			v.OtherEvidence = max(v.OtherEvidence, sum)
		}
		if sum > v.Evidence {
			v.Evidence, v.Route, v.Aspect = sum, key.route, key.aspect
		}
	}
	v.Bad = v.Evidence >= badEvidence
	return v
}

// weight returns the evidence of one answer: the logarithm of a ratio. The ratio states how
// much more likely such an answer is from a bad version than from a healthy version. badRate
// is the share of bad answers among the old version's answers.
func weight(badRate float64, bad bool) float64 {
	healthy := min(badRate*toleranceFactor+toleranceAdd, maxBadShare-toleranceAdd)
	worse := min(healthy+badShare, maxBadShare)
	if bad {
		return math.Log(worse / healthy)
	}
	return math.Log((1 - worse) / (1 - healthy))
}
