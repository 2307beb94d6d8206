package order

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/fleet"
	"wigeondale/intent"
)

const (
	// SweepInterval is the longest time between two queries of an engine that answers. An
	// engine whose state changes without any other indication is corrected within that
	// time and one round.
	SweepInterval = time.Minute
	// promptRetries is the number of consecutive failures after each of which the engine
	// is queried again in the next round; after that the delay doubles, up to one minute.
	promptRetries = 3
	firstBackoff  = 2 * time.Second
)

// Schedule decides which engines are queried for their status in a round, and stores
// the last answers for Next. It does no I/O. A new Schedule is made for each tenure, so
// a new holder of the lease queries every engine once before its first orders.
//
// It guards against using an answer that is up to a minute old as the current status:
// an old version would be unloaded just after the new one was lost on another engine.
// Therefore all engines with something to do, and all hosts of a model with an old
// version to unload, are queried in the same round that decides. Only engines that have
// reached their goal are queried less often, at least once a minute.
type Schedule struct {
	start  time.Time
	known  map[string]*queryRecord
	status map[string]Status // last answers, except those of engines whose query failed since
}

// queryRecord is what this router knew about an engine when it last queried the engine.
type queryRecord struct {
	at          time.Time
	backend     fleet.Backend
	placement   intent.Placement
	leaving     bool
	incarnation string // "" while none is known
	failures    int    // consecutive failures
}

// NewSchedule returns a Schedule that has queried no engine.
func NewSchedule(now time.Time) *Schedule {
	return &Schedule{start: now, known: map[string]*queryRecord{}, status: map[string]Status{}}
}

// Due returns the engines to query in the round that started at now. The caller records
// their answers and calls Due again with the same now until Due returns none: an answer may
// show an old version, which makes the hosts of that model due as well.
func (c *Schedule) Due(s *intent.State, list []fleet.Backend, incarnation func(id string) string, now time.Time) []fleet.Backend {
	c.removeUnlisted(list)
	if nothingToDo(s) {
		return nil
	}
	unloading := c.unloading(s, list)
	var due []fleet.Backend
	for _, b := range list {
		if b.Kind != fleet.Engine || !c.due(s, b, incarnation(b.ID), unloading, now) {
			continue
		}
		c.recordQuery(s, b, incarnation(b.ID), now)
		due = append(due, b)
	}
	return due
}

// RecordAnswer records the answer of an engine that was due. It ends the engine's sequence
// of failures.
func (c *Schedule) RecordAnswer(id string, st Status) {
	if k, ok := c.known[id]; ok {
		k.failures = 0
		c.status[id] = st
	}
}

// RecordFailure records that an engine that was due didn't answer. The engine's last answer
// is dropped, so that Next sends the engine no order, and the delay before the next query
// may grow (see backoff).
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
	if hasWork(s, b, c.status[b.ID]) {
		return true
	}
	if hostsAny(s.Placement[b.ID], unloading) {
		return true
	}
	return c.sweepDue(b.ID, k.at, now)
}

func (k *queryRecord) changed(s *intent.State, b fleet.Backend, incarnation string) bool {
	if k.backend != b || k.leaving != s.Leaving(b.VM) {
		return true
	}
	if incarnation != "" && incarnation != k.incarnation {
		return true
	}
	p := s.Placement[b.ID]
	return p.Role != k.placement.Role || !slices.Equal(p.Desired, k.placement.Desired)
}

// recordQuery records what is known about b before b is queried: the desired placement,
// whether the backend server is leaving, and its incarnation. A change of these values while
// the query is running must count as a change in the next round.
func (c *Schedule) recordQuery(s *intent.State, b fleet.Backend, incarnation string, now time.Time) {
	k, ok := c.known[b.ID]
	if !ok {
		k = &queryRecord{}
		c.known[b.ID] = k
	}
	k.at, k.backend = now, b
	k.placement, k.leaving = s.Placement[b.ID], s.Leaving(b.VM)
	if incarnation != "" {
		k.incarnation = incarnation
	}
}

// sweepDue reports whether the engine's time in the periodic sweep has come since last, the
// time of the engine's last query. A hash of the engine's id determines the engine's time,
// which is the same in every sweep, so no change of the list can delay an engine.
func (c *Schedule) sweepDue(id string, last, now time.Time) bool {
	phase := time.Duration(xxhash.Sum64String(id) % uint64(SweepInterval))
	sweepNumber := func(t time.Time) int64 { return int64((t.Sub(c.start) + SweepInterval - phase) / SweepInterval) }
	return sweepNumber(now) > sweepNumber(last)
}

// unloading returns the models of which at least one engine has a version to unload.
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

// removeUnlisted removes the records and last answers of the engines that are no longer in
// the list.
func (c *Schedule) removeUnlisted(list []fleet.Backend) {
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

// hasWork reports whether b is still loading, differs from its placement, or doesn't report
// yet that its VM is leaving.
func hasWork(s *intent.State, b fleet.Backend, st Status) bool {
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

// nothingToDo reports whether no engine can need an order, because the state has no
// placement and no leaving VM.
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

// backoff returns the delay before the next query of an engine after the given number of
// consecutive failed queries.
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
