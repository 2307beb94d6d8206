package health

import (
	"context"
	"time"

	"wigeondale/event"
)

// Before an engine is suspected for its silence, it is asked about its runs.
//
// What goes wrong without it: engines that have more work than they can do pause
// between the tokens of a stream: they read prompts, or put a run off for lack of
// memory. Taken for dead, their runs are begun again elsewhere, where each reads
// its prompt once more, and the fleet has more work still. It shows as a burst of
// requests after which most answers are late long after it has passed. A dead
// engine doesn't answer, so that a question costs little time.

const (
	// inquiryTimeout bounds the wait for an engine's word: shorter than the kernel
	// takes to send a lost packet again.
	inquiryTimeout = 100 * time.Millisecond
	// wordLife is how long an engine's word counts before it is asked again.
	wordLife = 500 * time.Millisecond
	// longestSilence is borne on an engine's word: a run that was put off goes on when
	// its prompt has been read again.
	longestSilence = 4 * time.Second
	// vouchedBounds is how many times the bound on a first token is borne on an
	// engine's word: it can't name runs that wait for their prompt to be read, only
	// count them.
	vouchedBounds = 2
)

// RunQuerier asks backend servers about their runs.
type RunQuerier interface {
	// QueryRuns returns the word of one; an error means that it gave none.
	QueryRuns(ctx context.Context, backend string) (RunReport, error)
}

// RunReport is what a backend server says of its runs.
type RunReport interface {
	// HasRun tells whether it has a run of the request and has made no more of it
	// than received tokens: what it made and nobody received was lost on the way.
	HasRun(request string, received int) bool
}

// inquiry is the last question that an engine was asked. Under engine.mu.
type inquiry struct {
	at      int64 // 0 when it was never asked
	open    bool  // no word has come yet
	refuted bool  // none came, or an error
}

// opinion is what is known of an engine whose silence raises a doubt.
type opinion uint8

const (
	unasked opinion = iota
	waiting         // it was asked and has some time left to answer
	vouched         // it has answered
	refuted         // it has not
)

// opinion of the engine at t. Under e.mu.
func (e *engine) opinion(t int64) opinion {
	q := &e.inquiry
	age := t - q.at
	switch {
	case q.at == 0:
		return unasked
	case q.open && age < int64(inquiryTimeout):
		return waiting
	case q.open || q.refuted:
		if age < int64(wordLife) {
			return refuted
		}
		return unasked
	case age < int64(wordLife):
		return vouched
	}
	return unasked
}

// doubt tells whether a silence of e is to be acted on at t. The first time it has
// the engine asked. Under e.mu.
func (m *Monitor) doubt(e *engine, silence time.Duration, t int64) bool {
	if m.RunQuerier == nil || silence >= longestSilence {
		return true
	}
	switch e.opinion(t) {
	case refuted:
		return true
	case unasked:
		e.inquiry = inquiry{at: t, open: true}
		m.inquiries.Inc()
		go m.inquire(e, t)
	}
	return false
}

// inquire asks e and takes in its word.
func (m *Monitor) inquire(e *engine, asked int64) {
	ctx, stop := context.WithTimeout(context.Background(), inquiryTimeout)
	defer stop()
	w, err := m.RunQuerier.QueryRuns(ctx, e.id)
	lost := e.heard(w, err, asked)
	m.log.Emit(event.EngineAsked, "backend", e.id, "lost", len(lost.streams), "err", err)
	m.cancel(lost)
}

// heard takes in the word of an engine, or that none came. It returns the verdict
// on the streams that the engine doesn't hold, or whose tokens were lost.
func (e *engine) heard(w RunReport, err error, asked int64) verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	v := verdict{engine: e}
	if e.inquiry.at != asked {
		return v
	}
	e.inquiry.open = false
	e.inquiry.refuted = err != nil
	if err != nil {
		return v
	}
	for _, s := range e.streams {
		began := s.last.Load() != 0 && s.last.Load() < asked
		if !began || s.cancelled || s.blocked.Load() || w.HasRun(s.work.Request, s.received()) {
			continue
		}
		v.streams = append(v.streams, s)
		v.causes = append(v.causes, ErrStalled)
	}
	return v
}
