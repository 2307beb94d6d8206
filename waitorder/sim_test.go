package waitorder

import (
	"math/rand/v2"
	"time"
)

// The simulation steps in milliseconds. Its routers and engines are those of the fleets of docs/design/hard-load.md: three
// engines for each router, a queue in order of priority at each router, polled every 10 ms, and
// links of 1 or 2 ms. Up to 24 routers know the load of all engines; otherwise a router
// queries three engines, drawn at random, when a request arrives, and every 400 ms for
// those that wait.

type simConfig struct {
	routers, seconds int
	ordered          bool    // the routers use the order; otherwise each serves its own queue
	slots            int     // of each engine
	run              float64 // mean time of a run, s
	urgent, other    float64 // requests, as a share of the capacity
	kill, cut        bool    // after a third of the time: an eighth of the routers dies, the mesh is cut into halves
	old              float64 // share of the routers that are of the previous release
	noise            bool    // news of dead origins are repeated by a faulty link, two seconds late
	seed             uint64
}

type simResult struct {
	grants              int
	inversions          int // to a less urgent request, while a more urgent one had waited 200 ms elsewhere
	lastRoom            int // of the inversions, those that took the last slot of an engine
	urgentGrants        int
	idle                float64 // share of the slots that are free while requests wait
	starved             time.Duration
	bytes, bytesMax     float64 // sent by a router in a second: mean, largest mean of any router
	urgentWait, p95Wait time.Duration
	held                int // polls that yielded
}

type simRequest struct {
	priority int
	at       int // ms
}

type simRouter struct {
	table      *Table
	dead, old  bool
	links      []int
	half       int
	queues     [2][]simRequest
	known      []int // engines that may have a free slot, from the last query
	nextQuery  int
	rate       float64 // urgent requests per ms
	sent       int
	burstPhase int
}

type simMessage struct {
	to int
	m  Message
}

type sim struct {
	simConfig
	rnd     *rand.Rand
	now     int
	rs      []*simRouter
	free    []int
	ends    map[int][]int
	inbox   map[int][]simMessage
	res     simResult
	lastOf  [2]int // ms of the last grant, or of the moment since which requests have waited
	waits   []int
	idleSum float64
	idleMS  int
}

var simStart = time.Unix(10000, 0)

func (s *sim) time(ms int) time.Time { return simStart.Add(time.Duration(ms) * time.Millisecond) }

func newSim(c simConfig) *sim {
	s := &sim{simConfig: c, rnd: rand.New(rand.NewPCG(c.seed, 7)), ends: map[int][]int{}, inbox: map[int][]simMessage{}}
	for range 3 * c.routers {
		s.free = append(s.free, 0)
	}
	for e := range s.free { // all engines are full at the start
		for range c.slots {
			s.ends[1+int(s.rnd.ExpFloat64()*c.run*1000)] = append(s.ends[1+int(s.rnd.ExpFloat64()*c.run*1000)], e)
		}
	}
	perMS := 3 * float64(c.routers*c.slots) / (c.run * 1000)
	for i := range c.routers {
		r := &simRouter{half: i % 2, old: s.rnd.Float64() < c.old, burstPhase: s.rnd.IntN(4000)}
		r.rate = c.urgent * perMS / float64(c.routers) * 0.25
		if i%5 == 0 { // a fifth of the routers gets four fifths of the urgent requests
			r.rate *= 16
		}
		r.table = NewTable(Config{Origin: uint32(i + 1), Rand: s.rnd.Float64, Least: func(string) (int, bool) { return 2, true }})
		s.rs = append(s.rs, r)
	}
	s.link()
	return s
}

func (s *sim) play() simResult {
	for s.now = 1; s.now <= s.seconds*1000; s.now++ {
		if s.now == s.seconds*1000/3 && s.kill {
			for i := range s.rs {
				s.rs[i].dead = i%8 == 0
			}
		}
		for _, e := range s.ends[s.now] {
			s.free[e]++
		}
		delete(s.ends, s.now)
		s.arrive()
		s.deliver()
		offset := s.rnd.IntN(10)
		for i, r := range s.rs {
			if (s.now+i*7+offset)%10 == 0 && !r.dead {
				s.poll(i, r)
			}
		}
		if s.now%5 == 0 {
			s.sendAll()
		}
		s.measure()
	}
	s.finish()
	return s.res
}

// arrive adds new requests. Urgent ones arrive in bursts of a second out of four.
func (s *sim) arrive() {
	perMS := 3 * float64(s.routers*s.slots) / (s.run * 1000)
	for _, r := range s.rs {
		rate := r.rate / 2
		if (s.now+r.burstPhase)%4000 < 1000 {
			rate = r.rate * 2.5
		}
		if r.dead {
			continue
		}
		for p, rate := range []float64{rate, s.other * perMS / float64(s.routers)} {
			if s.rnd.Float64() < rate {
				r.queues[p] = append(r.queues[p], simRequest{2 * p, s.now})
				s.query(r)
			}
		}
	}
}

