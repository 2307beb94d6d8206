package soak

import (
	"fmt"
	"strconv"
	"sync"
	"time"

	fakes "wigeondale/fakes/hosted"
)

const (
	// A router counts from askGrace after the response with which it passed on what a replica asks.
	askGrace = 500 * time.Millisecond
	// In any limitWindow a replica with a limit may get limitFactor times what it allows, plus
	// limitSlack requests. maxDuringRest requests of one router may arrive during a rest.
	limitWindow   = 4 * time.Second
	limitFactor   = 1.5
	limitSlack    = 5
	maxDuringRest = 2
)

// limits are drawn for replicas that limit their requests. The last one can't be read.
var limits = []string{"0.2", "1", "3", "8", "0", "few"}

// askFaults returns the faults in which replicas ask something of the routers.
func (r *platformRun) askFaults() []fault {
	if !r.cfg.Asks {
		return nil
	}
	return []fault{
		{"replica limits its requests", func() func() {
			rep := r.randomReplica()
			if !r.othersAskNothing(rep) {
				return nil
			}
			rep.SetAsks(fakes.Asks{Limit: limits[r.rng.IntN(len(limits))]})
			return nil // until another fault or the end of the run
		}},
		{"limit ends", func() func() { r.randomReplica().SetAsks(fakes.Asks{}); return nil }},
		{"replica asks for rest", func() func() {
			rep := r.randomReplica()
			if !r.othersAskNothing(rep) {
				return nil
			}
			rep.SetAsks(fakes.Asks{Rest: strconv.Itoa(1 + r.rng.IntN(4))})
			return func() { rep.SetAsks(fakes.Asks{}) }
		}},
		{"replica says that it leaves", func() func() {
			rep := r.randomReplica()
			if !r.removeIfOthersServe(rep) {
				return nil
			}
			rep.SetAsks(fakes.Asks{Leaving: true})
			return func() { r.replace(rep) }
		}},
	}
}

// othersAskNothing reports whether at least half of the replicas of rep's service, without rep, ask
// nothing, so that requests can be served.
func (r *platformRun) othersAskNothing(rep *fakes.Replica) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	all, free := r.services[rep.Service], 0
	for _, other := range all {
		if other != rep && other.Asks() == (fakes.Asks{}) {
			free++
		}
	}
	return 2*free >= len(all)
}

// askRecord records through which router each request was sent, and when its response arrived.
type askRecord struct {
	mu        sync.Mutex
	requests  map[string]askRequest
	freezes   map[string]time.Time // last freeze, by router incarnation
	firstSeen map[string]time.Time // when a request was first sent through a router incarnation
	harmed    timeline             // periods in which the links of a replica were harmed, by its id
}

type askRequest struct {
	router           string // incarnation; empty if not known
	sentAt, passedAt time.Time
}

func newAskRecord() *askRecord {
	return &askRecord{requests: map[string]askRequest{}, freezes: map[string]time.Time{}, firstSeen: map[string]time.Time{}}
}

// addResult records a request. It counts as passed on if its response arrived completely.
func (k *askRecord) addResult(res *result) {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := askRequest{router: res.incarnation, sentAt: res.startedAt}
	if res.err == nil && !res.abandoned {
		q.passedAt = res.startedAt.Add(res.duration)
	}
	k.requests[res.id] = q
	if first, known := k.firstSeen[q.router]; !known || q.sentAt.Before(first) {
		k.firstSeen[q.router] = q.sentAt
	}
}

func (k *askRecord) addFreeze(router string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.freezes[router] = time.Now()
}

// frozenSince reports whether a router was frozen after a moment.
func (k *askRecord) frozenSince(router string, at time.Time) bool { return k.freezes[router].After(at) }

// checkAsks compares what reached a replica with what it asked.
func (c *checks) checkAsks(rep *fakes.Replica) {
	c.asks.mu.Lock()
	defer c.asks.mu.Unlock()
	arrivals := rep.Arrivals()
	c.checkLeaving(rep.ID, arrivals)
	c.checkRests(rep.ID, arrivals)
	c.checkLimit(rep.ID, arrivals)
}

// toldAt returns when each router first passed on an answer of the replica for which asks is true.
func (k *askRecord) toldAt(arrivals []fakes.Arrival, asks func(fakes.Asks) bool) map[string]time.Time {
	told := map[string]time.Time{}
	for _, a := range arrivals {
		q := k.requests[a.ID]
		if q.router == "" || q.passedAt.IsZero() || !a.Completed || !asks(a.Asks) {
			continue
		}
		if at, known := told[q.router]; !known || q.passedAt.Before(at) {
			told[q.router] = q.passedAt
		}
	}
	return told
}

func (c *checks) checkLeaving(id string, arrivals []fakes.Arrival) {
	told := c.asks.toldAt(arrivals, func(a fakes.Asks) bool { return a.Leaving })
	for _, a := range arrivals {
		q := c.asks.requests[a.ID]
		at, known := told[q.router]
		if known && q.sentAt.After(at) && !c.asks.frozenSince(q.router, at) {
			c.violated("a replica that says that it leaves gets no request", a.ID, id+" through "+q.router)
		}
	}
}

func (c *checks) checkRests(id string, arrivals []fakes.Arrival) {
	for _, refused := range arrivals {
		rest, _ := strconv.Atoi(refused.Asks.Rest)
		router := c.asks.requests[refused.ID].router
		end := refused.At.Add(time.Duration(rest) * time.Second)
		if rest == 0 || router == "" || c.asks.frozenSince(router, refused.At) || c.asks.harmed.overlaps(id, refused.At, end) {
			continue
		}
		n := 0
		for _, a := range arrivals {
			if c.asks.requests[a.ID].router == router && a.At.After(refused.At.Add(askGrace)) && a.At.Before(end) {
				n++
			}
		}
		if n > maxDuringRest {
			c.violated("a replica that asks for rest gets it", refused.ID, fmt.Sprintf("%d requests at %s through %s", n, id, router))
		}
	}
}

// checkLimit checks each window throughout which the replica stated one limit. The routers that
// had passed it on before the window count.
func (c *checks) checkLimit(id string, arrivals []fakes.Arrival) {
	for i := 0; i < len(arrivals); i++ {
		limit, err := strconv.ParseFloat(arrivals[i].Asks.Limit, 64)
		if err != nil {
			continue
		}
		from := i
		for i+1 < len(arrivals) && arrivals[i+1].Asks == arrivals[from].Asks {
			i++
		}
		c.checkWindows(id, limit, arrivals[from:i+1])
	}
}

func (c *checks) checkWindows(id string, limit float64, arrivals []fakes.Arrival) {
	told := c.asks.toldAt(arrivals, func(fakes.Asks) bool { return true })
	var counted []time.Time
	for _, a := range arrivals {
		router := c.asks.requests[a.ID].router
		if at, known := told[router]; known && a.At.After(at.Add(askGrace)) && !c.asks.frozenSince(router, at) {
			counted = append(counted, a.At)
		}
	}
	first := 0
	for last := range counted {
		for counted[last].Sub(counted[first]) >= limitWindow {
			first++
		}
		n, most := last-first+1, int(limitFactor*limit*limitWindow.Seconds()+limitSlack)
		if n > most && !c.asks.harmed.overlaps(id, counted[first].Add(-limitWindow), counted[last]) {
			c.violated("the limit of a replica holds", "", fmt.Sprintf("%d requests at %s, limit %v, at most %d may arrive", n, id, limit, most))
			return
		}
	}
}
