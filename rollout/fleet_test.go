package rollout

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeondale/fleet"
)

// version describes how the replicas of a new version differ from those of the old one.
type version struct {
	fails  float64       // share of the answers that are failures
	slower float64       // slowdown factor; 0 for the speed of the old version
	slow   float64       // share of the answers that are slower
	after  time.Duration // time after the order at which the version turns bad
	busy   int           // number of concurrent requests at a replica from which the version is bad; 0 for any number
	route  string        // route on which the version is bad; empty for all routes
}

// faults describes the faults that affect both versions.
type faults struct {
	crash map[time.Duration]string // failure domains by crash time, each down for crashFor
	// failing is the share of the service's replicas, of both versions together, that fail two
	// answers in five. If drawn is set, each replica independently is a failing replica with
	// this probability.
	failing float64
	drawn   bool
}

const crashFor = 1200 * time.Millisecond

// plan is the setup of one simulated roll-out.
type plan struct {
	routerCount int
	rate        float64 // requests per second over all routers
	routes      []simRoute
	replicas    int // replicas of each version
	order       Order
	version     version
	faults      faults
	killAt      time.Duration // time at which the router that writes the record stops; 0 for never
}

// simRoute describes the answers of a route.
type simRoute struct {
	name  string
	mean  time.Duration
	fails float64 // share of failures at either version
	pace  time.Duration
}

// outcome is the result of a simulated roll-out.
type outcome struct {
	requests, exposed    int
	badAnswers           int
	exposedAfterFiftieth time.Duration // time from the fiftieth bad answer of the new version to the last request for it
	stage                Stage
	ended                time.Duration
	reason               string
	bytes                int // bytes of reports sent, over all routers
}

// simulation runs a roll-out on a fake clock, without goroutines.
type simulation struct {
	plan
	rng           *rand.Rand
	now           time.Duration
	events        eventHeap
	routers       []*simRouter
	old           []*simReplica
	newer         []*simReplica
	trialSet      map[string]bool
	record        Record
	rev           fleet.Revision
	out           outcome
	fiftiethBadAt time.Duration
}

type simRouter struct {
	ro       *Rollout
	open     []*simRun // in the order in which they started
	stopped  bool
	dueSince time.Duration // time since which a change of the record is due
	isDue    bool
}

// simRun is an attempt that has no answer yet.
type simRun struct {
	cell      CountKey
	isNew     bool
	startedAt time.Duration
	observed  bool
}

type simReplica struct {
	b       fleet.Backend
	busy    int
	failing bool
}

func (s *simulation) after(d time.Duration, do func()) {
	lastSeq++
	heap.Push(&s.events, simEvent{s.now + d, lastSeq, do})
}

// cutOff marks an answer that broke off because its replica crashed.
const cutOff Grade = 200

const (
	simTick       = 100 * time.Millisecond
	takeOverAfter = 600 * time.Millisecond
	simDomains    = 3
)

func simulate(t *testing.T, p plan, seed uint64) outcome {
	s := &simulation{plan: p, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Hour}
	c, err := LoadChart()
	if err != nil {
		t.Fatal(err)
	}
	for i := range p.replicas {
		s.old = append(s.old, s.replica("old", "v1", i))
		s.newer = append(s.newer, s.replica("new", p.order.Target, i))
	}
	s.makeFailing()
	var list []fleet.Backend
	for _, r := range s.newer {
		list = append(list, r.b)
	}
	limits := Limits{Share: 0.1, Burst: 50}
	s.trialSet = TrialReplicas(list, limits)
	for i := range p.routerCount {
		ro := New(Config{Limits: limits, Chart: c, Routers: func() int { return p.routerCount }, Random: s.rng.Float64, Incarnation: uint64(i + 1)})
		s.routers = append(s.routers, &simRouter{ro: ro})
	}
	start := s.now
	s.notifyRouters(func(r *simRouter) { r.ro.SetOrder(p.order, s.now) })
	for _, r := range s.routers {
		s.after(time.Duration(s.rng.Int64N(int64(simTick))), func() { s.tick(r, start) })
	}
	s.after(0, func() { s.arrive(start) })
	if p.killAt > 0 {
		s.after(p.killAt, func() { s.routers[0].stopped = true })
	}
	end := start + p.order.Duration
	for len(s.events) > 0 && s.events[0].at < end {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.do()
	}
	s.out.stage, s.out.reason = s.record.Stage, s.record.Reason
	return s.out
}

