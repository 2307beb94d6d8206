package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"wigeondale/admission"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/routing"
)

// Requests wait at the router for an engine that can take them: there they can still go
// to whichever is free first, and be told at once when their turn would come too late.
const (
	// readingShare is the part of the time to a late first piece within which an engine
	// is to have read what it was sent. The rest is for the wait at the router, where
	// a request can still go to another engine.
	readingShare = 0.5
	// turnEvery is how often the first in the line asks for its turn; those behind it
	// ask less often, by their place.
	turnEvery = 10 * time.Millisecond
	// turnPlaces bounds that.
	turnPlaces = 8
	// lookers is how many of the line look for an engine at once. With the first alone a
	// request that is too large for what is free anywhere holds up all behind it.
	lookers = 3
	// adviceSpread spreads the return of those that are refused together.
	adviceSpread = 0.5
	// codeOverloaded is the code of a refusal because the wait would be too long.
	codeOverloaded = "overloaded"
)

// queue is what waits for the engines of one service, and what was learnt of them.
type queue struct {
	line    *admission.WaitQueue
	reading admission.PrefillRate
	losses  *admission.LossHistory
	gate    surveyGate
	usual   usualSize
}

// queues hold one queue for each service.
type queues struct {
	mu        sync.Mutex
	byService map[string]*queue
}

func (q *queues) of(service string) *queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	one := q.byService[service]
	if one == nil {
		one = &queue{line: admission.NewWaitQueue(), losses: admission.NewLossHistory(time.Now())}
		if q.byService == nil {
			q.byService = map[string]*queue{}
		}
		q.byService[service] = one
	}
	return one
}

// backlog bounds the tokens that an engine is to have yet to read.
func (q *queue) backlog(a generation.PickRequest) float64 {
	return q.reading.TokensWithin(time.Duration(readingShare * float64(a.FirstChunkTarget)))
}

// engine chooses an engine for a run whose turn it is, or says when to ask again.
func (p *picker) engine(ctx context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	q := p.queues.of(a.Service)
	rank := admission.RankNew
	if sentBefore(a) {
		rank = admission.RankStarted
	}
	now := time.Now()
	turn := q.line.Poll(a.RequestID, rank, a.SinceFirstTry, now)
	a.Late = turn.Late
	if turn.Ahead >= lookers {
		return fleet.Backend{}, nil, p.waitOrRefuse(q, a, turn, now)
	}
	p.look(ctx, a, q, turn.Waited)
	b, share, err := p.place(a)
	if err == nil {
		q.usual.add(tokensOf(a))
		q.line.RecordGrant(a.RequestID, now)
		if a.Resume {
			q.losses.RecordLoss(now)
		}
		p.logChoice(a, b.ID, turn, now)
		return b, p.timed(q, b.ID, share), nil
	}
	if u, ok := errors.AsType[*generation.Unavailable](err); !ok || !u.Retryable {
		q.line.Remove(a.RequestID)
		return fleet.Backend{}, nil, err
	}
	return fleet.Backend{}, nil, p.waitOrRefuse(q, a, turn, now)
}

// logChoice tells what an engine was chosen by.
func (p *picker) logChoice(a generation.PickRequest, id string, turn admission.Position, now time.Time) {
	load, age, said := p.dir.Estimate(id, now)
	ageMS := int64(-1)
	if said {
		ageMS = max(age.Milliseconds(), 0)
	}
	p.log.Emit(event.EngineChosen, "request", a.RequestID, "backend", id, "waited_ms", turn.Waited.Milliseconds(),
		"reading", int(load.Reading), "running", int(load.Running), "held", int(load.Memory), "age_ms", ageMS)
}

// place chooses an engine for a run: one of its homes if any of them can take it.
func (p *picker) place(a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	all, load := p.candidates(a), loadOf(a, 0)
	if p.survey.needed() {
		b, share, err := p.choose(p.home, routing.PreferredEngines(all, homeKey(a), homes), a, load)
		if err == nil {
			return b, share, nil
		}
	}
	return p.choose(p.work, all, a, load)
}

// waitOrRefuse says when a request is to ask again, or refuses it, by the way of refusal
// that is set. One that an engine had is never refused here.
func (p *picker) waitOrRefuse(q *queue, a generation.PickRequest, turn admission.Position, now time.Time) error {
	wait := p.waitOf(q, a, turn, now)
	if !sentBefore(a) {
		if back, refused := p.refusal.Refuses(wait); refused {
			q.line.Remove(a.RequestID)
			return p.refuse(a, wait, back)
		}
		if !wait.InTime() && !turn.Late {
			turn = q.line.MarkLate(a.RequestID, now)
		}
	}
	if turn.Waited == 0 {
		p.log.Emit(event.RequestWaits, "request", a.RequestID, "service", a.Service, "ahead", turn.Ahead, "late", turn.Late,
			"expect_ms", wait.Expected.Milliseconds(), "backlog_tokens", int(q.backlog(a)))
	}
	next := turnEvery * time.Duration(1+min(turn.Ahead, turnPlaces))
	return &generation.Unavailable{Retryable: true, RetryAfter: next, Err: errOverloaded}
}

// waitOf is what is known of a request that waits.
func (p *picker) waitOf(q *queue, a generation.PickRequest, turn admission.Position, now time.Time) admission.WaitState {
	expect, _ := q.line.ExpectedWait(turn.Ahead+1, now) // none while no pace is known
	return admission.WaitState{Position: turn, Expected: expect, Target: a.FirstChunkTarget, CallerTimeLeft: a.TimeLeft}
}

// refuse tells a client when to come back.
func (p *picker) refuse(a generation.PickRequest, w admission.WaitState, back time.Duration) error {
	advice := back + time.Duration(adviceSpread*rand.Float64()*float64(back))
	p.log.Emit(event.RequestOverload, "request", a.RequestID, "service", a.Service, "ahead", w.Ahead,
		"waited_ms", w.Waited.Milliseconds(), "expect_ms", w.Expected.Milliseconds(), "advice_ms", advice.Milliseconds())
	return &generation.Unavailable{Code: codeOverloaded, RetryAfter: advice, Err: errOverloaded}
}

// sentBefore tells whether an engine had the request and was lost, or left for another
// version: nobody can say any more that it has not run, so that a refusal would be a
// failure without advice.
func sentBefore(a generation.PickRequest) bool { return a.MayHaveRun || a.Resume || a.LostDomain != "" }

var errOverloaded = Error.New("all engines have as much work as they can take")

// timedShare learns from the time to the first piece how fast prompts are read.
type timedShare struct {
	*directory.Share
	queue  *queue
	tokens float64 // that were to be read when it began, its own among them
	began  time.Time
	first  sync.Once // piece
	tell   func()
}

func (p *picker) timed(q *queue, id string, s generation.LoadShare) generation.LoadShare {
	share, ok := s.(*directory.Share)
	if !ok {
		return s
	}
	p.tellSoon()
	return &timedShare{Share: share, queue: q, tokens: p.dir.Reading(id), began: time.Now(), tell: p.tellSoon}
}

// PrefillDone implements generation.Share.
func (t *timedShare) PrefillDone() {
	t.first.Do(func() {
		t.Share.PrefillDone()
		t.queue.reading.Observe(t.tokens, time.Since(t.began))
		t.tell()
	})
}

// End implements generation.Share.
func (t *timedShare) End() {
	t.Share.End()
	t.tell()
}
