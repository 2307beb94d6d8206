package binding

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

var fleets = flag.Int("fleets", 24, "number of simulated fleets")

const (
	simStep      = 50 * time.Millisecond
	simLength    = 60 * time.Second
	simLifetime  = 25 * time.Second
	simReplicas  = 12
	stableWindow = 3 * time.Second
	simService   = "llm"
)

// storeState is what the simulated store contains from a time on.
type storeState struct {
	at       time.Duration
	replicas map[string]int  // number by version
	notes    map[string]bool // versions that the store names
	simStatement
}

type simRouter struct {
	id, domain string
	tracker    *Tracker
	lag        time.Duration // of its copy of the store
	asOf       time.Duration // of its copy
	applied    int           // index of the latest state taken in
	upAt       time.Duration // start; in the future while the router is down
	offStore   time.Duration // cut from the store until then
	offPeers   time.Duration // cut from the other routers until then
	paused     time.Duration // until then
	members    uint64        // digest of the routers that it reaches
	troubledAt time.Duration // end of the latest trouble
	era        int64         // of its copy
	outOfStep
}

type simStream struct {
	key      Key
	version  string
	router   int
	ends     time.Duration
	takeUpAt time.Duration // when the client comes back; 0 while the stream runs
	tries    int
}

type simFleet struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	routers []*simRouter
	states  []storeState
	storeUp time.Duration // the store is away until then
	simStore
	streams    []*simStream
	nextKey    int
	pending    []func()
	version    int  // number of the newest version
	lateNotice bool // lost links are noticed late, and requests are read before a router that was paused ticks
	// troubleAt is when routers are killed soon after the begin of a release.
	troubleAt time.Duration

	began, wrong, inTouch, inTouchFound int
}

func newSimFleet(t *testing.T, seed uint64, routers int) *simFleet {
	f := &simFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: 100 * time.Second, version: 1, simStore: simStore{records: map[Key]simRecord{}}}
	f.firstStart = seed%2 == 0
	f.states = []storeState{{replicas: map[string]int{"v1": simReplicas}, notes: map[string]bool{}}}
	for i := range routers {
		r := &simRouter{id: fmt.Sprint("r", i), domain: fmt.Sprint("d", i%3), lag: time.Duration(50+f.rng.IntN(1450)) * time.Millisecond}
		f.routers = append(f.routers, r)
		f.start(i, f.now)
	}
	return f
}

func (f *simFleet) start(i int, at time.Duration) {
	r := f.routers[i]
	r.upAt, r.asOf, r.applied = at, at, -1
	r.tracker = New(Config{
		Lifetime: func(string) time.Duration { return simLifetime },
		CopyAge:  func() time.Duration { return f.apparentAge(r) },
		Routers: func() []Router {
			var out []Router
			for _, o := range f.routers {
				if o != r && f.considersLinked(r, o) {
					out = append(out, f.member(o))
				}
			}
			return out
		},
		Connected: func() bool {
			n := 1
			for _, o := range f.routers {
				if o != r && f.considersLinked(r, o) {
					n++
				}
			}
			return 2*n > len(f.routers)
		},
		Send: func(to Router, records []Record) {
			f.pending = append(f.pending, func() {
				if o := f.byID(to.ID); f.linked(r, o) && f.now >= o.paused {
					o.tracker.Keep(records, f.now)
					r.tracker.Received(to, records)
				} else {
					r.tracker.Failed(to, records)
				}
			})
		},
		Ask: func(_ context.Context, id string, q Query) (Reply, error) {
			o := f.byID(id)
			if !f.linked(r, o) || f.now < o.paused {
				return Reply{}, errors.New("no reply")
			}
			return o.tracker.Reply(q, f.now), nil
		},
		Whole: func() bool {
			return !slices.ContainsFunc(f.routers, func(o *simRouter) bool { return o != r && !f.considersLinked(r, o) })
		},
		Lookup:     func(_ context.Context, _ string, k Key) (Stored, error) { return f.lookup(r, k) },
		Statement:  func(context.Context, string) (Statement, error) { return f.readStatement(r) },
		StoreEra:   func() int64 { return r.era },
		FirstStart: f.firstStart && at == f.now && f.began == 0,
	})
}

