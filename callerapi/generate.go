package callerapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"wigeondale/cursor"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// call is one request for a generation after its checks.
type call struct {
	id     identity
	params params
	form   format
	ref    fleet.ModelRef
	from   *cursor.Cursor // nil: from the start
	http2  bool
}

func (s *Server) generate(form format) handler {
	return func(w http.ResponseWriter, r *http.Request, account string) *Failure {
		if f := method(r, http.MethodPost); f != nil {
			return f
		}
		c, f := s.readCall(w, r, account, form)
		if c.id.Key != "" && validKey(c.id.Key) {
			w.Header().Set(headerKey, c.id.Key)
		}
		if f != nil {
			return f
		}
		if c.from != nil && c.from.Finished {
			s.stream(w, c).done()
			return nil
		}
		return s.runOnce(w, r, c)
	}
}

func (s *Server) readCall(w http.ResponseWriter, r *http.Request, account string, form format) (*call, *Failure) {
	c := &call{form: form, http2: r.ProtoMajor >= 2}
	var f *Failure
	if c.id, f = readIdentity(r, account); f != nil {
		return c, f
	}
	raw, f := s.readBody(w, r)
	if f != nil {
		return c, f
	}
	if c.params, f = s.parseBody(raw, form); f != nil {
		return c, f
	}
	if c.from, f = s.openCursor(r, &c.id, &c.params); f != nil {
		return c, f
	}
	return c, s.resolve(c)
}

// resolve settles version and priority. A reconnect stays with the version
// that began the answer, whatever the traffic weights say by now.
func (s *Server) resolve(c *call) *Failure {
	ref, priority, err := s.Accounts.Resolve(c.id.Account, c.params.Model, c.id.Key)
	switch {
	case errors.Is(err, ErrUnknownModel):
		return refuse(http.StatusNotFound, codeUnknownModel, "no such model")
	case errors.Is(err, ErrForbidden):
		return refuse(http.StatusForbidden, codeForbidden, "this account may not use the model")
	case err != nil:
		f := refuse(http.StatusServiceUnavailable, CodeNotReady, "the model cannot be resolved now")
		f.RetryAfter = retrySoon
		return f
	}
	if c.from != nil {
		ref = c.from.Ref
	}
	c.ref = ref
	if !c.id.HasPriority {
		c.id.Priority = priority
	}
	return nil
}

// runOnce runs the call under its key, or answers from what the key holds.
func (s *Server) runOnce(w http.ResponseWriter, r *http.Request, c *call) *Failure {
	if f := s.elsewhere(r.Context(), c); f != nil {
		return f
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	e, f := s.take(ctx, c, cancel)
	if f != nil {
		return f
	}
	if kept := s.keys.answer(e); kept != nil {
		return s.replay(w, c, kept)
	}
	var kept *finished
	defer func() { s.keys.end(e, kept) }()
	if s.KeyRegistry != nil {
		s.KeyRegistry.Announce(c.id.Account, c.id.Key, c.params.Hash)
		defer s.KeyRegistry.Drop(c.id.Account, c.id.Key)
	}
	kept, f = s.run(ctx, w, c)
	return f
}

// lookupTimeout bounds the question to other nodes: a lost one must not delay
// the request, since the pointer is only an economy.
const lookupTimeout = 100 * time.Millisecond

// elsewhere turns away a request whose key runs on another node. A reconnect
// passes: it takes its own stream over from a node that has lost the caller.
func (s *Server) elsewhere(ctx context.Context, c *call) *Failure {
	if s.KeyRegistry == nil || c.id.Made || c.from != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, lookupTimeout)
	defer cancel()
	_, hash, ok := s.KeyRegistry.Locate(ctx, c.id.Account, c.id.Key)
	if !ok {
		return nil
	}
	if hash != c.params.Hash {
		return keyReused()
	}
	return inProgress()
}

func keyReused() *Failure {
	return refuse(http.StatusUnprocessableEntity, codeKeyReused, "this key belongs to a request with another body")
}

