package hosted

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"wigeondale/backend"
	"wigeondale/chart"
	"wigeondale/clock"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/health"
	"wigeondale/infra"
	"wigeondale/platform"
	"wigeondale/quarantine"
	"wigeondale/rollout"
	"wigeondale/settings"
)

const (
	// rolloutPrefix starts the keys of the records of roll-outs; the name of the service
	// follows.
	rolloutPrefix = "wigeondale/rollouts/"
	// rolloutTick is how often roll-outs are updated.
	rolloutTick = 100 * time.Millisecond
	// rolloutMaxAge is the largest age of a node's copy of the store with which the node
	// continues a trial.
	rolloutMaxAge = 3 * time.Second
	// If a change is due and not written, each node waits takeOverAfter longer than the node
	// before it in rank order, and then writes the change. Only the first takeOverRanks nodes
	// in this order write changes.
	takeOverAfter = 600 * time.Millisecond
	takeOverRanks = 12
	// rolloutWrite bounds one write; rolloutRetry is the pause after a failed write.
	rolloutWrite = time.Second
	rolloutRetry = 400 * time.Millisecond
	// rolloutEcho is how long a node waits after a write for the change to come back from the
	// store. During this time the node doesn't write again.
	rolloutEcho  = 1500 * time.Millisecond
	floodRollout = "hosted.rollout"
)

// rolloutWriter writes a roll-out's record and reports the state to the operator. WriteRollout
// returns false if the record no longer has the given revision, since another node has changed
// it.
type rolloutWriter interface {
	WriteRollout(ctx context.Context, service, key string, rec rollout.Record, revision fleet.Revision) (bool, error)
}

// rollouts holds the roll-outs of all services at this node.
//
// Each node follows the record of a service in the store, counts the results of its own
// attempts, and broadcasts the counts. The node that ranks first by rendezvous hash writes the
// change that is due; if this node does not write it, the node that ranks next does. If two
// nodes write at once, the conditional write lets only one of them succeed.
type rollouts struct {
	writer      rolloutWriter
	dir         *directory.Directory
	mon         *health.Monitor
	log         *event.Log
	chart       *chart.Chart
	incarnation uint64
	runs        *runSet
	prober      quarantine.Prober

	// The following functions are set before the first use.
	routers func() int
	age     func(time.Time) time.Duration // age of this node's copy of the store
	rank    func(service string) int      // rank of this node among the nodes that may write
	flood   func(rollout.Report)

	mu        sync.RWMutex
	limits    rollout.Limits // guarded by mu, as what follows
	byService map[string]*serviceRollout
	lastTick  time.Duration

	rated *metrics.Counter
}

func newRollouts(h *settings.Hosted, w rolloutWriter, dir *directory.Directory, mon *health.Monitor, log *event.Log, set *metrics.Set) (*rollouts, error) {
	c, err := rollout.LoadChart()
	if err != nil {
		return nil, err
	}
	return &rollouts{
		writer: w, dir: dir, mon: mon, log: log, chart: c,
		incarnation: rand.Uint64(),
		runs:        newRunSet(),
		prober:      backend.Prober{},
		routers:     func() int { return 1 },
		age:         func(time.Time) time.Duration { return 0 },
		rank:        func(string) int { return 0 },
		flood:       func(rollout.Report) {},
		limits:      rolloutLimits(h),
		byService:   map[string]*serviceRollout{},
		rated:       set.NewCounter("wigeon_rollout_answers_total"),
	}, nil
}

// of returns the roll-out of a service, or nil if the service never had a roll-out.
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
	return slices.Collect(maps.Values(s.byService))
}

// forService returns the roll-out of a service and creates it if there is none.
func (s *rollouts) forService(service string) *serviceRollout {
	s.mu.Lock()
	defer s.mu.Unlock()
	ro := s.byService[service]
	if ro == nil {
		ro = &serviceRollout{service: service, Rollout: rollout.New(rollout.Config{
			Limits: s.limits, Chart: s.chart, Routers: s.routers, Random: rand.Float64, Incarnation: s.incarnation,
		})}
		s.byService[service] = ro
	}
	return ro
}

// setLimits changes the limits of running and later roll-outs.
func (s *rollouts) setLimits(l rollout.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limits = l
	for _, ro := range s.byService {
		ro.SetLimits(l)
	}
}

func (s *rollouts) currentLimits() rollout.Limits {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.limits
}

// put applies an item of the store that is an operator's order or the record of a roll-out; it
// returns false if the item is neither. An unreadable item is only logged.
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
	s.forService(service).SetRecord(rec, item.ModRev, clock.SinceBoot())
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
	s.forService(service).SetOrder(order, clock.SinceBoot())
}

// removed handles the removal of an item from the store: the removal of an operator's order
// withdraws the order, any other removal has no effect.
func (s *rollouts) removed(key string) {
	if s == nil {
		return
	}
	service, ok := platform.RolloutService(key)
	if !ok {
		return
	}
	if ro := s.of(service); ro != nil {
		s.log.Emit(event.RolloutOrdered, "service", service, "target", "")
		ro.WithdrawOrder()
	}
}

// handleReport passes the report of another node to the roll-out of the service, or drops the
// report if the service never had a roll-out at this node.
func (s *rollouts) handleReport(from string, rep rollout.Report) {
	if ro := s.of(rep.Service); ro != nil {
		ro.HandleReport(from, rep, clock.SinceBoot())
	}
}

// connect gives the roll-outs the functions by which they use the links to the other nodes.
func (s *rollouts) connect(p *peers, n *storeSync) {
	s.routers, s.age = p.registeredNodes, n.age
	s.rank = func(service string) int { return rankIn(p.liveNodes(), p.set.Node.ID, service) }
	s.flood = func(rep rollout.Report) {
		if mesh := p.currentMesh(); mesh != nil {
			// A lost report does no harm, since the next report contains at least the same
			// counts.
			_ = mesh.Flood(floodRollout, rep)
		}
	}
}

// state returns the part of the state dump about roll-outs.
func (s *rollouts) state() any {
	type shown struct {
		Order   rollout.Order
		Record  rollout.Record
		Stage   rollout.Stage
		Verdict rollout.Verdict
		Ready   rollout.ReplicaCounts
	}
	out := map[string]shown{}
	for _, ro := range s.all() {
		order, _ := ro.Order()
		verdict, _ := ro.Verdict()
		out[ro.service] = shown{order, ro.Record(), ro.Stage(), verdict, s.ready(ro)}
	}
	return out
}