// member returns a router as others know it.
func (f *simFleet) member(r *simRouter) Router {
	return Router{ID: r.id, FailureDomain: r.domain, Incarnation: uint64(r.upAt)}
}

func (f *simFleet) byID(id string) *simRouter {
	var i int
	fmt.Sscanf(id, "r%d", &i)
	return f.routers[i]
}

func (f *simFleet) up(r *simRouter) bool { return f.now >= r.upAt }

func (f *simFleet) linked(a, b *simRouter) bool {
	return f.up(a) && f.up(b) && f.now >= a.offPeers && f.now >= b.offPeers
}

func (f *simFleet) hasStore(r *simRouter) bool {
	return f.up(r) && f.now >= r.paused && f.now >= f.storeUp && f.now >= r.offStore
}

func (f *simFleet) current() *storeState { return &f.states[len(f.states)-1] }

// change appends a state of the store.
func (f *simFleet) change(edit func(s *storeState)) {
	next := storeState{at: f.now, replicas: map[string]int{}, notes: map[string]bool{}, simStatement: f.current().simStatement}
	for v, n := range f.current().replicas {
		next.replicas[v] = n
	}
	for v := range f.current().notes {
		next.notes[v] = true
	}
	edit(&next)
	f.states = append(f.states, next)
}

// release replaces replicas of one version by those of another, new or old, one at a time.
func (f *simFleet) release() (step func()) {
	from := f.anyVersion(f.current())
	f.version++
	to := fmt.Sprint("v", f.version)
	if f.version > 2 && f.rng.IntN(3) == 0 {
		to = fmt.Sprint("v", 1+f.rng.IntN(f.version-1))
	}
	left := 1 + f.rng.IntN(f.current().replicas[from])
	return func() {
		if left == 0 || f.now < f.storeUp || f.current().replicas[from] == 0 || from == to {
			return
		}
		left--
		f.change(func(s *storeState) {
			s.replicas[to]++
			if s.replicas[from]--; s.replicas[from] == 0 {
				delete(s.replicas, from)
			}
		})
	}
}

func (f *simFleet) anyVersion(s *storeState) string {
	var names []string
	for v := range s.replicas {
		names = append(names, v)
	}
	slices.Sort(names)
	return names[f.rng.IntN(len(names))]
}

// sync brings the copies of the store up to date, as far as routers reach the store or each other.
func (f *simFleet) sync() {
	best := time.Duration(0)
	for _, r := range f.routers {
		if f.hasStore(r) && f.now >= r.offPeers {
			best = max(best, f.now-r.lag)
		}
		if f.up(r) && f.now >= r.offPeers {
			best = max(best, r.asOf-r.lag)
		}
	}
	for _, r := range f.routers {
		if !f.up(r) || f.now < r.paused || f.resumes(r) {
			continue
		}
		if f.hasStore(r) {
			r.asOf = max(r.asOf, f.now-r.lag)
		} else if f.now >= r.offPeers {
			r.asOf = max(r.asOf, best-r.lag)
		}
		f.apply(r)
	}
}

// apply takes in the latest state of a router's copy.
func (f *simFleet) apply(r *simRouter) {
	at := 0
	for i := range f.states {
		if f.states[i].at <= r.asOf {
			at = i
		}
	}
	if at == r.applied {
		return
	}
	f.applyStatement(r, f.states[at])
	var before map[string]bool
	if r.applied >= 0 {
		before = f.states[r.applied].notes
	}
	r.applied = at
	for v := range before {
		if !f.states[at].notes[v] {
			r.tracker.SetStored(simService, v, false, f.now)
		}
	}
	for v := range f.states[at].notes {
		r.tracker.SetStored(simService, v, true, f.now)
	}
}

func (f *simFleet) listed(r *simRouter) []string {
	var out []string
	for v := range f.states[max(r.applied, 0)].replicas {
		out = append(out, v)
	}
	slices.Sort(out)
	return out
}