// inProgress is said of the request under the key, which has been started; so
// its outcome is unknown and not not-run.
func inProgress() *Failure {
	return &Failure{
		Status:     http.StatusConflict,
		Code:       codeInProgress,
		Message:    "a request with this key is running",
		Outcome:    fleet.Unknown,
		RetryAfter: retryInProgress,
	}
}

// take makes the key live. A reconnect that finds its own earlier run still
// live (the node has not yet seen its connection break) ends that run first:
// two runs would take the engine's stream from each other without end.
func (s *Server) take(ctx context.Context, c *call, cancel context.CancelCauseFunc) (*keyEntry, *Failure) {
	name := keyName(c.id.Account, c.id.Key)
	for {
		e, began := s.keys.begin(name, c.params.Hash, cancel)
		if began {
			return e, nil
		}
		if e.hash != c.params.Hash {
			return nil, keyReused()
		}
		if s.keys.answer(e) != nil {
			return e, nil
		}
		if c.from == nil {
			return nil, inProgress()
		}
		e.cancel(ErrSuperseded)
		select {
		case <-e.done:
		case <-ctx.Done():
			return nil, inProgress()
		}
	}
}

func (s *Server) stream(w http.ResponseWriter, c *call) *streamSink {
	place := cursor.Cursor{
		Request:  c.id.Key,
		Account:  c.id.Account,
		Ref:      c.ref,
		BodyHash: c.params.Hash,
	}
	if c.from != nil {
		place = *c.from
	}
	sink := newStreamSink(w, s.Sealer, place, c.form)
	sink.http2 = c.http2
	sink.limit = s.KeptAnswerBytes / 4
	// The text before the cursor is known only if the caller sent it back.
	if c.from != nil && c.params.ResumeText != nil {
		sink.text = []byte(*c.params.ResumeText)
	}
	sink.full = c.from != nil && c.params.ResumeText == nil
	return sink
}

func (s *Server) run(ctx context.Context, w http.ResponseWriter, c *call) (*finished, *Failure) {
	req := s.request(c)
	if c.params.Stream {
		sink := s.stream(w, c)
		release := sink.abortOn(ctx)
		defer release()
		f := failureOf(s.Runner.Run(ctx, req, sink))
		return s.endStream(sink, f)
	}
	sink := &wholeSink{collector{limit: int(s.AnswerBytes)}}
	f := failureOf(s.Runner.Run(ctx, req, sink))
	if sink.full {
		f = &Failure{Status: http.StatusBadGateway, Code: codeAnswerTooLarge, Outcome: fleet.Failed,
			Message: "the answer is larger than this node holds: ask for it streamed"}
	}
	if f != nil {
		return nil, f
	}
	kept := sink.answer()
	s.writeWhole(w, c, kept)
	return kept, nil
}

func (s *Server) endStream(sink *streamSink, f *Failure) (*finished, *Failure) {
	if f == nil {
		sink.done()
		return sink.answer(), nil
	}
	if !sink.started {
		return nil, f
	}
	s.count(f)
	sink.fail(f)
	return nil, nil
}

func (s *Server) request(c *call) generation.Request {
	req := generation.Request{
		ID:            c.id.requestID(),
		Account:       c.id.Account,
		Ref:           c.ref,
		Prompt:        c.params.Prompt,
		MaxTokens:     c.params.MaxTokens,
		Priority:      c.id.Priority,
		NonIdempotent: c.id.NonIdempotent,
		Deadline:      c.id.deadline(s.GenerateTimeout),
		BodyHash:      c.params.Hash,
	}
	if c.from == nil {
		return req
	}
	req.Resume = &generation.ResumePoint{
		Backend:     c.from.Backend,
		Incarnation: c.from.Incarnation,
		Attempt:     c.from.Attempt,
		Offset:      c.from.Offset,
	}
	if c.params.ResumeText != nil {
		req.Resume.Text = *c.params.ResumeText
		req.Resume.HaveText = true
	}
	return req
}
