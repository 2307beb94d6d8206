package backpressure

import (
	"math"
	"math/rand/v2"
	"time"

	"wigeondale/backend"
	"wigeondale/event"
)

// A limit is divided among few routers, which all routers choose alike by rendezvous hashing; the
// other routers send nothing. The routers that use a limit have a token bucket each.
//
// If every router had an equal share, each of hundreds of routers could still send its first
// request at the same moment, which alone exceeds most limits.
const (
	// Of a limit, all routers together use usedShare, and at once at most burstBase requests plus
	// what the limit allows in burstTime. Two sets of routers that don't know of each other, as
	// in a network cut in two, then stay within 1.5 times the limit plus 5 requests in any 4 s:
	// 2 * (0.7*4 s*limit + 2.5 + 0.2 s*limit) = 6 s*limit + 5.
	usedShare = 0.7
	burstBase = 2.5
	burstTime = 200 * time.Millisecond

	// minLimit is applied in place of a smaller limit. If nothing were sent to a backend server,
	// no answer would say that its limit has ended.
	minLimit = 0.1
	// maxLimit is the limit from which on a limit counts as none.
	maxLimit = 1e6

	// repeatInterval is how often one of the routers that use a limit repeats it to all others.
	repeatInterval = 5 * time.Second
	// endRepeatTime is how long the end of a limit is repeated.
	endRepeatTime = 4 * repeatInterval
	// trialInterval is how long a router that uses no share of a limit sends nothing without
	// another router's update. After that, and a random part of that time, it sends one
	// request, whose answer says whether the limit still holds. Most routers have missed several
	// repetitions only if they can't be reached: if the interval were shorter, hundreds of
	// routers would send trials.
	trialInterval = 6 * repeatInterval
	// minChange is the change of a limit that is reported to the other routers before the next
	// repetition, as a share of it.
	minChange = 0.1
)

// limit is the limit that a backend server states, and this router's use of it.
type limit struct {
	rate        float64   // requests a second of all routers; 0 if the backend server states none
	learnedAt   time.Time // when the first answer arrived that stated this rate, or no limit
	confirmedAt time.Time // when an answer or an update about the limit arrived last
	answeredAt  time.Time // when an answer to this router arrived last
	source      string    // router whose update it came from; empty if from an answer to this router
	sharedAt    time.Time // when an update about the limit was sent or received last

	ranked     time.Time // when rank and nodes were determined
	rank       int       // of this router in the order of rendezvous hashing
	nodes      int
	trialAfter time.Duration // time after confirmedAt at which a trial may be sent
	filledAt   time.Time
	tokens     float64
}

func (l *limit) stated() bool { return l.rate > 0 }

// holders returns how many routers use a limit.
func holders(rate float64, nodes int) int { return min(max(nodes, 1), int(totalBurst(rate))) }

func totalBurst(rate float64) float64 { return burstBase + burstTime.Seconds()*rate }

// shareOf returns the rate and the burst of the router with the given rank.
func shareOf(rate float64, rank, nodes int) (perSecond, burst float64) {
	n := holders(rate, nodes)
	if rank >= n {
		return 0, 0
	}
	return usedShare * rate / float64(n), totalBurst(rate) / float64(n)
}

// observeLimit applies an answer to a request that was sent at sentAt, and returns the update for
// the other routers, if any. Answers overtake each other: an answer to a request that was sent
// before the limit became known may be older than the one that stated it, and can only lower it.
// The caller holds t.mu.
func (t *Tracker) observeLimit(st *state, sentAt, now time.Time, s backend.Statement) *Update {
	l := &st.limit
	l.answeredAt = now
	if s.LimitUnclear {
		l.confirmedAt = now
		return nil
	}
	rate := 0.0
	if s.HasLimit && s.Limit < maxLimit {
		rate = max(s.Limit, minLimit)
	}
	if l.stated() && rate == l.rate {
		l.confirmedAt = now
		return nil
	}
	if sentAt.Before(l.learnedAt) && (rate == 0 || (l.stated() && rate >= l.rate)) {
		return nil
	}
	if rate == 0 && !l.stated() {
		return nil
	}
	return t.setLimit(st, rate, now, now, "")
}

// setLimit sets the limit that was stated at learnedAt, and returns the update for the other
// routers, if any. source names the router that reported it. The caller holds t.mu.
func (t *Tracker) setLimit(st *state, rate float64, learnedAt, now time.Time, source string) *Update {
	l := &st.limit
	before, age := l.rate, now.Sub(l.learnedAt)
	if !l.stated() {
		l.tokens, l.filledAt, l.ranked, l.trialAfter = 1, now, time.Time{}, randomTrial()
	} else {
		t.fill(st, now) // at the rate in force until now
	}
	l.rate, l.learnedAt, l.confirmedAt, l.source = rate, learnedAt, now, source
	if rate == before {
		return nil
	}
	t.logLimit(st, before, age, now)
	significant := before == 0 || rate == 0 || math.Abs(rate-before) > minChange*before
	if source != "" || !significant || (before != 0 && rate != 0 && now.Sub(l.sharedAt) < refreshInterval) {
		return nil
	}
	return t.newUpdate(st, now)
}

