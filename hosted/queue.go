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
	"wigeondale/schedule"
)

// Requests wait at the router for an engine that can take them. While a request waits at the
// router, it can still go to whichever engine is free first, or be refused at once if its
// position in the queue is too far back.
const (
	// readingShare is the part of the time to a late first chunk within which an engine should
	// have read the prompts sent to it. The rest of this time is for the wait at the router,
	// where a request can still go to another engine.
	readingShare = 0.5
	// retryInterval is how often the first request of the queue tries to get an engine; the
	// requests behind it try less often, by their position.
	retryInterval = 10 * time.Millisecond
	// maxRetryFactor bounds the interval of the requests further back: it is at most
	// 1+maxRetryFactor times retryInterval.
	maxRetryFactor = 8
	// minActiveWaiters is the least number of requests at the head of the queue that try to get an
	// engine at the same time. If only the first request did, a request that needs more memory than is free
	// anywhere would block all requests behind it.
	minActiveWaiters = 3
	// noRoomAfter is how long a request waits until it counts as a sign that the known engines
	// have no room, and not as a moment's chance.
	noRoomAfter = time.Second
	// adviceSpread spreads the return of clients that are refused at the same time: the time
	// to come back that each client gets is longer by a random part of up to adviceSpread.
	adviceSpread = 0.5
	// codeOverloaded is the code of a refusal because the wait would be too long.
	codeOverloaded = "overloaded"
)

// queue holds the requests that wait for the engines of one service, and the estimates about
// these engines.
type queue struct {
	waitQueue   *admission.WaitQueue // of requests that may go to any version
	active      *admission.Window    // of waitQueue and bound
	bound       boundQueues
	sharing     admission.Sharing
	reading     admission.PrefillRate
	losses      *admission.LossHistory
	urgent      urgentRequests
	queryGate   queryGate
	typicalSize typicalSize
}

// queues holds one queue for each service.
type queues struct {
	sharing admission.Sharing

	mu        sync.Mutex
	byService map[string]*queue
}

func (q *queues) of(service string) *queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	sq := q.byService[service]
	if sq == nil {
		sq = &queue{waitQueue: admission.NewSharedWaitQueue(q.sharing), sharing: q.sharing, active: admission.NewWindow(minActiveWaiters), losses: admission.NewLossHistory(time.Now())}
		if q.byService == nil {
			q.byService = map[string]*queue{}
		}
		q.byService[service] = sq
	}
	return sq
}

// backlog returns the bound on the tokens that an engine may have to read when the request is
// sent to it.
func (q *queue) backlog(a generation.PickRequest) float64 {
	return q.reading.TokensWithin(time.Duration(readingShare * float64(q.urgent.strictest(a, time.Now()))))
}

// pickEngine chooses an engine for a request that is near the head of the queue. If the
// request is further back, or if no engine can take it, pickEngine returns an error that
// either states when to try again or refuses the request.
func (p *picker) pickEngine(ctx context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	q := p.queues.of(a.Service)
	now := time.Now()
	waiting := p.waiting(q, a)
	pos := waiting.Poll(p.itemOf(a, now), now)
	if pos.Waited == 0 && !p.tooLarge(a) {
		seen := a
		seen.PromptTokens, seen.MaxAnswerTokens = p.boundedTokensOf(a)
		q.urgent.observe(seen, now)
	}
	a.Late = pos.Late
	p.order.recordWaiting(a, now)
	if pos.Ahead >= q.active.Size() || pos.Held {
		return fleet.Backend{}, nil, p.waitOrRefuse(q, a, pos, now)
	}
	mayTake, turn := p.order.mayTakeInTurn(a, now)
	a.Yields, a.HasTurn = !mayTake, turn || pos.Due
	p.queryEngines(ctx, a, q, pos)
	b, share, err := p.chooseEngine(a)
	if err == nil {
		size := p.sizeOf(a)
		q.typicalSize.add(size)
		charge := waiting.RecordGrant(a.RequestID, now)
		p.order.recordGrant(a, now)
		p.waits.granted(a)
		q.active.Granted(schedule.Priority(a.Urgency), waiting.Len())
		if a.Resume {
			q.losses.RecordLoss(now)
		}
		p.logChoice(a, b.ID, pos, now)
		return b, p.charged(p.timed(q, b.ID, share, p.newProgress(size, a, b.ID)), charge, a), nil
	}
	u, ok := errors.AsType[*generation.Unavailable](err)
	if _, withheld := withheld(err); withheld || !ok || !u.Retryable {
		waiting.Remove(a.RequestID, now)
		p.order.remove(a.RequestID)
		return fleet.Backend{}, nil, err
	}
	q.active.NoRoom(schedule.Priority(a.Urgency))
	p.order.recordYield(a, now)
	return fleet.Backend{}, nil, p.waitOrRefuse(q, a, pos, now)
}

// logChoice logs the chosen engine and the estimate of its load that the choice was based on.
func (p *picker) logChoice(a generation.PickRequest, id string, pos admission.Position, now time.Time) {
	load, age, known := p.dir.Estimate(id, now)
	ageMS := int64(-1)
	if known {
		ageMS = max(age.Milliseconds(), 0)
	}
	p.log.Emit(event.EngineChosen, "request", a.RequestID, "backend", id, "waited_ms", pos.Waited.Milliseconds(),
		"reading", int(load.Reading), "running", int(load.Running), "held", int(load.Memory), "age_ms", ageMS)
}

