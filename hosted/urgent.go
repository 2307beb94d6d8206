package hosted

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/routing"
	"wigeondale/schedule"
)

// This file decides how much room at the engines less urgent requests leave free for more urgent ones. The load for which it
// decides: a burst of less urgent requests. They may wait for longer than urgent ones, so they keep all engines so full that
// an urgent request finds none that would be in time, and at each engine whose room becomes free it competes with those
// that wait at all other routers. The order of its own router's queue can't change that. A router without links to others
// leaves the room by what it has seen itself. With links, it leaves room only while a more urgent request waits somewhere
// (see waitOrder): room that is always left costs the less urgent requests a fourteenth of what they get in such a burst.

const (
	// urgentMaxAge is how long a more urgent request counts after its arrival: in a fleet of 985 routers one router sees
	// the same kind of request again only after half a minute.
	urgentMaxAge = time.Minute
	// reservedPerShare is the part of the engines at which room is left, per share of more urgent requests in all
	// requests. Room for one request at a part p of the engines costs the less urgent ones about p/10 of the
	// capacity, since an engine has about ten runs: with this value no more than the urgent requests use anyway. Room for
	// two left less urgent streams 0.86 of the rest in simulation (59 routers, 180 engines).
	reservedPerShare = 10
	// peerReserve is for how many requests of other client accounts one of an account over its share leaves memory: the
	// others together use up to half of the capacity or more, so the room for one is taken before a run ends. In
	// simulation (TestHeavyAccountIsHeldToItsShare, 24 engines) 0.885 of the others' streams were in time with 1, 0.992
	// with 2.
	peerReserve = 2
	// urgentShareWeight is the weight of the latest request in the share of a priority: about a hundred requests make up most
	// of it, so that one request in a hundred still counts.
	urgentShareWeight = 0.01
)

// urgentRequests records the requests of each priority that this router has seen.
type urgentRequests struct {
	mu   sync.Mutex
	kind [schedule.Priorities]requestKind
	all  float64 // sum of the weights in the shares
}

// requestKind is what is known of the requests of one priority.
type requestKind struct {
	target time.Duration // the strictest
	setAt  time.Time     // when target was set, or seen again
	seenAt time.Time
	share  float64 // of all requests, times urgentRequests.all
	size   typicalSize
}

func (k *requestKind) recent(now time.Time) bool {
	return k.target > 0 && now.Sub(k.seenAt) <= urgentMaxAge
}

// observe records a new request that engines have room for.
func (u *urgentRequests) observe(a generation.PickRequest, now time.Time) {
	if a.FirstChunkTarget <= 0 {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	k := &u.kind[schedule.Priority(a.Urgency)]
	if a.FirstChunkTarget <= k.target || now.Sub(k.setAt) > urgentMaxAge {
		k.target, k.setAt = a.FirstChunkTarget, now
	}
	k.seenAt = now
	prompt, answer := tokensOf(a)
	k.size.add(requestSize{prompt: prompt, answer: answer})
	for p := range u.kind {
		u.kind[p].share *= 1 - urgentShareWeight
	}
	k.share += urgentShareWeight
	u.all += urgentShareWeight * (1 - u.all)
}

// strictest returns the shortest target among the request's own and those of more urgent requests: a less urgent request may
// not fill an engine further than a more urgent one would accept.
func (u *urgentRequests) strictest(a generation.PickRequest, now time.Time) time.Duration {
	out := a.FirstChunkTarget
	if out <= 0 {
		return out
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range schedule.Priority(a.Urgency) {
		if u.kind[p].recent(now) {
			out = min(out, u.kind[p].target)
		}
	}
	return out
}

// reserve is the room that a request leaves free for more urgent ones.
type reserve struct {
	prompt, memory int     // tokens
	part           float64 // of the engines
}

func (u *urgentRequests) reserveOf(a generation.PickRequest, now time.Time) (r reserve) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for p := range schedule.Priority(a.Urgency) {
		k := &u.kind[p]
		if !k.recent(now) {
			continue
		}
		size := k.size.get()
		r.prompt, r.memory = max(r.prompt, int(size.Prompt)), max(r.memory, int(size.Prompt+size.Answer))
		r.part += reservedPerShare * k.share / u.all
	}
	return r
}

// reserveForPeers returns the room that a request of a client account over its share leaves for those of other accounts.
func (u *urgentRequests) reserveForPeers(a generation.PickRequest) reserve {
	u.mu.Lock()
	defer u.mu.Unlock()
	size := u.kind[schedule.Priority(a.Urgency)].size.get()
	return reserve{prompt: int(size.Prompt), memory: peerReserve * int(size.Prompt+size.Answer), part: 1}
}

// at reports whether the room is left at an engine. All routers choose the same engines, by their ids.
func (r reserve) at(engine string) bool {
	const steps = 1000
	return float64(xxhash.Sum64String(engine)%steps) < r.part*steps
}

// chooseReserving chooses an engine and leaves the reserve free. Started answers and requests that were sent before leave none, and
// those of a priority that has a turn: otherwise it could get none for as long as more urgent requests arrive.
func (p *picker) chooseReserving(router *routing.Router, among []routing.Candidate, a generation.PickRequest, load directory.Load) (fleet.Backend, generation.LoadShare, error) {
	now, q := time.Now(), p.queues.of(a.Service)
	var r reserve
	if !p.order.hasLinks() {
		r = q.urgent.reserveOf(a, now)
	}
	if q.waitQueue.OverShare(p.itemOf(a, now), now) {
		r = q.urgent.reserveForPeers(a)
	}
	if r.memory == 0 || startedAnswer(a) || a.HasTurn {
		return p.choose(router, among, a, load)
	}
	req := p.pickRequest(a)
	// An engine without work is always allowed: the reserve is never more than what the request leaves of it.
	req.Capacity = min(req.Capacity, max(req.Capacity-r.memory, req.Needs()))
	if req.Backlog > 0 {
		req.Backlog = max(req.Backlog-float64(r.prompt), idleOnly)
	}
	b, share, err := p.chooseBy(req, router, among, a, load)
	if err == nil || r.part >= 1 {
		return b, share, err
	}
	var others []routing.Candidate
	for _, c := range among {
		if !r.at(c.Backend.ID) {
			others = append(others, c)
		}
	}
	if len(others) == 0 {
		return b, share, err
	}
	return p.choose(router, others, a, load)
}
