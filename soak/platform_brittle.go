package soak

import (
	"fmt"
	"time"

	fakes "wigeondale/fakes/hosted"
)

const (
	// brittleRefusals is the number of requests that a brittle replica stands to refuse within a second,
	// brittleRoom how many it takes at once. It takes fewer only brittleSettle after it has said that it is
	// brittle.
	brittleRefusals = 2
	brittleRoom     = 3
	brittleSettle   = 3 * time.Second
	// Of brittle replicas fallsAllowed may fall, and one in fallShare more.
	fallsAllowed = 2
	fallShare    = 10
	// fallCheck is how often the refusals of brittle replicas are counted.
	fallCheck = 20 * time.Millisecond
)

// brittleTime is a time in which the replicas of a service are brittle.
type brittleTime struct {
	service  string
	since    time.Time
	end      chan struct{}
	replicas int
	fell     map[*fakes.Replica]bool
	refused  [][]string // of each replica that fell, the requests that it had refused in the last second
}

// brittleFaults returns the faults in which replicas say that they are brittle, and fall over if they have to refuse
// too many requests.
func (r *platformRun) brittleFaults() []fault {
	if !r.cfg.Brittle {
		return nil
	}
	return []fault{
		{"replicas are brittle", func() func() { r.beginBrittle([]string{"llm", "app"}[r.rng.IntN(2)]); return nil }},
		{"replicas are brittle no more", func() func() { r.endBrittle(); return nil }},
	}
}

func (r *platformRun) beginBrittle(service string) {
	if r.brittle != nil {
		return
	}
	b := &brittleTime{service: service, since: time.Now(), end: make(chan struct{}), replicas: len(r.servingReplicas(service)), fell: map[*fakes.Replica]bool{}}
	r.brittle = b
	r.brittleTimes = append(r.brittleTimes, b)
	r.watchers.Go(func() { r.watchBrittle(b) })
}

// endBrittle ends the time in which replicas are brittle.
func (r *platformRun) endBrittle() {
	if b := r.brittle; b != nil {
		r.brittle = nil
		close(b.end)
	}
}

// checkBrittle records a violation for each time in which too many brittle replicas fell. A fall counts if most of what was
// refused came through routers that had run since the replicas said that they are brittle.
func (r *platformRun) checkBrittle() {
	for _, b := range r.brittleTimes {
		falls := 0
		for _, refused := range b.refused {
			inTouch := 0
			for _, id := range refused {
				if r.checks.asks.inTouch(id, b.since) {
					inTouch++
				}
			}
			if 2*inTouch > len(refused) {
				falls++
			}
		}
		r.history.add(fmt.Sprintf("%d of %d brittle replicas of %s fell, %d through no fault of routers", falls, b.replicas, b.service, len(b.refused)-falls))
		if most := fallsAllowed + b.replicas/fallShare; falls > most {
			r.checks.violated("brittle replicas don't fall", "", fmt.Sprintf("%d of %d of %s, from %s", falls, b.replicas, b.service, b.since.Format("15:04:05.000")))
		}
	}
}

func (r *platformRun) servingReplicas(service string) []*fakes.Replica {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]*fakes.Replica(nil), r.services[service]...)
}

// watchBrittle makes the replicas of a service brittle, those that start meanwhile too, until the time ends.
func (r *platformRun) watchBrittle(b *brittleTime) {
	tick := time.NewTicker(fallCheck)
	defer tick.Stop()
	for {
		select {
		case <-b.end:
			for _, rep := range r.servingReplicas(b.service) {
				rep.SetAsks(fakes.Asks{})
				rep.SetRoom(0)
			}
			return
		case <-tick.C:
		}
		for _, rep := range r.servingReplicas(b.service) {
			rep.SetAsks(fakes.Asks{Brittle: fmt.Sprint(brittleRefusals)})
			if time.Since(b.since) < brittleSettle {
				continue
			}
			rep.SetRoom(brittleRoom)
			r.fallIfRefusing(b, rep)
		}
	}
}

// fallIfRefusing crashes a brittle replica that has refused too many requests for want of room.
func (r *platformRun) fallIfRefusing(b *brittleTime, rep *fakes.Replica) {
	if b.fell[rep] {
		return
	}
	var refused []string
	arrivals := rep.Arrivals()
	for i := len(arrivals) - 1; i >= 0 && time.Since(arrivals[i].At) < time.Second; i-- {
		if arrivals[i].NoRoom {
			refused = append(refused, arrivals[i].ID)
		}
	}
	if len(refused) <= brittleRefusals {
		return
	}
	b.fell[rep] = true
	b.refused = append(b.refused, refused)
	rep.Crash()
	r.replaceLater(rep)
}

// inTouch reports whether a request went through a router that has run since a moment without a freeze.
func (k *askRecord) inTouch(request string, since time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	router := k.requests[request].router
	first, known := k.firstSeen[router]
	return router != "" && known && first.Before(since) && !k.frozenSince(router, since)
}