// chooseEngine chooses an engine for a run. Where engines are queried for their loads, it
// chooses a preferred engine of the request if any of these can take the run.
func (p *picker) chooseEngine(a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	all, load := p.candidates(a), p.sizeOf(a).loadOf(0)
	if p.loadQuerier.needed() {
		b, share, err := p.chooseReserving(p.preferredEngine, routing.PreferredEngines(all, preferredKey(a), preferredEngines), a, load)
		if err == nil {
			return b, share, nil
		}
	}
	return p.chooseReserving(p.anyEngine, all, a, load)
}

// waitOrRefuse returns when a request is to try again, or refuses the request, by the
// configured refusal policy. A request that was sent to an engine before is never refused
// here; see sentBefore.
func (p *picker) waitOrRefuse(q *queue, a generation.PickRequest, pos admission.Position, now time.Time) error {
	wait := p.waitState(q, a, pos, now)
	if !sentBefore(a) {
		if retryAfter, refused := p.refusal.Refuses(wait); refused {
			p.waits.refused(a, p.waiting(q, a).Remove(a.RequestID, now))
			p.order.remove(a.RequestID)
			p.onNoRoom(a.Service)
			return p.refuse(a, wait, retryAfter)
		}
		if !wait.InTime() && !pos.Late {
			pos = p.waiting(q, a).MarkLate(a.RequestID, now)
		}
	}
	if pos.Waited >= noRoomAfter {
		p.onNoRoom(a.Service)
	}
	if pos.Waited == 0 {
		p.waits.waits(a, q)
		p.log.Emit(event.RequestWaits, "request", a.RequestID, "service", a.Service, "ahead", pos.Ahead, "late", pos.Late,
			"expect_ms", wait.Expected.Milliseconds(), "backlog_tokens", int(q.backlog(a)))
	}
	next := retryInterval * time.Duration(1+min(pos.Ahead, maxRetryFactor))
	return &generation.Unavailable{Retryable: true, RetryAfter: next, Err: errOverloaded}
}

// waitState returns what is known of a waiting request, for the refusal policy.
func (p *picker) waitState(q *queue, a generation.PickRequest, pos admission.Position, now time.Time) admission.WaitState {
	var expect time.Duration // 0 while no rate is known, or while there is room
	if !q.active.FoundRoom(schedule.Priority(a.Urgency)) {
		expect, _ = p.waiting(q, a).ExpectedWait(schedule.Priority(a.Urgency), pos.ToServe(), pos.Peers, now)
	}
	saved := time.Duration(readingShare * float64(a.FirstChunkTarget-q.urgent.strictest(a, now)))
	return admission.WaitState{Position: pos, Expected: expect, Saved: saved, Target: a.FirstChunkTarget, CallerTimeLeft: a.TimeLeft}
}

// refuse returns a refusal with the time after which the client should come back: retryAfter,
// made longer by a random part (see adviceSpread).
func (p *picker) refuse(a generation.PickRequest, w admission.WaitState, retryAfter time.Duration) error {
	advice := retryAfter + time.Duration(adviceSpread*rand.Float64()*float64(retryAfter))
	p.log.Emit(event.RequestOverload, "request", a.RequestID, "service", a.Service, "ahead", w.Ahead,
		"waited_ms", w.Waited.Milliseconds(), "expect_ms", w.Expected.Milliseconds(), "advice_ms", advice.Milliseconds())
	return &generation.Unavailable{Code: codeOverloaded, RetryAfter: advice, Err: errOverloaded}
}

// sentBefore reports whether the request was sent to an engine that was lost, or was moved
// from an engine to another version. In both cases it is no longer certain that the request
// has not run. Therefore a refusal would reach the client as a failure without a time to come
// back.
func sentBefore(a generation.PickRequest) bool { return a.MayHaveRun || a.Resume || a.LostDomain != "" }

var errOverloaded = Error.New("all engines have as much work as they can take")

// timedShare measures the time to the first chunk of a request. The reading speed of engines
// is estimated from these times.
type timedShare struct {
	*directory.Share
	queue         *queue
	tokens        float64 // tokens that the engine had to read at the start, including this prompt
	startedAt     time.Time
	firstChunk    sync.Once // guards the first chunk
	broadcastSoon func()
	progress      *progress // nil if the load doesn't depend on the progress of the run
}

func (p *picker) timed(q *queue, id string, s generation.LoadShare, g *progress) generation.LoadShare {
	share, ok := s.(*directory.Share)
	if !ok {
		return s
	}
	p.broadcastSoon()
	return &timedShare{Share: share, queue: q, tokens: p.dir.Reading(id), startedAt: time.Now(), broadcastSoon: p.broadcastSoon, progress: g}
}

// PrefillDone implements generation.LoadShare.
func (t *timedShare) PrefillDone() {
	t.firstChunk.Do(func() {
		t.Share.PrefillDone()
		t.queue.reading.Observe(t.tokens, time.Since(t.startedAt))
		t.broadcastSoon()
	})
}

// End implements generation.LoadShare.
func (t *timedShare) End() {
	t.Share.End()
	t.broadcastSoon()
}
