package hosted

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"wigeondale/chart"
	"wigeondale/clock"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/platform"
	"wigeondale/rollout"
	"wigeondale/routing"
	"wigeondale/settings"
)

const (
	// rolloutPrefix of the keys under which the records of roll-outs lie, by service.
	rolloutPrefix = "wigeondale/rollouts/"
	// rolloutTick is how often roll-outs are looked at.
	rolloutTick = 100 * time.Millisecond
	// rolloutFresh is the age of a node's knowledge of the store up to which it goes on
	// with a trial.
	rolloutFresh = 3 * time.Second
	// takeOverAfter is how long a change may be due before the next node in the order of
	// ranks writes it, and takeOverRanks how many nodes take part.
	takeOverAfter = 600 * time.Millisecond
	takeOverRanks = 12
	// rolloutWrite bounds one write, rolloutRetry is the pause after one that failed.
	rolloutWrite = time.Second
	rolloutRetry = 400 * time.Millisecond
	// rolloutHeard is how long after its write a node waits to hear of it from the store.
	rolloutHeard = 1500 * time.Millisecond
	floodRollout = "hosted.rollout"
)

// rolloutWriter writes a roll-out's record and tells the operator.
type rolloutWriter interface {
	WriteRollout(ctx context.Context, service, key string, rec rollout.Record, revision int64) (bool, error)
}

// rollouts are the roll-outs of all services at this node.
//
// Each node follows the record of a service in the store, counts what its own attempts
// saw, and tells the others. The node that a rendezvous hash puts first writes what is due;
// when it does not, the next one does. Two that write at once are told apart by the store.
type rollouts struct {
	writer rolloutWriter
	dir    *directory.Directory
	mon    *health.Monitor
	log    *event.Log
	chart  *chart.Chart
	limits rollout.Limits
	life   uint64
	runs   *runBook

	// Set before use.
	routers func() int
	age     func(time.Time) time.Duration // of what is known of the store
	rank    func(service string) int      // of this node among those that may write
	flood   func(rollout.Report)

	mu        sync.RWMutex
	byService map[string]*serviceRollout
	ticked    time.Duration

	judged *metrics.Counter
	moved  *metrics.Counter
}

func newRollouts(h *settings.Hosted, w rolloutWriter, dir *directory.Directory, mon *health.Monitor, log *event.Log, set *metrics.Set) (*rollouts, error) {
	c, err := rollout.LoadChart()
	if err != nil {
		return nil, err
	}
	return &rollouts{
		writer: w, dir: dir, mon: mon, log: log, chart: c,
		limits:    rollout.Limits{Share: h.RolloutShare, Burst: h.RolloutBurst},
		life:      rand.Uint64(),
		runs:      newRunBook(),
		routers:   func() int { return 1 },
		age:       func(time.Time) time.Duration { return 0 },
		rank:      func(string) int { return 0 },
		flood:     func(rollout.Report) {},
		byService: map[string]*serviceRollout{},
		judged:    set.NewCounter("wigeon_rollout_answers_total"),
		moved:     set.NewCounter("wigeon_rollout_runs_moved_total"),
	}, nil
}

// of returns the roll-out of a service, nil if there never was one.
func (s *rollouts) of(service string) *serviceRollout {
	if s == nil {
		return nil
	}
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.byService[service]
}

func (s *rollouts) all() []*serviceRollout {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make([]*serviceRollout, 0, len(s.byService))
	for _, one := range s.byService {
		out = append(out, one)
	}
	return out
}

// forService returns the roll-out of a service, a new one if there was none.
func (s *rollouts) forService(service string) *serviceRollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	one := s.byService[service]
	if one == nil {
		one = &serviceRollout{service: service, Rollout: rollout.New(rollout.Config{
			Limits: s.limits, Chart: s.chart, Routers: s.routers, Random: rand.Float64, Life: s.life,
		})}
		s.byService[service] = one
	}
	return one
}