// note writes and removes the notes about versions, as the first router does that reaches the store.
func (f *simFleet) note() {
	for _, r := range f.routers {
		if !f.hasStore(r) || r.applied < 0 {
			continue
		}
		listed, all := r.tracker.Listed(simService, f.now)
		f.write(func() {
			f.change(func(s *storeState) {
				for v := range s.notes {
					if all && !slices.Contains(listed, v) {
						delete(s.notes, v)
					}
				}
				for _, v := range listed {
					s.notes[v] = true
				}
			})
		})
		return
	}
}

// begin starts a stream at a router that is up.
func (f *simFleet) begin() {
	i := f.rng.IntN(len(f.routers))
	r := f.routers[i]
	if !f.up(r) || f.now < r.paused || r.applied < 0 {
		return
	}
	var may []string
	for _, v := range f.listed(r) {
		if r.tracker.MayBegin(simService, v, f.now) {
			may = append(may, v)
		}
	}
	if len(may) == 0 {
		may = slices.DeleteFunc(f.listed(r), func(v string) bool { return r.tracker.Excluded(simService, v) })
	}
	if len(may) == 0 {
		return
	}
	f.nextKey++
	s := &simStream{key: NewKey(simService, "acc", fmt.Sprint(f.nextKey)), version: may[f.rng.IntN(len(may))], router: i}
	s.ends = f.now + time.Duration(1+f.rng.IntN(20))*time.Second
	r.tracker.Began(s.key, simService, s.version, simLifetime, f.now)
	f.streams = append(f.streams, s)
	f.began++
}

// takeUps lets clients come back whose streams have broken off.
func (f *simFleet) takeUps() {
	for _, s := range f.streams {
		if s.takeUpAt == 0 || f.now < s.takeUpAt || s.tries > 1 {
			continue
		}
		i := f.routerOfTakeUp()
		r := f.routers[i]
		if !f.up(r) || f.now < r.paused {
			continue
		}
		s.tries++
		found, err := r.tracker.Find(f.t.Context(), s.key, simService, f.now)
		inTouch := f.now-max(r.upAt, r.troubledAt, f.storeUp, f.refusing, f.lossy) >= stableWindow && f.current().replicas[s.version] >= 2
		if inTouch {
			f.inTouch++
		}
		if err != nil {
			s.takeUpAt = f.now + 500*time.Millisecond
			continue
		}
		if inTouch {
			f.inTouchFound++
		}
		if found.Version != s.version {
			f.wrong++
			f.t.Errorf("%v: %s takes a stream of %s for one of %s, by %s, %v old", f.now, r.id, s.version, found.Version, found.Source, found.Age)
		}
		s.router, s.takeUpAt, s.tries = i, 0, 0
		r.tracker.Began(s.key, simService, s.version, simLifetime, f.now)
	}
	f.streams = slices.DeleteFunc(f.streams, func(s *simStream) bool { return f.now >= s.ends || s.tries > 1 })
}

// breakOff makes the clients of a router's streams come back, or of some of them.
func (f *simFleet) breakOff(router int, share float64) {
	for _, s := range f.streams {
		if s.router == router && s.takeUpAt == 0 && f.rng.Float64() < share {
			s.takeUpAt = f.now + time.Duration(20+f.rng.IntN(600))*time.Millisecond
		}
	}
}

func (f *simFleet) kill(i int) {
	if !f.up(f.routers[i]) {
		return
	}
	f.breakOff(i, 1)
	f.start(i, f.now+time.Second)
	f.routers[i].troubledAt = f.now + time.Second
}

// trouble draws a fault.
func (f *simFleet) trouble() {
	i := f.rng.IntN(len(f.routers))
	r := f.routers[i]
	until := f.now + time.Duration(1+f.rng.IntN(8))*time.Second
	switch f.rng.IntN(12) {
	case 0, 1:
		f.kill(i)
	case 2:
		for k := range f.routers {
			if f.rng.IntN(3) == 0 {
				f.kill(k)
			}
		}
	case 3:
		f.storeUp = until
	case 4:
		r.offStore = until
	case 5:
		r.offPeers = until
	case 6:
		r.paused = until
	case 7:
		f.breakOff(i, 1)
		return
	case 8:
		f.goBack()
		return
	case 9:
		f.refusing = until
		return
	case 10:
		f.lossy = until
		return
	case 11:
		f.finishRelease()
		return
	}
	r.troubledAt = max(r.troubledAt, until)
}

