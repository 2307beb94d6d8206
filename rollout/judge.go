package rollout

import (
	"fmt"
	"math"
)

const (
	// slowSteps are the steps on the scale of times from the usual time of an answer to
	// one that counts as several times slower.
	slowSteps = 4
	// minUsual is how many answers of the old version tell its usual time.
	minUsual = 8
	// priorBad of priorAnswers is what is taken for the old version's share of bad answers
	// before its answers tell.
	priorBad     = 1.0
	priorAnswers = 25.0
	// A version is bad whose share of bad answers is greater than the old one's by
	// badShare. allowance is for what differs between two sound versions.
	badShare     = 0.22
	allowance    = 1.25
	allowanceAdd = 0.03
	mostBad      = 0.97
	// verdictAt is the evidence from which a version counts as bad: the logarithm of the
	// likelihood ratio of a bad version against a sound one, as a cumulative sum that never
	// falls below zero, so that a version which turns bad late is found as fast.
	verdictAt = 11.0
	// mostOfOne is the part of that which one failure domain can give.
	mostOfOne = 0.5
	// doubtAt is the evidence, without that of the failure domain which has most, with which
	// a trial is not ended in the version's favour.
	doubtAt = 1.0
	// minAnswers of the new version are needed to say that it is sound, unless fewRequests
	// came in the trial, or less.
	minAnswers  = 10
	fewRequests = 20
)

// line is one row of evidence: a route and an aspect, or all of them together.
type line struct {
	route  string
	aspect Aspect
	all    bool
}

// Verdict is what the evidence says.
type Verdict struct {
	Bad           bool
	Route         string // that it shows on; empty for all together
	Aspect        Aspect
	Evidence      float64
	OtherEvidence float64 // evidence without that of the domain which has most
	Answers       int     // of the new version
	BadAnswers    int     // of those
}

func (v Verdict) String() string {
	on := v.Route
	if on == "" {
		on = "all routes"
	}
	return fmt.Sprintf("evidence %.1f on %s, %d of %d answers bad", v.Evidence, on, v.BadAnswers, v.Answers)
}

// usual is how the old version answers.
type usual struct {
	known  bool  // whether its usual time is
	slow   Grade // from which an answer counts as slow
	badPer float64
}

// bad tells whether an answer counts against its version.
func (u usual) bad(g Grade) bool { return g == Failed || (u.known && g >= u.slow) }

// usualOf is worked out from the answers of the old version.
func usualOf(old map[CountKey]uint32, route string, aspect Aspect) usual {
	var steps [lastGrade + 1]uint32
	var timed, broken uint32
	for c, n := range old {
		switch {
		case c.Route != route || c.Aspect != aspect:
		case c.Grade == Failed:
			broken += n
		default:
			steps[min(c.Grade, lastGrade)] += n
			timed += n
		}
	}
	u := usual{known: timed >= minUsual}
	slow := uint32(0)
	if u.known {
		u.slow = median(steps[:], timed) + slowSteps
		for g := int(u.slow); g <= lastGrade; g++ {
			slow += steps[g]
		}
	}
	u.badPer = (float64(broken+slow) + priorBad) / (float64(timed+broken) + priorAnswers)
	return u
}

func median(steps []uint32, all uint32) Grade {
	seen := uint32(0)
	for g, n := range steps {
		seen += n
		if 2*seen >= all {
			return Grade(g)
		}
	}
	return lastGrade
}

// judge weighs the answers of the new version against the old one's.
type judge struct {
	sums    map[line]map[string]float64 // evidence, by failure domain
	answers int
	badOnes int
}

// gains is the evidence of some answers, by line and domain.
type gains map[line]map[string]float64

func (g gains) add(l line, domain string, gain float64) {
	if g[l] == nil {
		g[l] = map[string]float64{}
	}
	g[l][domain] += gain
}

// take weighs answers of the new version that became known together.
func (j *judge) take(answers map[CountKey]uint32, old map[CountKey]uint32) {
	byLine := map[line]usual{}
	g := gains{}
	for c, n := range answers {
		l := line{route: c.Route, aspect: c.Aspect}
		u, ok := byLine[l]
		if !ok {
			u = usualOf(old, c.Route, c.Aspect)
			byLine[l] = u
		}
		bad := u.bad(c.Grade)
		gain := float64(n) * weight(u.badPer, bad)
		g.add(l, c.Domain, gain)
		g.add(line{all: true}, c.Domain, gain)
		if c.Aspect != ChunkInterval {
			j.answers += int(n)
		}
		if bad {
			j.badOnes += int(n)
		}
	}
	j.join(g)
}

func (j *judge) join(g gains) {
	if j.sums == nil {
		j.sums = map[line]map[string]float64{}
	}
	for l, byDomain := range g {
		if j.sums[l] == nil {
			j.sums[l] = map[string]float64{}
		}
		for domain, gain := range byDomain {
			j.sums[l][domain] = max(j.sums[l][domain]+gain, 0)
		}
	}
}

// verdict tells what the evidence says; domains is in how many failure domains the new
// version has replicas. Where there are several, one alone can't convict the version: a
// domain that crashes, or one replica that fails, is no fault of it.
func (j *judge) verdict(domains int) Verdict {
	v := Verdict{Answers: j.answers, BadAnswers: j.badOnes}
	most := verdictAt
	if domains != 1 { // 0: not known yet
		most = mostOfOne * verdictAt
	}
	for l, byDomain := range j.sums {
		sum, largest := 0.0, 0.0
		for _, s := range byDomain {
			sum += min(s, most)
			largest = max(largest, min(s, most))
		}
		if domains > 1 {
			v.OtherEvidence = max(v.OtherEvidence, sum-largest)
		} else {
			v.OtherEvidence = max(v.OtherEvidence, sum)
		}
		if sum > v.Evidence {
			v.Evidence, v.Route, v.Aspect = sum, l.route, l.aspect
		}
	}
	v.Bad = v.Evidence >= verdictAt
	return v
}

// weight is the evidence of one answer: the logarithm of how much more likely it is from a
// bad version than from a sound one, where the old version gives badPer bad answers.
func weight(badPer float64, bad bool) float64 {
	sound := min(badPer*allowance+allowanceAdd, mostBad-allowanceAdd)
	worse := min(sound+badShare, mostBad)
	if bad {
		return math.Log(worse / sound)
	}
	return math.Log((1 - worse) / (1 - sound))
}
