package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"wigeondale/admission"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/routing"
)

// Where there are too many routers to broadcast their loads to each other, a router queries a few
// engines, drawn at random, before it chooses one of them (power of d choices). The cost does not
// depend on the number of routers and engines.

const (
	// queriedEngines is how many engines are queried for a prompt. If more are queried, more
	// routers find the same free capacity at the same moment; if fewer are queried, free
	// capacity is not found.
	queriedEngines = 3
	// preferredEngines is the number of preferred engines of a request. The engines that are
	// queried first are drawn from the preferred engines. The client may come back through
	// another router, which finds the cached prompt by querying 2*preferredEngines engines
	// instead of all engines. With fewer preferred engines, the crash of a failure domain
	// leaves too few to choose from.
	preferredEngines = 8
	// queryMaxWait bounds the wait for the responses, which usually take a few ms. A response
	// that takes longer is delayed by a lost packet, for example. Waiting for it would cost
	// more time than placing the prompt badly.
	queryMaxWait = 80 * time.Millisecond
	// queryTimeout ends the query of one engine. A response that arrives after queryMaxWait but
	// before queryTimeout is still recorded, for later choices; a response that arrives even
	// later would be outdated.
	queryTimeout = 250 * time.Millisecond
	// queryInterval is how often engines are queried for the requests that wait at this
	// router, for all of these requests together. More frequent queries would do harm: between
	// two reports of an engine, each router that queries the engine sees the same free
	// capacity and sends a prompt there.
	queryInterval = 400 * time.Millisecond
	// urgentQueryInterval is how often they are queried for the first request of the queue while less urgent ones wait
	// behind it: it finds the capacity that these leave free, and there are few such requests.
	urgentQueryInterval = 200 * time.Millisecond
)

// stateReader queries an engine for its load.
type stateReader interface {
	State(ctx context.Context, b fleet.Backend) (fleet.EngineState, error)
}

// loadQuerier queries engines for their loads.
type loadQuerier struct {
	states  stateReader // nil: no engine is queried
	sampler *routing.Router
	dir     *directory.Directory

	queried, responded *metrics.Counter
}

// querySteps select the engines to query: the usable engines whose last load report is missing
// or no longer recent.
var querySteps = withCommonSteps(
	routing.StepConfig{Name: routing.FilterUsable},
	routing.StepConfig{Name: routing.FilterStale},
)

func newLoadQuerier(states stateReader, dir *directory.Directory, set *metrics.Set) (*loadQuerier, error) {
	sampler, err := newRouter(querySteps)
	if err != nil {
		return nil, err
	}
	return &loadQuerier{
		states: states, sampler: sampler, dir: dir,
		queried:   set.NewCounter("wigeon_engines_asked_total"),
		responded: set.NewCounter("wigeon_engines_answered_total"),
	}, nil
}

// needed reports whether engines are to be queried. They are if the other routers don't
// broadcast their loads.
func (s *loadQuerier) needed() bool { return s.states != nil && !s.dir.PeersSendLoads() }

// sample returns the engines to query for a request with the given key. They are drawn from
// the preferred engines of the request, or from a larger set if the preferred engines are too
// few or were queried before.
func (s *loadQuerier) sample(candidates []routing.Candidate, req routing.PickRequest, key uint64, earlier int) []routing.Candidate {
	req.Now = time.Now()
	for n := preferredEngines * (1 + earlier); ; n *= 2 {
		drawn := s.sampler.Draw(routing.PreferredEngines(candidates, key, n), req, queriedEngines)
		if len(drawn) == queriedEngines || n >= len(candidates) {
			return drawn
		}
	}
}

// query queries the drawn engines for their loads and waits for the responses, at most
// queryMaxWait. It returns how many engines responded in that time.
func (s *loadQuerier) query(ctx context.Context, drawn []routing.Candidate, typical directory.RequestSize) (answered int) {
	answers := make(chan bool, len(drawn))
	for _, c := range drawn {
		go func() { answers <- s.queryOne(context.WithoutCancel(ctx), *c.Backend, typical) }()
	}
	timer := time.NewTimer(queryMaxWait)
	defer timer.Stop()
	for range drawn {
		select {
		case ok := <-answers:
			if ok {
				answered++
			}
		case <-timer.C:
			return answered
		case <-ctx.Done():
			return answered
		}
	}
	return answered
}

// queryOne queries one engine, records the load that the engine reports, and reports whether
// the engine responded. An engine without a response is not chosen now, but it isn't
// suspected: whether it works is decided by its runs.
func (s *loadQuerier) queryOne(ctx context.Context, b fleet.Backend, typical directory.RequestSize) bool {
	s.queried.Inc()
	ctx, stop := context.WithTimeout(ctx, queryTimeout)
	defer stop()
	state, err := s.states.State(ctx, b)
	if err != nil {
		return false
	}
	s.responded.Inc()
	s.dir.Observe(b.ID, state, typical, time.Now())
	return true
}

// queryGate limits how often engines are queried for their loads on behalf of the requests
// that wait for one service.
type queryGate struct {
	mu     sync.Mutex
	latest time.Time // when engines were queried
}

// queryIntervalFor returns how often engines are queried for a request at a position of the queue.
func queryIntervalFor(pos admission.Position) time.Duration {
	if pos.Precedes && pos.Ahead == 0 {
		return urgentQueryInterval
	}
	return queryInterval
}

// due reports whether it is time for a query, given the time since the latest one that must have passed. For a request that has just arrived, a query is
// always due.
func (g *queryGate) due(isNew bool, interval time.Duration, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !isNew && now.Sub(g.latest) < interval {
		return false
	}
	g.latest = now
	return true
}

// queryEngines queries engines for their loads on behalf of a request that is near the head of
// the queue, at the given position. It does nothing if other routers broadcast
// their loads, or if no query is due.
func (p *picker) queryEngines(ctx context.Context, a generation.PickRequest, q *queue, pos admission.Position) {
	if !p.loadQuerier.needed() || !q.queryGate.due(pos.Waited == 0, queryIntervalFor(pos), time.Now()) {
		return
	}
	startedAt := time.Now()
	req := p.pickRequest(a)
	req.OtherDomain = a.LostDomain
	drawn := p.loadQuerier.sample(p.candidates(a), req, preferredKey(a), int(pos.Waited/queryIntervalFor(pos)))
	typical := q.typicalSize.get()
	typical.Rest = p.sizer.restOf(a.Service)
	answered := p.loadQuerier.query(ctx, drawn, typical)
	p.log.Emit(event.EnginesSurveyed, "request", a.RequestID, "service", a.Service,
		"asked", len(drawn), "answered", answered, "took_ms", time.Since(startedAt).Milliseconds())
}

// preferredKey returns the key that determines a request's preferred engines: the hash of the
// part of the prompt that no other request shares, or of the request's id if that part isn't
// known.
func preferredKey(a generation.PickRequest) uint64 {
	if a.UniquePart == "" {
		return xxhash.Sum64String(a.RequestID)
	}
	return xxhash.Sum64String(a.UniquePart)
}
