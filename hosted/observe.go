package hosted

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"wigeondale/backend"
	"wigeondale/clock"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/quarantine"
	"wigeondale/rollout"
)

const (
	// pacePieces is after how many pieces the pace of a stream is judged, at its end
	// sooner.
	pacePieces    = 20
	minPacePieces = 5
	// cutCheck is how long after an answer was broken off its replica must work for the
	// answer to count as a failure. One that crashed is known by then.
	cutCheck = 1500 * time.Millisecond
)

// observed are the replicas as roll-outs see them: what each first attempt gave is counted,
// and runs can be ended so that they go on at another version.
type observed struct {
	generation.Engines
	rollouts *rollouts
}

// Open implements generation.Engines.
func (o observed) Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (generation.Stream, error) {
	if r.Opaque == nil {
		return o.Engines.Open(ctx, b, r)
	}
	one := o.rollouts.of(b.Service)
	if one == nil && !r.Opaque.Streaming {
		return o.Engines.Open(ctx, b, r)
	}
	run := newObservedRun(b, &r, one)
	ctx, run.cancel = context.WithCancelCause(ctx)
	run.ctx = ctx
	o.rollouts.runs.add(run)
	s, err := o.Engines.Open(ctx, b, r)
	if err != nil {
		err = run.failed(o.rollouts, err)
		run.end(o.rollouts)
		return nil, err
	}
	if !r.Opaque.Streaming {
		run.timed(o.rollouts, rollout.TotalTime)
		run.end(o.rollouts)
		return s, nil
	}
	return &observedStream{Stream: s, run: run, rollouts: o.rollouts}, nil
}

// observedRun is one attempt.
type observedRun struct {
	b         fleet.Backend
	route     string
	resumable bool // it may go on elsewhere
	ctx       context.Context
	cancel    context.CancelCauseFunc

	// Set while the attempt counts for a roll-out.
	one    *serviceRollout
	began  time.Duration
	aspect rollout.Aspect // that is waited for
	noted  atomic.Bool    // the wait for it has been judged
	first  time.Duration  // piece, since when the pace is judged
	pieces int
}

// newObservedRun judges first attempts only: what follows one goes to the old version, and
// often after a crash.
func newObservedRun(b fleet.Backend, r *backend.StartRequest, one *serviceRollout) *observedRun {
	run := &observedRun{b: b, route: r.Opaque.Route, resumable: r.Opaque.Streaming && r.Opaque.Resumable && !r.LastAttempt}
	if one == nil || !r.FirstAttempt || r.Copies.FromCopy || !one.Stage().Open() {
		return run
	}
	run.one, run.began = one, clock.SinceBoot()
	if r.Opaque.Streaming {
		run.aspect = rollout.TimeToFirst
	}
	return run
}

// observe counts what the attempt gave.
func (r *observedRun) observe(s *rollouts, aspect rollout.Aspect, grade rollout.Grade) {
	if r.one == nil {
		return
	}
	rule := r.one.Rule()
	s.judged.Inc()
	r.one.Observe(rollout.CountKey{Route: r.route, Aspect: aspect, Domain: r.b.FailureDomain, Grade: grade},
		r.b.Version == rule.Target, clock.SinceBoot())
}

// timed counts how long the answer, or its first piece, took.
func (r *observedRun) timed(s *rollouts, aspect rollout.Aspect) {
	if r.one != nil && !r.noted.Swap(true) {
		r.observe(s, aspect, rollout.GradeOf(clock.SinceBoot()-r.began))
	}
}

// overdue counts an answer as slow that has not come yet.
func (r *observedRun) overdue(s *rollouts, now time.Duration) {
	if r.one == nil || r.noted.Load() {
		return
	}
	if waited := now - r.began; r.one.Overdue(r.route, r.aspect, waited, now) && !r.noted.Swap(true) {
		r.observe(s, r.aspect, rollout.GradeOf(waited))
	}
}

