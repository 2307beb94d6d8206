package hosted

import (
	"context"
	"math"
	"sync"
	"time"

	"wigeondale/cost"
	"wigeondale/directory"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/relay"
)

// This file passes what ends here to the estimates of package cost, and gives the picker their
// results. Without a sizer, a request counts with the maximum of its answer.

// sizer knows what requests cost. A nil sizer knows nothing.
type sizer struct {
	lengths     *cost.Estimator
	calibration cost.Calibration
	work        cost.Work
	log         *event.Log

	mu    sync.Mutex
	known map[string]bool // services whose lengths are known, for the log
}

func newSizer(log *event.Log) *sizer {
	return &sizer{lengths: cost.New(), log: log, known: map[string]bool{}}
}

// requestSize is what a request is expected to need at an engine, in tokens.
type requestSize struct {
	prompt, answer int
	spread         float64 // variance of the answer; 0 if it is the stated maximum
	// lengths is the distribution of the answer's length. perChunk is the number of tokens in a chunk, 0 if it isn't known.
	lengths  *cost.Distribution
	perChunk float64
	maximum  int // of the answer as stated, which no estimate exceeds
}

func (z requestSize) memory() int { return z.prompt + z.answer }

// sizeOf returns what a request counts as at an engine.
func (p *picker) sizeOf(a generation.PickRequest) requestSize {
	prompt, answer := tokensOf(a)
	if c := p.capacity(a.Service); c > 0 { // the sum must not overflow, and stay too large
		prompt, answer = min(prompt, c+1), min(answer, c+1)
	}
	z := requestSize{prompt: prompt, answer: answer}
	if p.sizer != nil && a.PromptTokens > 0 && a.MaxAnswerTokens > 0 {
		p.sizer.refine(&z, a, time.Now())
	}
	return z
}

// refine replaces the maximum of the answer by its expected length, if that is known.
func (s *sizer) refine(z *requestSize, a generation.PickRequest, now time.Time) {
	perChunk, calibrated := s.calibration.PerChunk(a.Service, now)
	d, ok := s.lengths.Estimate(cost.Request{
		Service: a.Service, Route: a.Route, Account: a.Account, Hint: a.LengthHint, Maximum: a.MaxAnswerTokens,
	}, now)
	s.noteKnown(a.Service, calibrated && ok)
	if !calibrated || !ok {
		return
	}
	z.lengths, z.perChunk, z.maximum = &d, perChunk, a.MaxAnswerTokens
	z.answer, z.spread = z.expect(a.ChunksReceived)
}

// expect returns the expected length of the answer and its variance once the given number of chunks
// has been generated. Both are whole numbers, so that sums of loads cancel out exactly. Where chunks
// are smaller than calibrated, more seems to be generated than the maximum allows.
func (z *requestSize) expect(chunks int) (answer int, spread float64) {
	generated := float64(chunks) * z.perChunk
	if generated >= float64(z.maximum) {
		return z.maximum, 0
	}
	rest, variance := z.lengths.Rest(generated)
	return min(int(math.Ceil(generated+rest)), z.maximum), math.Ceil(variance)
}

// noteKnown logs when the lengths of a service become known, or are unknown again.
func (s *sizer) noteKnown(service string, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[service] == known {
		return
	}
	s.known[service] = known
	id := event.SizesUnknown
	if known {
		id = event.SizesKnown
	}
	s.log.Emit(id, "service", service)
}

// restOf returns the estimate of what a service's runs will still generate, or nil if it isn't known.
func (s *sizer) restOf(service string) func(priority, chunks int) (mean, variance float64) {
	if s == nil {
		return nil
	}
	now := time.Now()
	perChunk, ok := s.calibration.PerChunk(service, now)
	if !ok {
		return nil
	}
	if _, ok := s.lengths.RestOf(service, 0, now); !ok {
		return nil
	}
	byPriority := map[int]*cost.Distribution{}
	var mu sync.Mutex // reports of several engines arrive side by side
	return func(priority, chunks int) (mean, variance float64) {
		mu.Lock()
		defer mu.Unlock()
		d := byPriority[priority]
		if d == nil {
			got, _ := s.lengths.RestOf(service, priority, now)
			d = &got
			byPriority[priority] = d
		}
		return d.Rest(float64(chunks) * perChunk)
	}
}

// streamEnded learns from a stream that has ended. A stream that began through another router doesn't
// count: only streams long enough to be taken up again are seen in this way, and they aren't typical.
func (s *sizer) streamEnded(e relay.StreamEnd) {
	now := time.Now()
	perChunk, ok := s.calibration.PerChunk(e.Service, now)
	if !ok || e.FirstChunk > 1 {
		return
	}
	q := cost.Request{
		Service: e.Service, Route: e.Route, Account: e.Account, Priority: e.Priority, Hint: e.LengthHint, Maximum: e.MaxAnswerTokens,
	}
	s.lengths.Observe(q, float64(e.Chunks)*perChunk, e.Complete, now)
}

// plainLoad returns the load of a request to a service that is not a model engine.
func (p *picker) plainLoad(a generation.PickRequest) directory.Load {
	load := directory.Load{Requests: 1}
	if p.sizer != nil {
		load.Extra = p.sizer.work.Of(a.Service, a.Route, time.Now()) - 1
	}
	return load
}

// progress keeps the load of a run in step with its answer: a run that has outlasted most answers is
// expected to become longer than it was when it began. Without that, a router that knows the runs only
// from their beginnings would count long answers as typical ones.
type progress struct {
	size    requestSize
	next    int // number of the chunk at which the load is estimated again
	request generation.PickRequest
	backend fleet.Backend
	picker  *picker
}

func (p *picker) newProgress(z requestSize, a generation.PickRequest, id string) *progress {
	if p.sizer == nil {
		return nil
	}
	b, _ := p.dir.Backend(id)
	return &progress{size: z, request: a, backend: b, picker: p}
}

// Progress implements the progress recorder of package generation.
func (t *timedShare) Progress(chunk int) {
	g := t.progress
	if g == nil {
		return
	}
	now := time.Now()
	if g.request.ChunksReceived == 0 && g.picker.loadQuerier.states != nil && g.picker.sizer.calibration.Wanted(g.request.Service, chunk, now) {
		go g.calibrate()
	}
	if g.size.lengths == nil || chunk < g.next {
		return
	}
	g.next = chunk + max(chunk/4, 4)
	answer, spread := g.size.expect(chunk)
	t.Share.Resize(float64(g.size.prompt+answer), spread)
}

// calibrate asks the engine of a run of this router how many tokens its chunks are.
func (g *progress) calibrate() {
	ctx, stop := context.WithTimeout(context.Background(), queryTimeout)
	defer stop()
	state, err := g.picker.loadQuerier.states.State(ctx, g.backend)
	if err != nil {
		return // the next run asks again
	}
	for _, run := range state.Runs {
		if run.Request == g.request.RequestID {
			g.picker.sizer.calibration.Observe(g.request.Service, g.request.PromptTokens, run.Memory, run.Chunks, time.Now())
		}
	}
}
