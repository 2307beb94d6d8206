package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"

	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/routing"
)

// Where routers are too many to tell each other what they have under way, a router asks a
// few engines, drawn at random, before it chooses one of them (power of d choices). What
// that costs does not depend on how many routers and engines there are.

const (
	// surveyed is how many engines are asked for a prompt. With more of them more routers
	// find the same free place at the same moment; with fewer free places stay unfound.
	surveyed = 3
	// homes is how many engines a request's own ones are, of which those are drawn that are
	// asked first. Its client may come back through another router, which finds its prompt by
	// asking twice as many, and not all engines. With fewer a crash of a failure domain leaves
	// too few to choose from.
	homes = 8
	// surveyPatience bounds the wait for their answers, which take a few ms; a packet that
	// is lost would cost more time than a prompt that is placed badly.
	surveyPatience = 80 * time.Millisecond
	// surveyTimeout ends a question. An answer that comes later says nothing any more.
	surveyTimeout = 250 * time.Millisecond
	// surveyEvery is how often requests that wait at this router have engines asked, all of
	// them together. Between two reports each router that asks sees the same place free
	// and sends a prompt there.
	surveyEvery = 400 * time.Millisecond
)

// stateAsker asks an engine what it has under way.
type stateAsker interface {
	State(ctx context.Context, b fleet.Backend) (fleet.EngineState, error)
}

// survey is the way to ask engines.
type survey struct {
	states stateAsker // nil asks none
	draw   *routing.Router
	dir    *directory.Directory

	asked, answered *metrics.Counter
}

// surveySteps draw those to ask: those that could be chosen, and did not answer just now.
var surveySteps = guarded(
	routing.StepConfig{Name: routing.FilterUsable},
	routing.StepConfig{Name: routing.FilterStale},
)

func newSurvey(states stateAsker, dir *directory.Directory, set *metrics.Set) (*survey, error) {
	draw, err := newRouter(surveySteps)
	if err != nil {
		return nil, err
	}
	return &survey{
		states: states, draw: draw, dir: dir,
		asked:    set.NewCounter("wigeon_engines_asked_total"),
		answered: set.NewCounter("wigeon_engines_answered_total"),
	}, nil
}

// needed tells whether engines are to be asked, since other routers don't tell.
func (s *survey) needed() bool { return s.states != nil && !s.dir.PeersSendLoads() }

// drawn are the engines to ask for a request with a key: of its homes, or of more if those
// are too few, or were asked a few times already.
func (s *survey) drawn(candidates []routing.Candidate, ask routing.PickRequest, key uint64, before int) []routing.Candidate {
	ask.Now = time.Now()
	for n := homes * (1 + before); ; n *= 2 {
		drawn := s.draw.Draw(routing.PreferredEngines(candidates, key, n), ask, surveyed)
		if len(drawn) == surveyed || n >= len(candidates) {
			return drawn
		}
	}
}

// ask asks engines and waits for their answers, for a while. It returns how many have
// answered.
func (s *survey) ask(ctx context.Context, drawn []routing.Candidate, usual directory.RequestSize) (answered int) {
	answers := make(chan bool, len(drawn))
	for _, c := range drawn {
		go func() { answers <- s.askOne(context.WithoutCancel(ctx), c.Backend, usual) }()
	}
	patience := time.NewTimer(surveyPatience)
	defer patience.Stop()
	for range drawn {
		select {
		case ok := <-answers:
			if ok {
				answered++
			}
		case <-patience.C:
			return answered
		case <-ctx.Done():
			return answered
		}
	}
	return answered
}

// askOne takes in what one engine says. One that gives no answer is not chosen now; whether
// it works is judged by its runs.
func (s *survey) askOne(ctx context.Context, b fleet.Backend, usual directory.RequestSize) bool {
	s.asked.Inc()
	ctx, stop := context.WithTimeout(ctx, surveyTimeout)
	defer stop()
	state, err := s.states.State(ctx, b)
	if err != nil {
		return false
	}
	s.answered.Inc()
	s.dir.Observe(b.ID, state, usual, time.Now())
	return true
}

// surveyGate says when the requests that wait for a service have engines asked again.
type surveyGate struct {
	mu   sync.Mutex
	next time.Time
}

// due tells whether it is time to ask. A request that has just come always asks.
func (l *surveyGate) due(first bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !first && now.Before(l.next) {
		return false
	}
	l.next = now.Add(surveyEvery)
	return true
}

// look has engines asked for a request whose turn it is, which has waited for some time.
func (p *picker) look(ctx context.Context, a generation.PickRequest, q *queue, waited time.Duration) {
	if !p.survey.needed() || !q.gate.due(waited == 0, time.Now()) {
		return
	}
	began := time.Now()
	ask := p.ask(a)
	ask.OtherDomain = a.LostDomain
	drawn := p.survey.drawn(p.candidates(a), ask, homeKey(a), int(waited/surveyEvery))
	answered := p.survey.ask(ctx, drawn, q.usual.get())
	p.log.Emit(event.EnginesSurveyed, "request", a.RequestID, "service", a.Service,
		"asked", len(drawn), "answered", answered, "took_ms", time.Since(began).Milliseconds())
}

// homeKey is the key of a request's homes.
func homeKey(a generation.PickRequest) uint64 {
	if a.UniquePart == "" {
		return xxhash.Sum64String(a.RequestID)
	}
	return xxhash.Sum64String(a.UniquePart)
}