// failed counts how the attempt ended, and returns the error that says so.
func (r *observedRun) failed(s *rollouts, err error) error {
	if errors.Is(context.Cause(r.ctx), generation.ErrMoved) {
		return Error.Wrap(generation.ErrMoved)
	}
	if r.one == nil {
		return err
	}
	_, answered := errors.AsType[*backend.FailedAnswer](err)
	_, refused := errors.AsType[*backend.Refused](err)
	switch {
	case answered || errors.Is(err, backend.ErrMismatch):
		r.noted.Store(true)
		r.observe(s, r.aspect, rollout.Failed)
	case refused || errors.Is(err, backend.ErrNotSent) || r.ctx.Err() != nil:
		// It did not run, or was ended from here.
	default:
		time.AfterFunc(cutCheck, func() { r.cut(s) })
	}
	return err
}

// cut counts an answer that was broken off, if its replica goes on working.
func (r *observedRun) cut(s *rollouts) {
	if s.dir.Leaving(r.b.ID) || s.mon.State(r.b.ID) != health.Healthy || s.ended(r.b) {
		return
	}
	r.observe(s, r.aspect, rollout.Failed)
}

// ended tells whether a replica has crashed, which the failure detector learns only by the
// next attempts there.
func (s *rollouts) ended(b fleet.Backend) bool {
	ctx, stop := context.WithTimeout(context.Background(), quarantine.ProbeTimeout)
	defer stop()
	return s.looker.Probe(ctx, b) == quarantine.Exited
}

func (r *observedRun) end(s *rollouts) {
	s.runs.remove(r)
	r.cancel(nil)
}

// observedStream is the stream of an observed run.
type observedStream struct {
	generation.Stream
	run      *observedRun
	rollouts *rollouts
	ended    sync.Once
}

// Next implements generation.Stream.
func (s *observedStream) Next() (backend.Token, error) {
	t, err := s.Stream.Next()
	if err == nil {
		s.run.piece(s.rollouts)
		return t, nil
	}
	if errors.Is(err, io.EOF) {
		s.run.paced(s.rollouts, minPacePieces)
		return t, err
	}
	return t, s.run.failed(s.rollouts, err)
}

// piece counts one piece.
func (r *observedRun) piece(s *rollouts) {
	if r.one == nil {
		return
	}
	r.pieces++
	switch r.pieces {
	case 1:
		r.timed(s, rollout.TimeToFirst)
		r.first = clock.SinceBoot()
	case pacePieces:
		r.paced(s, pacePieces)
	}
}

// paced judges the pace once, from a number of pieces on.
func (r *observedRun) paced(s *rollouts, least int) {
	if r.one == nil || r.pieces < least || r.first == 0 {
		return
	}
	r.observe(s, rollout.ChunkInterval, rollout.GradeOf((clock.SinceBoot()-r.first)/time.Duration(r.pieces-1)))
	r.first = 0
}

// Close implements generation.Stream.
func (s *observedStream) Close() error {
	err := s.Stream.Close()
	s.ended.Do(func() { s.run.end(s.rollouts) })
	return err
}

// runBook holds the runs under way at this node.
type runBook struct {
	mu        sync.Mutex
	byService map[string]map[*observedRun]struct{}
}

func newRunBook() *runBook { return &runBook{byService: map[string]map[*observedRun]struct{}{}} }

func (k *runBook) add(r *observedRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	runs := k.byService[r.b.Service]
	if runs == nil {
		runs = map[*observedRun]struct{}{}
		k.byService[r.b.Service] = runs
	}
	runs[r] = struct{}{}
}

func (k *runBook) remove(r *observedRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.byService[r.b.Service], r)
}

// of returns the runs of a service.
func (k *runBook) of(service string) []*observedRun {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]*observedRun, 0, len(k.byService[service]))
	for r := range k.byService[service] {
		out = append(out, r)
	}
	return out
}

// move ends the runs of a service that are to go on elsewhere, and returns how many.
func (k *runBook) move(service string, rule *rollout.Rule) (n int) {
	if rule.Stage != rollout.Moving && rule.Stage != rollout.RolledBack {
		return 0
	}
	for _, r := range k.of(service) {
		if r.resumable && rule.MovesRuns(&r.b) && r.ctx.Err() == nil {
			r.cancel(generation.ErrMoved)
			n++
		}
	}
	return n
}

// overdue judges the attempts of a service that wait for their answers.
func (s *rollouts) overdue(one *serviceRollout, now time.Duration) {
	if !one.Stage().Open() {
		return
	}
	for _, r := range s.runs.of(one.service) {
		r.overdue(s, now)
	}
}
