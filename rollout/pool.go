package rollout

import (
	"maps"
	"time"
)

const (
	// tellBad is how soon other routers are told of a bad answer, and tellGood of others.
	tellBad  = 200 * time.Millisecond
	tellGood = time.Second
	// tellOld is how often some routers tell of the old version, and tellers how many they
	// are: what the new version is compared with must be known before its first answers.
	tellOld = time.Second
	tellers = 8
	// tellVerdict is how often it is told again that the new version is bad: a message may
	// be lost.
	tellVerdict = 500 * time.Millisecond
)

// evidence is what is known of the answers of both versions: those seen here, and those
// that other routers told of.
type evidence struct {
	judge judge
	own   map[CountKey]uint32 // of the new version, seen here
	old   window              // of the old version, seen here
	heard map[string]heardReport
	// pooled are the answers of the old version of late that other routers told of.
	pooled map[CountKey]uint32
	// frozen are those that count once all work has moved: nothing comes from the old
	// version any more.
	//
	// What goes wrong without it: what is usual is forgotten within seconds, and a route on
	// which either version fails now and then convicts a sound version while it moves.
	frozen map[CountKey]uint32
	teller bool // this router tells of the old version, also without news of the new

	untold    bool // own has more than was told
	untoldBad bool
	last      time.Duration // of the report told last
	number    uint64
}

// heardReport is the latest report of another router.
type heardReport struct {
	at     time.Duration
	life   uint64
	number uint64
	new    map[CountKey]uint32
	old    []Count
}

// Observe counts an answer that this router saw. Only first attempts count: one that
// follows a failure is sent where the first did not go.
func (r *Rollout) Observe(c CountKey, ofNew bool, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == nil || !r.record.Stage.Open() {
		return
	}
	e := &r.evidence
	if !ofNew {
		c.Domain = ""
		e.old.add(c, now)
		return
	}
	if e.own == nil {
		e.own = map[CountKey]uint32{}
	}
	e.own[c]++
	old := e.pooledOld(now)
	e.judge.take(map[CountKey]uint32{c: 1}, old)
	e.untold = true
	e.untoldBad = e.untoldBad || usualOf(old, c.Route, c.Aspect).bad(c.Grade)
	r.weigh()
}

// Overdue tells whether an answer that has not come after some time counts as bad already.
func (r *Rollout) Overdue(route string, aspect Aspect, waited, now time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := usualOf(r.evidence.pooledOld(now), route, aspect)
	return u.known && GradeOf(waited) >= u.slow
}

// HandleReport takes in what another router tells.
func (r *Rollout) HandleReport(from string, rep Report, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.order == nil || rep.Order != r.order.Revision {
		return
	}
	r.began = min(r.began, now-time.Duration(rep.ElapsedMS)*time.Millisecond)
	r.evidence.hear(from, rep, now)
	if rep.Bad && !r.bad {
		r.bad = true
		r.epoch++
	}
	r.weigh()
}

func (e *evidence) hear(from string, rep Report, now time.Duration) {
	before := e.heard[from]
	if before.life != rep.Incarnation {
		before = heardReport{}
	}
	if rep.Sequence <= before.number {
		return
	}
	h := heardReport{at: now, life: rep.Incarnation, number: rep.Sequence, new: map[CountKey]uint32{}, old: rep.Old}
	e.forget(e.heard[from].old)
	e.pool(rep.Old)
	more := map[CountKey]uint32{}
	for _, c := range rep.New {
		h.new[c.CountKey] = c.N
		if c.N > before.new[c.CountKey] {
			more[c.CountKey] = c.N - before.new[c.CountKey]
		}
	}
	if e.heard == nil {
		e.heard = map[string]heardReport{}
	}
	e.heard[from] = h
	if len(more) > 0 {
		e.judge.take(more, e.pooledOld(now))
	}
}

func (e *evidence) pool(old []Count) {
	if e.pooled == nil {
		e.pooled = map[CountKey]uint32{}
	}
	for _, c := range old {
		e.pooled[c.CountKey] += c.N
	}
}

func (e *evidence) forget(old []Count) {
	for _, c := range old {
		if e.pooled[c.CountKey] -= c.N; e.pooled[c.CountKey] == 0 {
			delete(e.pooled, c.CountKey)
		}
	}
}

// expire forgets what others told of the old version a while ago.
func (e *evidence) expire(now time.Duration) {
	for from, h := range e.heard {
		if h.old != nil && now-h.at > oldSpan {
			e.forget(h.old)
			h.old = nil
			e.heard[from] = h
		}
	}
}

// pooledOld are the answers of the old version of late, over the routers that told.
func (e *evidence) pooledOld(now time.Duration) map[CountKey]uint32 {
	if e.frozen != nil {
		return e.frozen
	}
	sum := maps.Clone(e.pooled)
	if sum == nil {
		sum = map[CountKey]uint32{}
	}
	e.old.sum(now, sum)
	return sum
}

// report returns what is to be told now, or nil.
func (e *evidence) report(r *Rollout, now time.Duration) *Report {
	since := now - e.last
	e.expire(now)
	switch {
	case e.teller && since >= tellOld:
	case e.untoldBad && since >= tellBad:
	case e.untold && since >= tellGood:
	case r.bad && since >= tellVerdict:
	default:
		return nil
	}
	e.last, e.untold, e.untoldBad = now, false, false
	e.number++
	old := map[CountKey]uint32{}
	e.old.sum(now, old)
	return &Report{
		Service: r.order.Service, Order: r.order.Revision, Incarnation: r.cfg.Incarnation, Sequence: e.number, ElapsedMS: (now - r.began).Milliseconds(),
		New: counts(e.own), Old: counts(old), Bad: r.bad,
	}
}