func (s *sim) query(r *simRouter) {
	if s.routers <= 24 {
		return
	}
	r.known = r.known[:0]
	for range 3 {
		if e := s.rnd.IntN(len(s.free)); s.free[e] > 0 {
			r.known = append(r.known, e)
		}
	}
	r.nextQuery = s.now + 400
}

func (s *sim) poll(i int, r *simRouter) {
	now := s.time(s.now)
	r.table.SetLocal(s.localOf(r), now)
	for range 3 {
		p := 0
		if len(r.queues[0]) == 0 {
			p = 1
		}
		if len(r.queues[p]) == 0 {
			return
		}
		q := r.queues[p][0]
		need := 1
		if s.ordered && !r.old && !r.table.MayTake("llm", q.priority, false, now) {
			s.res.held++
			need = 2 // leaves room for a more urgent request
		}
		if s.now >= r.nextQuery {
			s.query(r)
		}
		e, ok := s.find(r, need)
		if !ok {
			return
		}
		s.grant(i, r, p, e, need > 1, now)
	}
}

func (s *sim) localOf(r *simRouter) []Waiting {
	var out []Waiting
	for p, q := range r.queues {
		if len(q) > 0 {
			out = append(out, Waiting{"llm", 2 * p, len(q), time.Duration(s.now-q[0].at) * time.Millisecond})
		}
	}
	return out
}

// find returns an engine with at least the given number of free slots.
func (s *sim) find(r *simRouter, need int) (int, bool) {
	if s.routers <= 24 {
		start := s.rnd.IntN(len(s.free))
		for k := range s.free {
			if e := (start + k) % len(s.free); s.free[e] >= need {
				return e, true
			}
		}
		return 0, false
	}
	for len(r.known) > 0 {
		e := r.known[len(r.known)-1]
		if s.free[e] >= need {
			return e, true
		}
		r.known = r.known[:len(r.known)-1]
	}
	return 0, false
}

func (s *sim) grant(i int, r *simRouter, p, e int, yields bool, now time.Time) {
	q := r.queues[p][0]
	r.queues[p] = r.queues[p][1:]
	s.free[e]--
	end := s.now + 1 + int(s.rnd.ExpFloat64()*s.run*1000)
	s.ends[end] = append(s.ends[end], e)
	r.table.RecordGrant("llm", q.priority, false, yields, now)
	r.table.SetLocal(s.localOf(r), now)
	if s.now < 2000 {
		s.lastOf[p] = s.now
		return
	}
	s.res.grants++
	s.starve(p)
	s.lastOf[p] = s.now
	if p == 0 {
		s.res.urgentGrants++
		s.waits = append(s.waits, s.now-q.at)
		return
	}
	for j, o := range s.rs {
		if j != i && !o.dead && len(o.queues[0]) > 0 && s.now-o.queues[0][0].at >= 200 {
			s.res.inversions++
			if s.free[e] == 0 {
				s.res.lastRoom++
			}
			return
		}
	}
}

func (s *sim) starve(p int) {
	s.res.starved = max(s.res.starved, time.Duration(s.now-s.lastOf[p])*time.Millisecond)
}

func (s *sim) deliver() {
	for _, d := range s.inbox[s.now] {
		r := s.rs[d.to]
		if r.dead || r.old {
			continue
		}
		if news, err := r.table.Merge(&d.m, s.time(s.now)); err != nil {
			panic(err)
		} else if news {
			s.send(d.to)
		}
	}
	delete(s.inbox, s.now)
}

func (s *sim) sendAll() {
	for i := range s.rs {
		s.send(i)
	}
}

func (s *sim) send(i int) {
	r := s.rs[i]
	if r.dead || r.old || !s.ordered {
		return
	}
	m, ok := r.table.Next(s.time(s.now), func() (int, bool) { return len(r.links), s.routers <= 24 })
	if !ok {
		return
	}
	r.sent += m.Size() * len(r.links)
	for _, j := range r.links {
		if s.cut && s.now > s.seconds*1000/3 && s.rs[j].half != r.half {
			continue
		}
		at := s.now + 1 + s.rnd.IntN(2)
		s.inbox[at] = append(s.inbox[at], simMessage{j, m})
		if s.noise && s.rnd.IntN(4) == 0 {
			s.inbox[at+2000] = append(s.inbox[at+2000], simMessage{j, m})
		}
	}
}