func (s *simulation) replica(kind, version string, i int) *simReplica {
	return &simReplica{
		b:       fleet.Backend{ID: fmt.Sprint(kind, i), FailureDomain: fmt.Sprint("d", i%simDomains), Version: version},
		failing: s.faults.drawn && s.rng.Float64() < s.faults.failing,
	}
}

// makeFailing makes the share faults.failing of all replicas fail answers, whichever version
// they have. If faults.drawn is set, it does nothing.
func (s *simulation) makeFailing() {
	if s.faults.drawn {
		return
	}
	all := append(slices.Clone(s.old), s.newer...)
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, r := range all[:int(math.Round(s.faults.failing*float64(len(all))))] {
		r.failing = true
	}
}

// notifyRouters delivers a change of the store to each router, after a random delay for each.
func (s *simulation) notifyRouters(notify func(*simRouter)) {
	for _, r := range s.routers {
		lag := 20*time.Millisecond + time.Duration(s.rng.Int64N(int64(900*time.Millisecond)))
		s.after(lag, func() { notify(r) })
	}
}

// tick runs the periodic work of a router.
func (s *simulation) tick(r *simRouter, start time.Duration) {
	if r.stopped {
		return
	}
	s.after(simTick, func() { s.tick(r, start) })
	for _, run := range r.open {
		if waited := s.now - run.startedAt; !run.observed && r.ro.Overdue(run.cell.Route, run.cell.Aspect, waited, s.now) {
			run.observed = true
			run.cell.Grade = GradeOf(waited)
			r.ro.Observe(run.cell, run.isNew, s.now)
		}
	}
	if rep := r.ro.Tick(s.now, true, min(simDomains, s.replicas)); rep != nil {
		s.out.bytes += 12 * (len(rep.New) + len(rep.Old) + 3)
		for i, other := range s.routers {
			if other != r {
				_ = i
				s.after(time.Duration(5+s.rng.IntN(200))*time.Millisecond, func() { other.ro.HandleReport(fmt.Sprintf("%p", r), *rep, s.now) })
			}
		}
	}
	s.writeDue(r, start)
}

// writeDue writes the change of the record that is due. The first router writes the change at
// once; each further router writes it if the routers before it have not written for a while.
func (s *simulation) writeDue(r *simRouter, start time.Duration) {
	next, rev, due := r.ro.NextRecord(s.now, ReplicaCounts{New: s.replicas, Old: s.replicas, Domains: simDomains})
	if !due {
		r.isDue = false
		return
	}
	if !r.isDue {
		r.isDue, r.dueSince = true, s.now
	}
	rank := 0
	for i, other := range s.routers {
		if other == r {
			rank = i
		}
	}
	if rank > 5 || s.now-r.dueSince < time.Duration(rank)*takeOverAfter || rev != s.rev {
		return
	}
	s.rev++
	s.record = next
	if !next.Stage.Open() {
		s.out.ended = s.now - start
	}
	written, at := next, s.rev
	s.notifyRouters(func(o *simRouter) { o.ro.SetRecord(written, at, s.now) })
	r.ro.SetRecord(written, at, s.now)
}

func (s *simulation) arrive(start time.Duration) {
	gap := s.rng.ExpFloat64() / s.rate
	s.after(time.Duration(gap*float64(time.Second)), func() { s.arrive(start) })
	r := s.routers[s.rng.IntN(len(s.routers))]
	if r.stopped {
		return
	}
	s.out.requests++
	route := s.routes[s.rng.IntN(len(s.routes))]
	id := fmt.Sprint("q", s.out.requests)
	trial := r.ro.Assign(id, s.now)
	rule := r.ro.Rule()
	s.send(r, route, rule, trial, start)
	r.ro.MarkSent(id)
}

