package hosted

import (
	"context"
	"errors"
	"io"
	"net/http"
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
	// paceChunks is the number of chunks after which the pace of a stream is rated. A stream
	// that ends sooner is rated at its end, if it has at least minPaceChunks chunks.
	paceChunks    = 20
	minPaceChunks = 5
	// cutOffCheck is the delay between the moment at which an answer is truncated and the
	// check whether the answer's replica still works. If the replica works, the answer counts
	// as a failure. The delay is needed because a crash of the replica is not known earlier.
	cutOffCheck = 1500 * time.Millisecond
)

// observedEngines wraps the access to the replicas for roll-outs: it counts the result of each
// first attempt, the errors with which replicas answer requests that continue a stream, and the streams that run.
type observedEngines struct {
	generation.Engines
	rollouts *rollouts
}

// Open implements generation.Engines.
func (o observedEngines) Open(ctx context.Context, b fleet.Backend, r backend.StartRequest) (generation.Stream, error) {
	if r.Opaque == nil {
		return o.Engines.Open(ctx, b, r)
	}
	ro := o.rollouts.of(b.Service)
	if ro == nil && !r.Opaque.Streaming {
		return o.Engines.Open(ctx, b, r)
	}
	run := newObservedRun(b, &r, ro)
	run.ctx = ctx
	o.rollouts.runs.add(run)
	s, err := o.Engines.Open(ctx, b, r)
	if err != nil {
		err = run.observeFailure(o.rollouts, err)
		run.end(o.rollouts)
		return nil, err
	}
	if !r.Opaque.Streaming {
		run.observeTime(o.rollouts, rollout.TotalTime)
		run.end(o.rollouts)
		return s, nil
	}
	if head := s.Head(); run.continues && head != nil && head.Status != http.StatusOK {
		run.timeCounted.Store(true)
		run.observe(o.rollouts, run.aspect, rollout.Failed)
		run.rollout = nil
	}
	return &observedStream{Stream: s, run: run, rollouts: o.rollouts}, nil
}

// observedRun is one attempt whose result is counted for a roll-out, or for whose end a roll-out may
// wait.
type observedRun struct {
	b         fleet.Backend
	route     string
	streaming bool
	continues bool // the client has a part of the stream
	ctx       context.Context

	// rollout is set if the attempt counts for a roll-out. The fields after it
	// are used only then.
	rollout     *serviceRollout
	onlyErrors  bool // only an answer of the replica that is an error counts
	startedAt   time.Duration
	aspect      rollout.Aspect // aspect of the answer that is rated next
	timeCounted atomic.Bool    // the time to the answer, or to its first chunk, was counted
	firstAt     time.Duration  // time of the first chunk, from which the pace is measured; 0 before it and once the pace is rated
	chunks      int
}

// newObservedRun returns the record of an attempt. The attempt is rated only if it is the
// first attempt of a request while a roll-out is open: a later attempt goes to the old
// version, and often follows a crash. Of a later one that continues a stream, and so stays at its version, only an
// answer that is an error is counted.
func newObservedRun(b fleet.Backend, r *backend.StartRequest, ro *serviceRollout) *observedRun {
	run := &observedRun{b: b, route: r.Opaque.Route, streaming: r.Opaque.Streaming}
	run.continues = run.streaming && r.ResumeTokens > 1
	run.onlyErrors = !r.FirstAttempt
	if ro == nil || run.onlyErrors && !run.continues || r.Copies.FromCopy || !ro.Stage().Open() {
		return run
	}
	run.rollout, run.startedAt = ro, clock.SinceBoot()
	if r.Opaque.Streaming {
		run.aspect = rollout.TimeToFirst
	}
	return run
}

// observe adds one rating of the attempt to the roll-out's counts: the grade of the given
// aspect. It does nothing if the attempt doesn't count for a roll-out.
func (r *observedRun) observe(s *rollouts, aspect rollout.Aspect, grade rollout.Grade) {
	if r.rollout == nil || r.onlyErrors && grade != rollout.Failed {
		return
	}
	rule := r.rollout.Rule()
	s.rated.Inc()
	r.rollout.Observe(rollout.CountKey{Route: r.route, Aspect: aspect, Domain: r.b.FailureDomain, Grade: grade},
		r.b.Version == rule.Target, clock.SinceBoot())
}

// observeTime rates the time since the attempt started. It is called when the answer, or the
// first chunk of the answer, has arrived, and does nothing if the time of the attempt was
// already rated.
func (r *observedRun) observeTime(s *rollouts, aspect rollout.Aspect) {
	if r.rollout != nil && !r.timeCounted.Swap(true) {
		r.observe(s, aspect, rollout.GradeOf(clock.SinceBoot()-r.startedAt))
	}
}

// observeOverdue counts an answer that has not come yet as slow, if it is so late that it will
// count as slow in any case.
func (r *observedRun) observeOverdue(s *rollouts, now time.Duration) {
	if r.rollout == nil || r.timeCounted.Load() {
		return
	}
	if waited := now - r.startedAt; r.rollout.Overdue(r.route, r.aspect, waited, now) && !r.timeCounted.Swap(true) {
		r.observe(s, r.aspect, rollout.GradeOf(waited))
	}
}

