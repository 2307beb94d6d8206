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

// version is how the replicas of a new version behave, beside what both versions share.
type version struct {
	fails  float64       // share of the answers that are failures
	slower float64       // times as long; 0 for as long as the old one
	slow   float64       // share of the answers that are slower
	after  time.Duration // of the order, when it turns bad
	busy   int           // requests at a replica from which it is bad; 0 for any
	route  string        // on which it is bad; empty for all
}

// trouble is what befalls both versions.
type trouble struct {
	crash map[time.Duration]string // domains, each away for crashFor
	// grey is the share of the service's replicas, of both versions together, that fail two
	// in five answers; each by itself has that chance if drawn is set.
	grey  float64
	drawn bool
}

const crashFor = 1200 * time.Millisecond

// plan is one simulated roll-out.
type plan struct {
	routerCount int
	perSec      float64 // requests, over all routers
	routes      []simRoute
	replicas    int // of each version
	order       Order
	version     version
	trouble     trouble
	kill        time.Duration // when the router that acts is lost; 0 for never
}

// simRoute is how a route is answered.
type simRoute struct {
	name  string
	mean  time.Duration
	fails float64 // at either version
	pace  time.Duration
}

// outcome of a simulated roll-out.
type outcome struct {
	requests, exposed int
	badAnswers        int
	lastAfterFiftieth time.Duration // of a request for the new version, after its fiftieth bad answer
	stage             Stage
	ended             time.Duration
	reason            string
	bytes             int // of reports, at one router
}

// simulation runs roll-outs on a fake clock, without goroutines.
type simulation struct {
	plan
	rng     *rand.Rand
	now     time.Duration
	events  eventHeap
	routers []*simRouter
	old     []*simReplica
	fresh   []*simReplica
	tried   map[string]bool
	record  Record
	rev     int64
	out     outcome
	fifty   time.Duration
}

type simRouter struct {
	ro    *Rollout
	open  []*simRun // in the order of their begin
	gone  bool
	due   time.Duration // since when a change is due
	isDue bool
}

// simRun is an attempt whose answer has not come.
type simRun struct {
	cell  CountKey
	isNew bool
	began time.Duration
	noted bool
}

type simReplica struct {
	b    fleet.Backend
	busy int
	grey bool
}

func (s *simulation) after(d time.Duration, do func()) {
	seqOf++
	heap.Push(&s.events, simEvent{s.now + d, seqOf, do})
}

// lost stands for an answer that a crash cut off.
const lost Grade = 200

const (
	simTick   = 100 * time.Millisecond
	takeOver  = 600 * time.Millisecond
	simDomain = 3
)

func simulate(t *testing.T, p plan, seed uint64) outcome {
	s := &simulation{plan: p, rng: rand.New(rand.NewPCG(seed, 5)), now: time.Hour}
	c, err := LoadChart()
	if err != nil {
		t.Fatal(err)
	}
	for i := range p.replicas {
		s.old = append(s.old, s.replica("old", "v1", i))
		s.fresh = append(s.fresh, s.replica("new", p.order.Target, i))
	}
	s.turnGrey()
	var list []fleet.Backend
	for _, r := range s.fresh {
		list = append(list, r.b)
	}
	limits := Limits{Share: 0.1, Burst: 50}
	s.tried = TrialReplicas(list, limits)
	for i := range p.routerCount {
		ro := New(Config{Limits: limits, Chart: c, Routers: func() int { return p.routerCount }, Random: s.rng.Float64, Incarnation: uint64(i + 1)})
		s.routers = append(s.routers, &simRouter{ro: ro})
	}
	start := s.now
	s.everyone(func(r *simRouter) { r.ro.SetOrder(p.order, s.now) })
	for _, r := range s.routers {
		s.after(time.Duration(s.rng.Int64N(int64(simTick))), func() { s.tick(r, start) })
	}
	s.after(0, func() { s.arrive(start) })
	if p.kill > 0 {
		s.after(p.kill, func() { s.routers[0].gone = true })
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
		b:    fleet.Backend{ID: fmt.Sprint(kind, i), FailureDomain: fmt.Sprint("d", i%simDomain), Version: version},
		grey: s.trouble.drawn && s.rng.Float64() < s.trouble.grey,
	}
}

// turnGrey has a share of all replicas fail, whichever version they are of.
func (s *simulation) turnGrey() {
	if s.trouble.drawn {
		return
	}
	all := append(slices.Clone(s.old), s.fresh...)
	s.rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, r := range all[:int(math.Round(s.trouble.grey*float64(len(all))))] {
		r.grey = true
	}
}