// send runs a request at a replica that the rule allows.
func (s *simulation) send(r *simRouter, route simRoute, rule Rule, trial bool, start time.Duration) {
	var able []*simReplica
	for _, rep := range append(s.old, s.newer...) {
		// A router that does not know the order yet does not know the new replicas either:
		// they register after the order, and a router sees the changes of the store in the
		// order in which they were made.
		unknown := rule.Stage == None && rep.b.Version == s.order.Target
		if unknown || s.down(rep, start) {
			continue
		}
		if (trial && rule.AllowsTrial(&rep.b) && s.trialSet[rep.b.ID]) || (!trial && rule.Allows(&rep.b)) {
			able = append(able, rep)
		}
	}
	if len(able) == 0 {
		return
	}
	rep := able[s.rng.IntN(len(able))]
	isNew := rep.b.Version == s.order.Target
	if isNew {
		s.out.exposed++
		if s.fiftiethBadAt > 0 {
			s.out.exposedAfterFiftieth = max(s.out.exposedAfterFiftieth, s.now-s.fiftiethBadAt)
		}
	}
	rep.busy++
	took, grade := s.answer(rep, route, isNew, start)
	run := &simRun{cell: CountKey{Route: route.name, Aspect: route.aspect(), Domain: rep.b.FailureDomain, Grade: grade}, isNew: isNew, startedAt: s.now}
	r.open = append(r.open, run)
	s.after(took, func() { s.answered(r, rep, route, run, start) })
}

func (s *simulation) down(rep *simReplica, start time.Duration) bool {
	for at, domain := range s.faults.crash {
		if since := s.now - start - at; domain == rep.b.FailureDomain && since >= 0 && since < crashFor {
			return true
		}
	}
	return false
}

// answer draws how long a request takes and how it ends.
func (s *simulation) answer(rep *simReplica, route simRoute, isNew bool, start time.Duration) (time.Duration, Grade) {
	took := time.Duration(float64(route.mean) * math.Exp(0.4*s.rng.NormFloat64()))
	if s.rng.Float64() < 0.01 {
		took *= 5
	}
	if route.pace > 0 {
		took *= time.Duration(max(rep.busy, 1)) // prompts are read one after the other
	}
	failed := s.rng.Float64() < route.fails || (rep.failing && s.rng.Float64() < 0.4)
	v := s.version
	if isNew && s.now-start >= v.after && (v.busy == 0 || rep.busy >= v.busy) && (v.route == "" || v.route == route.name) {
		failed = failed || s.rng.Float64() < v.fails
		if s.rng.Float64() < v.slow {
			took = time.Duration(float64(took) * v.slower)
			s.countBad()
		}
	}
	if failed {
		if isNew {
			s.countBad()
		}
		return took, Failed
	}
	for at, domain := range s.faults.crash {
		if left := start + at - s.now; domain == rep.b.FailureDomain && left > 0 && left < took {
			return left, cutOff
		}
	}
	return took, GradeOf(took)
}

// countBad counts a bad answer of the new version, and records the time of the fiftieth bad
// answer.
func (s *simulation) countBad() {
	s.out.badAnswers++
	if s.out.badAnswers == 50 {
		s.fiftiethBadAt = s.now
	}
}

func (r simRoute) aspect() Aspect {
	if r.pace > 0 {
		return TimeToFirst
	}
	return TotalTime
}

func (s *simulation) answered(r *simRouter, rep *simReplica, route simRoute, run *simRun, start time.Duration) {
	rep.busy--
	r.open = slices.DeleteFunc(r.open, func(o *simRun) bool { return o == run })
	if run.cell.Grade != cutOff && !run.observed {
		r.ro.Observe(run.cell, run.isNew, s.now)
	}
	if run.cell.Grade == Failed && run.isNew {
		s.send(r, route, r.ro.Rule(), false, start)
	}
}
