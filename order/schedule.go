package order

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/fleet"
	"wigeondale/intent"
)

const (
	// SweepInterval is the longest time between two questions to an engine that answers.
	// One that drifted without a sign of it is put right within that and a round.
	SweepInterval = time.Minute
	// promptRetries is how many failures in a row are followed by a question in
	// the very next round; after that the wait doubles, up to Sweep.
	promptRetries = 3
	firstBackoff  = 2 * time.Second
)

// Schedule decides which engines a round asks for their status, and keeps the
// last answers for Next. It does no I/O. It lives for one tenure, so a new
// holder asks every engine once before its first orders.
//
// The failure guarded against: an answer of up to a minute ago is taken for the
// present. Seen from outside, an old version is unloaded while the new one has
// just been lost elsewhere. Therefore every engine that has something to do, and
// all hosts of a model that has an old version to unload, are asked in the same
// round that decides; only engines that are at their goal are left to the sweep.
type Schedule struct {
	start  time.Time
	known  map[string]*asked
	status map[string]Status // the last answers; none of those that failed since
}

// asked is what held when an engine was last asked.
type asked struct {
	at          time.Time
	backend     fleet.Backend
	placement   intent.Placement
	leaving     bool
	incarnation string // "" until one is known
	failures    int    // in a row
}

// NewSchedule returns a Schedule that has asked nobody.
func NewSchedule(now time.Time) *Schedule {
	return &Schedule{start: now, known: map[string]*asked{}, status: map[string]Status{}}
}

// Due returns whom to ask in the round that began at now. Call it again, with
// the same now, after the answers were noted, until it returns none: an answer
// may show an old version, whose model's hosts are then due as well.
func (c *Schedule) Due(s *intent.State, list []fleet.Backend, incarnation func(id string) string, now time.Time) []fleet.Backend {
	c.forget(list)
	if nothingToDo(s) {
		return nil
	}
	unloading := c.unloading(s, list)
	var due []fleet.Backend
	for _, b := range list {
		if b.Kind != fleet.Engine || !c.due(s, b, incarnation(b.ID), unloading, now) {
			continue
		}
		c.note(s, b, incarnation(b.ID), now)
		due = append(due, b)
	}
	return due
}

// RecordAnswer notes the answer of an engine that was due.
func (c *Schedule) RecordAnswer(id string, st Status) {
	if k, ok := c.known[id]; ok {
		k.failures = 0
		c.status[id] = st
	}
}

// RecordFailure notes that an engine that was due didn't answer.
func (c *Schedule) RecordFailure(id string) {
	if k, ok := c.known[id]; ok {
		k.failures++
		delete(c.status, id)
	}
}

func (c *Schedule) due(s *intent.State, b fleet.Backend, incarnation string, unloading map[string]bool, now time.Time) bool {
	k, ok := c.known[b.ID]
	if !ok {
		return true
	}
	if k.at.Equal(now) {
		return false
	}
	if k.changed(s, b, incarnation) {
		return true
	}
	if k.failures > 0 {
		return now.Sub(k.at) >= backoff(k.failures)
	}
	if unsettled(s, b, c.status[b.ID]) {
		return true
	}
	if hostsAny(s.Placement[b.ID], unloading) {
		return true
	}
	return c.swept(b.ID, k.at, now)
}

func (k *asked) changed(s *intent.State, b fleet.Backend, incarnation string) bool {
	if k.backend != b || k.leaving != s.Leaving(b.VM) {
		return true
	}
	if incarnation != "" && incarnation != k.incarnation {
		return true
	}
	p := s.Placement[b.ID]
	return p.Role != k.placement.Role || !slices.Equal(p.Desired, k.placement.Desired)
}

// note keeps what is known before the question: what changes while it is under
// way must count as changed in the next round.
func (c *Schedule) note(s *intent.State, b fleet.Backend, incarnation string, now time.Time) {
	k, ok := c.known[b.ID]
	if !ok {
		k = &asked{}
		c.known[b.ID] = k
	}
	k.at, k.backend = now, b
	k.placement, k.leaving = s.Placement[b.ID], s.Leaving(b.VM)
	if incarnation != "" {
		k.incarnation = incarnation
	}
}

// swept reports whether the engine's moment in the sweep has come since it was
// asked at last. The moments are spread by a hash of the name and never move,
// so no change of the list can put an engine off.
func (c *Schedule) swept(id string, last, now time.Time) bool {
	phase := time.Duration(xxhash.Sum64String(id) % uint64(SweepInterval))
	turn := func(t time.Time) int64 { return int64((t.Sub(c.start) + SweepInterval - phase) / SweepInterval) }
	return turn(now) > turn(last)
}

// unloading returns the models of which some engine has a version to unload.
func (c *Schedule) unloading(s *intent.State, list []fleet.Backend) map[string]bool {
	out := map[string]bool{}
	for _, b := range list {
		p, placed := s.Placement[b.ID]
		if !placed {
			continue
		}
		for _, ref := range c.status[b.ID].Actual {
			if !slices.Contains(p.Desired, ref) {
				out[ref.Model] = true
			}
		}
	}
	return out
}

// forget drops the engines that are no longer in the list.
func (c *Schedule) forget(list []fleet.Backend) {
	if len(c.known) == 0 {
		return
	}
	here := make(map[string]bool, len(list))
	for _, b := range list {
		here[b.ID] = true
	}
	for id := range c.known {
		if !here[id] {
			delete(c.known, id)
			delete(c.status, id)
		}
	}
}

// unsettled reports whether b is not yet at its goal, or busy with it.
func unsettled(s *intent.State, b fleet.Backend, st Status) bool {
	if len(st.Loading) > 0 || (s.Leaving(b.VM) && !st.Leaving) {
		return true
	}
	p, placed := s.Placement[b.ID]
	if !placed {
		return false
	}
	if p.Role != "" && st.Role != "" && p.Role != st.Role {
		return true
	}
	return !sameSet(p.Desired, st.Actual) || !sameSet(p.Desired, st.Desired)
}

func hostsAny(p intent.Placement, models map[string]bool) bool {
	return slices.ContainsFunc(p.Desired, func(r fleet.ModelRef) bool { return models[r.Model] })
}

// nothingToDo reports whether no engine could be given an order.
func nothingToDo(s *intent.State) bool {
	if len(s.Placement) > 0 {
		return false
	}
	for _, vm := range s.VMs {
		if vm.Leaving {
			return false
		}
	}
	return true
}

// backoff is the wait after a question that failed.
func backoff(failures int) time.Duration {
	if failures <= promptRetries {
		return 0
	}
	d := firstBackoff
	for i := promptRetries + 1; i < failures && d < SweepInterval; i++ {
		d = min(2*d, SweepInterval)
	}
	return d
}