// everyone has each router learn something from the store, one after the other.
func (s *simulation) everyone(learn func(*simRouter)) {
	for _, r := range s.routers {
		lag := 20*time.Millisecond + time.Duration(s.rng.Int64N(int64(900*time.Millisecond)))
		s.after(lag, func() { learn(r) })
	}
}

// tick is what each router does now and then.
func (s *simulation) tick(r *simRouter, start time.Duration) {
	if r.gone {
		return
	}
	s.after(simTick, func() { s.tick(r, start) })
	for _, run := range r.open {
		if waited := s.now - run.began; !run.noted && r.ro.Overdue(run.cell.Route, run.cell.Aspect, waited, s.now) {
			run.noted = true
			run.cell.Grade = GradeOf(waited)
			r.ro.Observe(run.cell, run.isNew, s.now)
		}
	}
	if rep := r.ro.Tick(s.now, true, min(simDomain, s.replicas)); rep != nil {
		s.out.bytes += 12 * (len(rep.New) + len(rep.Old) + 3)
		for i, other := range s.routers {
			if other != r {
				_ = i
				s.after(time.Duration(5+s.rng.IntN(200))*time.Millisecond, func() { other.ro.HandleReport(fmt.Sprintf("%p", r), *rep, s.now) })
			}
		}
	}
	s.act(r, start)
}

// act writes what is due, the first router at once, the others when nobody did for a while.
func (s *simulation) act(r *simRouter, start time.Duration) {
	next, rev, due := r.ro.NextRecord(s.now, ReplicaCounts{New: s.replicas, Old: s.replicas, Domains: simDomain})
	if !due {
		r.isDue = false
		return
	}
	if !r.isDue {
		r.isDue, r.due = true, s.now
	}
	rank := 0
	for i, other := range s.routers {
		if other == r {
			rank = i
		}
	}
	if rank > 5 || s.now-r.due < time.Duration(rank)*takeOver || rev != s.rev {
		return
	}
	s.rev++
	s.record = next
	if !next.Stage.Open() {
		s.out.ended = s.now - start
	}
	written, at := next, s.rev
	s.everyone(func(o *simRouter) { o.ro.SetRecord(written, at, s.now) })
	r.ro.SetRecord(written, at, s.now)
}

func (s *simulation) arrive(start time.Duration) {
	gap := s.rng.ExpFloat64() / s.perSec
	s.after(time.Duration(gap*float64(time.Second)), func() { s.arrive(start) })
	r := s.routers[s.rng.IntN(len(s.routers))]
	if r.gone {
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
	for _, rep := range append(s.old, s.fresh...) {
		// Its replicas register after the order, and news come in the order of changes.
		unknown := rule.Stage == None && rep.b.Version == s.order.Target
		if unknown || s.away(rep, start) {
			continue
		}
		if (trial && rule.AllowsTrial(&rep.b) && s.tried[rep.b.ID]) || (!trial && rule.Allows(&rep.b)) {
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
		if s.fifty > 0 {
			s.out.lastAfterFiftieth = max(s.out.lastAfterFiftieth, s.now-s.fifty)
		}
	}
	rep.busy++
	took, grade := s.answer(rep, route, isNew, start)
	run := &simRun{cell: CountKey{Route: route.name, Aspect: route.aspect(), Domain: rep.b.FailureDomain, Grade: grade}, isNew: isNew, began: s.now}
	r.open = append(r.open, run)
	s.after(took, func() { s.answered(r, rep, route, run, start) })
}

func (s *simulation) away(rep *simReplica, start time.Duration) bool {
	for at, domain := range s.trouble.crash {
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
	failed := s.rng.Float64() < route.fails || (rep.grey && s.rng.Float64() < 0.4)
	v := s.version
	if isNew && s.now-start >= v.after && (v.busy == 0 || rep.busy >= v.busy) && (v.route == "" || v.route == route.name) {
		failed = failed || s.rng.Float64() < v.fails
		if s.rng.Float64() < v.slow {
			took = time.Duration(float64(took) * v.slower)
			s.bad()
		}
	}
	if failed {
		if isNew {
			s.bad()
		}
		return took, Failed
	}
	for at, domain := range s.trouble.crash {
		if left := start + at - s.now; domain == rep.b.FailureDomain && left > 0 && left < took {
			return left, lost
		}
	}
	return took, GradeOf(took)
}

// bad counts a bad answer as the operator would.
func (s *simulation) bad() {
	s.out.badAnswers++
	if s.out.badAnswers == 50 {
		s.fifty = s.now
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
	if run.cell.Grade != lost && !run.noted {
		r.ro.Observe(run.cell, run.isNew, s.now)
	}
	if run.cell.Grade == Failed && run.isNew {
		s.send(r, route, r.ro.Rule(), false, start)
	}
}