// observeFailure rates an attempt that ended with err, and returns the error to pass on. A
// failure that the replica itself returned is counted at once. An answer that was truncated is
// rated after cutOffCheck, since the replica may have crashed.
func (r *observedRun) observeFailure(s *rollouts, err error) error {
	if r.rollout == nil {
		return err
	}
	_, answered := errors.AsType[*backend.FailedAnswer](err)
	_, refused := errors.AsType[*backend.Refused](err)
	switch {
	case answered || errors.Is(err, backend.ErrMismatch):
		r.timeCounted.Store(true)
		r.observe(s, r.aspect, rollout.Failed)
	case refused || errors.Is(err, backend.ErrNotSent) || r.ctx.Err() != nil || r.onlyErrors:
		// The replica did not run the attempt, or this router ended it, or it doesn't count.
	default:
		time.AfterFunc(cutOffCheck, func() { r.observeCutOff(s) })
	}
	return err
}

// observeCutOff counts a truncated answer as a failure if its replica still works. If the
// replica is leaving or has crashed, the answer is not counted.
func (r *observedRun) observeCutOff(s *rollouts) {
	if s.dir.Leaving(r.b.ID) || s.mon.State(r.b.ID) != health.Healthy || s.crashed(r.b) {
		return
	}
	r.observe(s, r.aspect, rollout.Failed)
}

// crashed probes a replica and reports whether the replica has crashed. The failure detector
// finds out about a crash only with the next attempts at the replica.
func (s *rollouts) crashed(b fleet.Backend) bool {
	ctx, stop := context.WithTimeout(context.Background(), quarantine.ProbeTimeout)
	defer stop()
	return s.prober.Probe(ctx, b) == quarantine.Exited
}

func (r *observedRun) end(s *rollouts) {
	s.runs.remove(r)
}

// observedStream is the stream of an observed run.
type observedStream struct {
	generation.Stream
	run      *observedRun
	rollouts *rollouts
	endOnce  sync.Once
}

// Next implements generation.Stream.
func (s *observedStream) Next() (backend.Token, error) {
	t, err := s.Stream.Next()
	if err == nil {
		s.run.countChunk(s.rollouts)
		return t, nil
	}
	if err == io.EOF {
		s.run.observePace(s.rollouts, minPaceChunks)
		return t, err
	}
	return t, s.run.observeFailure(s.rollouts, err)
}

// countChunk counts one chunk, and rates the time to the first chunk and the pace when they
// are known.
func (r *observedRun) countChunk(s *rollouts) {
	if r.rollout == nil {
		return
	}
	r.chunks++
	switch r.chunks {
	case 1:
		r.observeTime(s, rollout.TimeToFirst)
		r.firstAt = clock.SinceBoot()
	case paceChunks:
		r.observePace(s, paceChunks)
	}
}

// observePace rates the pace of the stream once, if the stream has at least the given number
// of chunks.
func (r *observedRun) observePace(s *rollouts, least int) {
	if r.rollout == nil || r.chunks < least || r.firstAt == 0 {
		return
	}
	r.observe(s, rollout.ChunkInterval, rollout.GradeOf((clock.SinceBoot()-r.firstAt)/time.Duration(r.chunks-1)))
	r.firstAt = 0
}

// Close implements generation.Stream.
func (s *observedStream) Close() error {
	err := s.Stream.Close()
	s.endOnce.Do(func() { s.run.end(s.rollouts) })
	return err
}

// runSet holds the runs in progress at this node.
type runSet struct {
	mu        sync.Mutex
	byService map[string]map[*observedRun]struct{}
}

func newRunSet() *runSet { return &runSet{byService: map[string]map[*observedRun]struct{}{}} }

func (k *runSet) add(r *observedRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	runs := k.byService[r.b.Service]
	if runs == nil {
		runs = map[*observedRun]struct{}{}
		k.byService[r.b.Service] = runs
	}
	runs[r] = struct{}{}
}

func (k *runSet) remove(r *observedRun) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.byService[r.b.Service], r)
}

// of returns the runs of a service.
func (k *runSet) of(service string) []*observedRun {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]*observedRun, 0, len(k.byService[service]))
	for r := range k.byService[service] {
		out = append(out, r)
	}
	return out
}

// otherVersions returns the number of streams of a service at replicas of other versions.
func (k *runSet) otherVersions(service, version string) (n int) {
	for _, r := range k.of(service) {
		if r.streaming && r.b.Version != version {
			n++
		}
	}
	return n
}

// observeOverdue rates the attempts of a service that still wait for their answers.
func (s *rollouts) observeOverdue(ro *serviceRollout, now time.Duration) {
	if !ro.Stage().Open() {
		return
	}
	for _, r := range s.runs.of(ro.service) {
		r.observeOverdue(s, now)
	}
}
