package hosted

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/rollout"
	"wigeondale/routing"
)

// tick updates the roll-outs, at most once every rolloutTick.
func (s *rollouts) tick(now time.Time) {
	s.mu.RLock()
	none := len(s.byService) == 0
	s.mu.RUnlock()
	if none {
		return
	}
	at := clock.SinceBoot()
	if at-s.lastTick < rolloutTick {
		return
	}
	s.lastTick = at
	current := s.age(now) <= rolloutMaxAge
	for _, ro := range s.all() {
		if !ro.idle(at) {
			s.update(ro, at, current)
		}
	}
}

// idleAfter is how long after its end a roll-out is still updated.
const idleAfter = 5 * time.Second

// idle reports whether a roll-out ended more than idleAfter ago, so that it needs no updates.
func (o *serviceRollout) idle(now time.Duration) bool {
	stage := o.Stage()
	return stage == o.logged && now-o.stageSince > idleAfter && (stage == rollout.Completed || stage == rollout.RolledBack) &&
		stage == o.Record().Stage
}

// update does for one roll-out what is due: it broadcasts this node's report, rates overdue
// answers and writes the next record. current reports whether this node's copy of
// the store is not older than rolloutMaxAge.
func (s *rollouts) update(ro *serviceRollout, now time.Duration, current bool) {
	ready := s.ready(ro)
	rule := ro.Rule()
	ro.SetOldRuns(s.runs.otherVersions(ro.service, rule.Target))
	if report := ro.Tick(now, current, ready.Domains); report != nil {
		s.flood(*report)
	}
	s.observeOverdue(ro, now)
	s.logChanges(ro, now, ready)
	s.writeIfDue(ro, now, ready)
}

// ready counts the replicas of a service that may get work, by version. The failure
// domains of the target include those whose replicas are suspected: their evidence must not count
// as that of a version with a single domain.
func (s *rollouts) ready(ro *serviceRollout) rollout.ReplicaCounts {
	rule := ro.Rule()
	domains := map[string]bool{}
	var out rollout.ReplicaCounts
	for _, c := range s.dir.Service(ro.service) {
		b := c.Backend
		if s.dir.Leaving(b.ID) {
			continue
		}
		isNew := b.Version == rule.Target
		if isNew {
			domains[b.FailureDomain] = true
		}
		state := s.mon.State(b.ID)
		switch {
		case state != health.Healthy && state != health.Probing:
		case isNew:
			out.New++
		default:
			out.Old++
		}
	}
	out.Domains = len(domains)
	return out
}

// logChanges logs what has changed since the last call.
func (s *rollouts) logChanges(ro *serviceRollout, now time.Duration, ready rollout.ReplicaCounts) {
	stage := ro.Stage()
	if stage != ro.logged {
		ro.logged, ro.stageSince = stage, now
		rec := ro.Record()
		s.log.Emit(event.RolloutStage, "service", ro.service, "stage", string(stage), "target", rec.Target,
			"elapsed_ms", rec.ElapsedMS, "new", ready.New, "old", ready.Old, "reason", rec.Reason)
	}
	verdict, bad := ro.Verdict()
	if bad && !ro.loggedBad {
		s.log.Emit(event.RolloutJudged, "service", ro.service, "route", verdict.Route, "evidence", verdict.Evidence,
			"answers", verdict.Answers, "bad", verdict.BadAnswers)
	}
	ro.loggedBad = bad
	if blocker := ro.TrialBlocker(now, ready); blocker != ro.loggedBlocker {
		ro.loggedBlocker = blocker
		if blocker != "" {
			s.log.Emit(event.RolloutHeld, "service", ro.service, "reason", blocker)
		}
	}
}

// writeIfDue writes the change of the record that is due, if this node's rank allows the write
// by now: each rank waits takeOverAfter longer than the rank before it.
func (s *rollouts) writeIfDue(ro *serviceRollout, now time.Duration, ready rollout.ReplicaCounts) {
	next, revision, due := ro.NextRecord(now, ready)
	if !due {
		ro.dueSince = 0
		return
	}
	if ro.dueSince == 0 {
		ro.dueSince = now
	}
	if ro.writing.Load() || now < time.Duration(ro.retryAt.Load()) {
		return
	}
	rank := s.rank(ro.service)
	if rank >= takeOverRanks || now-ro.dueSince < time.Duration(rank)*takeOverAfter {
		return
	}
	ro.retryAt.Store(int64(now + rolloutRetry))
	ro.writing.Store(true)
	go func() {
		defer ro.writing.Store(false)
		s.write(ro, next, revision)
	}()
}

func (s *rollouts) write(ro *serviceRollout, next rollout.Record, revision fleet.Revision) {
	ctx, stop := context.WithTimeout(context.Background(), rolloutWrite)
	defer stop()
	done, err := s.writer.WriteRollout(ctx, ro.service, rolloutPrefix+ro.service, next, revision)
	if err != nil || !done {
		s.log.Emit(event.RolloutNotWritten, "service", ro.service, "stage", string(next.Stage), "revision", revision, "err", err)
		return
	}
	// The new record takes effect at this node when it comes back from the store, with its
	// revision in the store.
	ro.retryAt.Store(int64(clock.SinceBoot() + rolloutEcho))
}

// rankIn returns the number of nodes that come before this node in the order in which nodes
// write.
func rankIn(members []string, local, service string) int {
	key := xxhash.Sum64String(service)
	localWeight := routing.Rendezvous(key, local)
	rank := 0
	for _, id := range members {
		if id != local && routing.Rendezvous(key, id) > localWeight {
			rank++
		}
	}
	return rank
}