func (t *Tracker) logLimit(st *state, before float64, age time.Duration, now time.Time) {
	kv := []any{"backend", st.id, "service", st.service, "limit", st.limit.rate, "from", st.limit.source}
	switch {
	case before == 0:
		t.cfg.Log.Emit(event.LimitBegun, kv...)
	case st.limit.rate == 0:
		t.cfg.Log.Emit(event.LimitEnded, append(kv, "before", before, "age_ms", age.Milliseconds())...)
	case math.Abs(st.limit.rate-before) > minChange*before:
		t.cfg.Log.Emit(event.LimitChanged, append(kv, "before", before, "age_ms", age.Milliseconds())...)
	}
}

// newUpdate returns the update that reports the limit to the other routers. The caller holds t.mu.
func (t *Tracker) newUpdate(st *state, now time.Time) *Update {
	st.limit.sharedAt = now
	return &Update{Backend: st.id, Limit: st.limit.rate, AgeMS: now.Sub(st.limit.learnedAt).Milliseconds()}
}

// applyUpdate applies another router's update, unless what this router knows is newer. The caller
// holds t.mu.
func (t *Tracker) applyUpdate(st *state, from string, u Update, now time.Time) {
	l := &st.limit
	l.confirmedAt, l.sharedAt = now, now
	learnedAt := now.Add(-time.Duration(u.AgeMS) * time.Millisecond)
	if !learnedAt.After(l.learnedAt) {
		return
	}
	if u.Limit == 0 && !l.stated() {
		return
	}
	t.setLimit(st, min(u.Limit, maxLimit), learnedAt, now, from)
}

// repeatLimit returns an update if it is this router's turn to repeat the limit. The routers that
// use the limit take over from each other in the order of their ranks. A router that has had no
// answer for some time does not repeat the limit, which may have ended: if it did, it would keep
// the others from finding out. The caller holds t.mu.
func (t *Tracker) repeatLimit(st *state, now time.Time) *Update {
	l := &st.limit
	if !l.stated() && now.Sub(l.learnedAt) > endRepeatTime {
		return nil
	}
	perSecond, _ := t.fill(st, now)
	if l.rank >= holders(l.rate, l.nodes) || now.Sub(l.sharedAt) < repeatInterval*time.Duration(1+l.rank) {
		return nil
	}
	if l.stated() && now.Sub(l.answeredAt) > answerWait(perSecond) {
		return nil
	}
	return t.newUpdate(st, now)
}

// answerWait returns how long a router that always has requests may be without an answer, if its
// share allows the given number of requests a second.
func answerWait(perSecond float64) time.Duration {
	return trialInterval + time.Duration(2/perSecond*float64(time.Second))
}

// fill adds the tokens that the share of this router has brought since the last call, and
// determines the share again after the nodes have been read. The caller holds t.mu.
func (t *Tracker) fill(st *state, now time.Time) (perSecond, burst float64) {
	l := &st.limit
	nodes := t.allNodes(now)
	if l.ranked != t.nodesRead {
		t.rank(st, nodes)
	}
	perSecond, burst = shareOf(l.rate, l.rank, l.nodes)
	l.tokens = min(l.tokens+perSecond*now.Sub(l.filledAt).Seconds(), burst)
	l.filledAt = now
	return perSecond, burst
}

// rank determines the rank of this router. A router that is not among the nodes uses no share: it
// has just started, and does not know how many other routers there are. A router that begins to
// use the limit begins without tokens: the router that it replaces may have just sent a request.
func (t *Tracker) rank(st *state, nodes []string) {
	l := &st.limit
	rank := t.rankOf(st.id, nodes)
	held := l.ranked.IsZero() || l.rank < holders(l.rate, l.nodes)
	l.rank, l.nodes, l.ranked = rank, max(len(nodes), 1), t.nodesRead
	if !held {
		l.tokens = 0
	}
}

// limitAccepts reports whether the limit allows a request of this router now. The caller holds
// t.mu.
func (t *Tracker) limitAccepts(st *state, now time.Time) bool {
	l := &st.limit
	if !l.stated() {
		return true
	}
	if perSecond, _ := t.fill(st, now); perSecond == 0 {
		return now.Sub(l.confirmedAt) >= l.trialAfter
	}
	return l.tokens >= 1
}

// take counts a request that is sent.
func (l *limit) take(now time.Time) {
	if !l.stated() {
		return
	}
	if l.tokens >= 1 {
		l.tokens--
		return
	}
	l.confirmedAt, l.trialAfter = now, randomTrial()
}

func randomTrial() time.Duration { return trialInterval + rand.N(trialInterval) }