// goBack brings the store back from a copy: what the routers wrote in the last seconds is lost, and what
// the replicas wrote is written again.
func (f *simFleet) goBack() {
	old := f.states[0]
	for _, s := range f.states {
		if s.at <= f.now-3*time.Second {
			old = s
		}
	}
	f.change(func(s *storeState) {
		s.notes = map[string]bool{}
		for v := range old.notes {
			s.notes[v] = true
		}
		era := s.simStatement.storeEra + 1
		s.simStatement = old.simStatement
		s.simStatement.storeEra = era
		f.loseRecords(old.at)
	})
}

func (f *simFleet) play() {
	end := f.now + simLength
	killAll := f.now + time.Duration(10+f.rng.IntN(30))*time.Second
	var step func()
	for ; f.now < end; f.now += simStep {
		f.deliver()
		if f.rng.IntN(300) == 0 {
			step = f.release()
			f.troubleAt = f.now + time.Duration(f.rng.IntN(6000))*time.Millisecond
			f.troubleStore()
			if f.rng.IntN(2) == 0 {
				killAll = f.now + time.Duration(f.rng.IntN(8000))*time.Millisecond
			}
		}
		if step != nil && f.rng.IntN(4) == 0 {
			step()
		}
		if f.troubleAt > 0 && f.now >= f.troubleAt {
			f.troubleAt = 0
			f.kill(f.rng.IntN(len(f.routers)))
			f.kill(f.rng.IntN(len(f.routers)))
		}
		if f.rng.IntN(60) == 0 {
			f.trouble()
		}
		if f.now >= killAll {
			killAll = f.now + time.Duration(3+f.rng.IntN(20))*time.Second
			if f.rng.IntN(2) == 0 {
				f.finishRelease()
			}
			for i := range f.routers {
				f.kill(i)
			}
		}
		f.step()
	}
}

// deliver passes on what routers have sent, and applies late writes.
func (f *simFleet) deliver() {
	f.applyLate()
	for _, deliver := range f.pending {
		deliver()
	}
	f.pending = nil
}

// step lets the routers and clients do what they do in one step of time.
func (f *simFleet) step() {
	f.sync()
	if f.now%(200*time.Millisecond) == 0 {
		for _, r := range f.routers {
			if members := digest(r.tracker.cfg.Routers()); members != r.members {
				r.members = members
				r.tracker.Recheck()
			}
			if f.up(r) && f.now >= r.paused && !f.resumes(r) && r.applied >= 0 {
				r.tracker.Tick(f.now, f.now-f.apparentAge(r), map[string][]string{simService: f.listed(r)})
			}
		}
		f.note()
		f.writeVersions()
	}
	f.begin()
	f.takeUps()
}

// Guards against a router that takes up a stream at another version than the one that began it, in fleets in
// which routers are killed, cut off and paused while versions come and go and the store is away or goes back;
// and against refusals of streams that could go on.
func TestVersionOfAStreamIsKnownOrRefused(t *testing.T) {
	for _, routers := range []int{8, 76, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			n := *fleets / 3
			if routers == 300 {
				n = max(n/4, 1)
			}
			began, wrong, inTouch, found := 0, 0, 0, 0
			for seed := range n {
				f := newSimFleet(t, uint64(seed), routers)
				f.play()
				began, wrong, inTouch, found = began+f.began, wrong+f.wrong, inTouch+f.inTouch, found+f.inTouchFound
				if f.wrong > 0 {
					t.Errorf("fleet %d: %d streams at another version", seed, f.wrong)
				}
				if f.inTouch >= 12 && 2*f.inTouchFound < f.inTouch {
					t.Errorf("fleet %d: %d of %d streams went on", seed, f.inTouchFound, f.inTouch)
				}
			}
			t.Logf("%d fleets: %d streams began, %d went on at another version; of %d taken up at routers in touch %d went on", n, began, wrong, inTouch, found)
			if inTouch > 0 && float64(found) < 0.95*float64(inTouch) {
				t.Errorf("%d of %d streams went on", found, inTouch)
			}
		})
	}
}
