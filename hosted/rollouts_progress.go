package hosted

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/health"
	"wigeondale/rollout"
	"wigeondale/routing"
)

// tick follows the passing of time.
func (s *rollouts) tick(now time.Time) {
	s.mu.RLock()
	none := len(s.byService) == 0
	s.mu.RUnlock()
	if none {
		return
	}
	at := clock.SinceBoot()
	if at-s.ticked < rolloutTick {
		return
	}
	s.ticked = at
	fresh := s.age(now) <= rolloutFresh
	for _, one := range s.all() {
		if !one.atRest(at) {
			s.follow(one, at, fresh)
		}
	}
}

// restAfter is how long after its end a roll-out is still looked at: runs move until then.
const restAfter = 5 * time.Second

// atRest tells that a roll-out ended a while ago.
func (o *serviceRollout) atRest(now time.Duration) bool {
	stage := o.Stage()
	return stage == o.logged && now-o.stageSince > restAfter && (stage == rollout.Completed || stage == rollout.RolledBack) &&
		stage == o.Record().Stage
}

// follow looks at one roll-out.
func (s *rollouts) follow(one *serviceRollout, now time.Duration, fresh bool) {
	ready := s.ready(one)
	if report := one.Tick(now, fresh, ready.Domains); report != nil {
		s.flood(*report)
	}
	s.overdue(one, now)
	s.logChanges(one, now, ready)
	s.move(one, now)
	s.act(one, now, ready)
}

// ready counts the replicas of a service that take work.
func (s *rollouts) ready(one *serviceRollout) rollout.ReplicaCounts {
	rule := one.Rule()
	domains := map[string]bool{}
	var out rollout.ReplicaCounts
	for _, c := range s.dir.Service(one.service) {
		b := &c.Backend
		if s.dir.Leaving(b.ID) || s.mon.State(b.ID) != health.Healthy {
			continue
		}
		if b.Version == rule.Target {
			out.New++
			domains[b.FailureDomain] = true
			continue
		}
		out.Old++
	}
	out.Domains = len(domains)
	return out
}

// logChanges logs what has changed.
func (s *rollouts) logChanges(one *serviceRollout, now time.Duration, ready rollout.ReplicaCounts) {
	stage := one.Stage()
	if stage != one.logged {
		one.logged, one.stageSince = stage, now
		rec := one.Record()
		s.log.Emit(event.RolloutStage, "service", one.service, "stage", string(stage), "target", rec.Target,
			"elapsed_ms", rec.ElapsedMS, "new", ready.New, "old", ready.Old, "reason", rec.Reason)
	}
	verdict, bad := one.Verdict()
	if bad && !one.loggedBad {
		s.log.Emit(event.RolloutJudged, "service", one.service, "route", verdict.Route, "evidence", verdict.Evidence,
			"answers", verdict.Answers, "bad", verdict.BadAnswers)
	}
	one.loggedBad = bad
	if why := one.TrialBlocker(now, ready); why != one.loggedMissing {
		one.loggedMissing = why
		if why != "" {
			s.log.Emit(event.RolloutHeld, "service", one.service, "reason", why)
		}
	}
}

// move ends the runs here that are to go on at another version, once each had the time for
// a copy where it goes on.
func (s *rollouts) move(one *serviceRollout, now time.Duration) {
	if now-one.stageSince < rollout.MoveGrace {
		return
	}
	rule := one.Rule()
	if n := s.runs.move(one.service, &rule); n > 0 {
		s.moved.Add(n)
		s.log.Emit(event.RunsMoved, "service", one.service, "stage", string(rule.Stage), "runs", n)
	}
}

// act has this node write what is due, if it is its turn.
func (s *rollouts) act(one *serviceRollout, now time.Duration, ready rollout.ReplicaCounts) {
	next, revision, due := one.NextRecord(now, ready)
	if !due {
		one.dueSince = 0
		return
	}
	if one.dueSince == 0 {
		one.dueSince = now
	}
	if one.writing.Load() || now < time.Duration(one.retryAt.Load()) {
		return
	}
	rank := s.rank(one.service)
	if rank >= takeOverRanks || now-one.dueSince < time.Duration(rank)*takeOverAfter {
		return
	}
	one.retryAt.Store(int64(now + rolloutRetry))
	one.writing.Store(true)
	go func() {
		defer one.writing.Store(false)
		s.write(one, next, revision)
	}()
}

func (s *rollouts) write(one *serviceRollout, next rollout.Record, revision int64) {
	ctx, stop := context.WithTimeout(context.Background(), rolloutWrite)
	defer stop()
	done, err := s.writer.WriteRollout(ctx, one.service, rolloutPrefix+one.service, next, revision)
	if err != nil || !done {
		s.log.Emit(event.RolloutNotWritten, "service", one.service, "stage", string(next.Stage), "revision", revision, "err", err)
		return
	}
	// It counts here too once the store tells of it: by the revision that it has there.
	one.retryAt.Store(int64(clock.SinceBoot() + rolloutHeard))
}

// rankIn is how many nodes come before this one in the order in which they write.
func rankIn(members []string, own, service string) int {
	key := xxhash.Sum64String(service)
	mine := routing.Rendezvous(key, own)
	rank := 0
	for _, id := range members {
		if id != own && routing.Rendezvous(key, id) > mine {
			rank++
		}
	}
	return rank
}