// put takes in an item of the store; it returns false for one that is not about roll-outs.
func (s *rollouts) put(item infra.Value) bool {
	if s == nil {
		return false
	}
	if service, ok := platform.RolloutService(item.Key); ok {
		s.putOrder(service, item)
		return true
	}
	service, ok := strings.CutPrefix(item.Key, rolloutPrefix)
	if !ok {
		return false
	}
	var rec rollout.Record
	if err := json.Unmarshal(item.Data, &rec); err != nil {
		s.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		return true
	}
	s.forService(service).Recorded(rec, item.ModRev, clock.Boot())
	return true
}

func (s *rollouts) putOrder(service string, item infra.Value) {
	order, err := platform.DecodeRollout(service, item.Data, item.ModRev)
	if err != nil {
		s.log.Emit(event.ItemUnreadable, "key", item.Key, "revision", item.ModRev, "err", err)
		return
	}
	s.log.Emit(event.RolloutOrdered, "service", service, "target", order.Target,
		"within_ms", order.Duration.Milliseconds(), "revision", order.Revision)
	s.forService(service).Ordered(order, clock.Boot())
}

// gone takes note of an item that was removed.
func (s *rollouts) gone(key string) {
	if s == nil {
		return
	}
	service, ok := platform.RolloutService(key)
	if !ok {
		return
	}
	if one := s.of(service); one != nil {
		s.log.Emit(event.RolloutOrdered, "service", service, "target", "")
		one.Withdrawn()
	}
}

// hear takes in what another node tells.
func (s *rollouts) hear(from string, rep rollout.Report) {
	if one := s.of(rep.Service); one != nil {
		one.Hear(from, rep, clock.Boot())
	}
}

// tick follows the passing of time.
func (s *rollouts) tick(now time.Time) {
	s.mu.RLock()
	none := len(s.byService) == 0
	s.mu.RUnlock()
	if none {
		return
	}
	at := clock.Boot()
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
func (s *rollouts) ready(one *serviceRollout) rollout.Ready {
	rule := one.Rule()
	domains := map[string]bool{}
	var out rollout.Ready
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
func (s *rollouts) logChanges(one *serviceRollout, now time.Duration, ready rollout.Ready) {
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
			"answers", verdict.Answers, "bad", verdict.BadOnes)
	}
	one.loggedBad = bad
	if why := one.Missing(now, ready); why != one.loggedMissing {
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
func (s *rollouts) act(one *serviceRollout, now time.Duration, ready rollout.Ready) {
	next, revision, due := one.Next(now, ready)
	if !due {
		one.isDue = false
		return
	}
	if !one.isDue {
		one.isDue, one.due = true, now
	}
	if one.writing.Load() || now < time.Duration(one.retryAt.Load()) {
		return
	}
	rank := s.rank(one.service)
	if rank >= takeOverRanks || now-one.due < time.Duration(rank)*takeOverAfter {
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
	one.retryAt.Store(int64(clock.Boot() + rolloutHeard))
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

// join has a node take part with the others.
func (s *rollouts) join(p *peers, n *news) {
	s.routers, s.age = p.nodes, n.age
	s.rank = func(service string) int { return rankIn(p.living(), p.set.Node.ID, service) }
	s.flood = func(rep rollout.Report) {
		if mesh := p.joined(); mesh != nil {
			// A report that is lost is followed by one that holds the same and more.
			_ = mesh.Flood(floodRollout, rep)
		}
	}
}

// state is what the dump shows.
func (s *rollouts) state() any {
	type shown struct {
		Order   rollout.Order
		Record  rollout.Record
		Stage   rollout.Stage
		Verdict rollout.Verdict
		Ready   rollout.Ready
	}
	out := map[string]shown{}
	for _, one := range s.all() {
		order, _ := one.Order()
		verdict, _ := one.Verdict()
		out[one.service] = shown{order, one.Record(), one.Stage(), verdict, s.ready(one)}
	}
	return out
}
