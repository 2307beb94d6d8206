package quarantine

import (
	"math"
	"slices"
	"time"
)

// undecidedTime is how long after a provisional hold the trial is expected that decides on it.
const undecidedTime = 10 * time.Second

// refusal returns why a request must not be sent: a part of it is quarantined for its account and model. A request that
// can serve as a trial of the part is not refused.
func (p *partTable) refusal(parts []Digest, account, model string, now time.Duration) (refusal error) {
	for _, d := range parts {
		s := p.suspects[d]
		if s == nil || s.holdUntil <= now || !s.covers(account, model) || p.isTrial(s, parts) {
			continue
		}
		if !s.undecided(now) {
			return ErrPartQuarantined
		}
		refusal = ErrPartUndecided
	}
	return refusal
}

// undecided reports whether a trial of a part that is quarantined provisionally is in progress or expected.
func (s *partSuspect) undecided(now time.Duration) bool {
	return s.provisional && (now < s.holdStart+undecidedTime || s.liveTrials(now) > 0)
}

// isTrial reports whether a request with the parts may be sent although s is quarantined, since the result shows
// whether s is the cause.
func (p *partTable) isTrial(s *partSuspect, parts []Digest) bool {
	if lacksTied(s, parts) {
		return true
	}
	if !s.provisional {
		return false
	}
	return !slices.ContainsFunc(p.alternatives(s), func(d Digest) bool { return slices.Contains(parts, d) })
}

// alternatives returns the other parts that could be the cause of the crashes under s. Such a part was never answered, and
// was running at half of the crashes or more.
func (p *partTable) alternatives(s *partSuspect) (out []Digest) {
	shared := map[Digest]int{}
	for _, c := range s.crashes {
		for _, d := range p.byCrash[c.incarnation] {
			shared[d]++
		}
	}
	for d, n := range shared {
		if d == s.digest || 2*n < len(s.crashes) {
			continue
		}
		if _, answered := p.lastAnswer(p.suspects[d]); !answered {
			out = append(out, d)
		}
	}
	return out
}

// lacksTied reports whether a request with the parts lacks one that was quarantined together with s.
func lacksTied(s *partSuspect, parts []Digest) bool {
	return slices.ContainsFunc(s.tied, func(d Digest) bool { return !slices.Contains(parts, d) })
}

// trialOf returns the quarantined parts of a request that an attempt of it would be a trial of.
func (p *partTable) trialOf(parts []Digest, account, model string, now time.Duration) (out []*partSuspect) {
	for _, d := range parts {
		if s := p.suspects[d]; s != nil && s.holdUntil > now && s.covers(account, model) && p.isTrial(s, parts) {
			out = append(out, s)
		}
	}
	return out
}

// trial is the claim of a submission to send its request as a trial of a part. Of the claims of one moment, the claim of
// the submission with the lowest id is granted; later claims wait until the trial has ended.
type trial struct {
	submission   uint64
	since, until time.Duration
}

const (
	// trialSettle is how long after its claim a trial begins, so that the claims of other routers arrive.
	trialSettle = 150 * time.Millisecond
	// maxTrials bounds how many submissions wait for a trial of one part; others wait without a claim.
	maxTrials = 8
	// trialMemory is how long a trial is remembered after its end, since the report of its crash may arrive later than
	// the message that it has ended. maxEndedTrials bounds their number.
	trialMemory    = turnTime
	maxEndedTrials = 32
)

// mayTry reports whether an attempt of a submission may begin: it is no trial of a part, or its claims are granted.
// claim lists the parts for which the caller must call trialBegan, and which it must broadcast. A request under which
// minCrashes backend servers crashed is no trial, since it may be the cause as a whole. With fewer crashes it is one, since
// all requests that could clear the part may have been running at a crash with another cause.
func (t *Tracker) mayTry(request Digest, parts []Digest, account, model string, submission uint64, now time.Duration) (may bool, claim []Digest) {
	may = true
	suspected := t.CrashCount(request) >= minCrashes
	for _, s := range t.parts.trialOf(parts, account, model, now) {
		if suspected || s.pending {
			return false, nil
		}
		own := slices.IndexFunc(s.trials, func(one trial) bool { return one.submission == submission && one.until > now })
		switch {
		case own < 0:
			may = false
			if s.liveTrials(now) < maxTrials {
				claim = append(claim, s.digest)
			}
		case now < s.trials[own].since+trialSettle || s.firstTrial(now) != submission:
			may = false
		}
	}
	return may, claim
}

func (s *partSuspect) liveTrials(now time.Duration) (n int) {
	for _, one := range s.trials {
		if one.until > now {
			n++
		}
	}
	return n
}

// firstTrial returns the submission whose claim is granted.
func (s *partSuspect) firstTrial(now time.Duration) uint64 {
	earliest := time.Duration(math.MaxInt64)
	for _, one := range s.trials {
		if one.until > now {
			earliest = min(earliest, one.since)
		}
	}
	first := uint64(math.MaxUint64)
	for _, one := range s.trials {
		if one.until > now && one.since-earliest < trialSettle {
			first = min(first, one.submission)
		}
	}
	return first
}

// trialBegan records that a submission claims a trial of a part, or that the trial is in progress.
func (p *partTable) trialBegan(d Digest, submission uint64, now time.Duration) {
	s := p.suspects[d]
	if s == nil {
		return
	}
	since := now
	for _, one := range s.trials {
		if one.submission == submission && one.until > now {
			since = one.since
		}
	}
	s.trials = slices.DeleteFunc(s.trials, func(one trial) bool {
		return one.until+trialMemory <= now || one.submission == submission && one.until > now
	})
	if len(s.trials) >= maxTrials+maxEndedTrials {
		s.trials = slices.Delete(s.trials, 0, 1)
	}
	s.trials = append(s.trials, trial{submission, since, now + turnTime})
}

// trialEnded records that the trial of a part, or the claim of one, has ended.
func (p *partTable) trialEnded(d Digest, submission uint64, now time.Duration) {
	s := p.suspects[d]
	if s == nil {
		return
	}
	for i := range s.trials {
		if one := &s.trials[i]; one.submission == submission {
			one.until = min(one.until, now)
		}
	}
}

// tried reports whether an attempt that was sent at the given time is the trial of a submission. An attempt that was sent
// before the claim isn't.
func (s *partSuspect) tried(submission uint64, sentAt time.Duration) bool {
	return slices.ContainsFunc(s.trials, func(one trial) bool { return one.submission == submission && sentAt >= one.since })
}
