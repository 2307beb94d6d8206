package callerapi

import (
	"context"
	"errors"
	"net/http"
	"time"

	"wigeondale/cursor"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/listen"
)

// generationCall is one validated request for a generation.
type generationCall struct {
	id         identity
	params     params
	form       format
	ref        fleet.ModelRef
	resumeFrom *cursor.Cursor // nil: the answer starts at its beginning
	http2      bool
}

func (s *Server) generate(form format) handler {
	return func(w http.ResponseWriter, r *http.Request, account string) *Failure {
		if f := requireMethod(r, http.MethodPost); f != nil {
			return f
		}
		c, f := s.readCall(w, r, account, form)
		if c.id.Key != "" && validKey(c.id.Key) {
			w.Header().Set(headerKey, c.id.Key)
		}
		if f != nil {
			return f
		}
		if c.resumeFrom != nil && c.resumeFrom.Finished {
			s.newSink(w, c).writeDone()
			return nil
		}
		return s.runOnce(w, r, c)
	}
}

func (s *Server) readCall(w http.ResponseWriter, r *http.Request, account string, form format) (*generationCall, *Failure) {
	c := &generationCall{form: form, http2: r.ProtoMajor >= 2}
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
	if c.params.Stream && !listen.CanStream(r) {
		return c, refuse(http.StatusUpgradeRequired, codeNoStreams, "a stream needs HTTP/1.1 or later")
	}
	if c.resumeFrom, f = s.openCursor(r, &c.id, &c.params); f != nil {
		return c, f
	}
	return c, s.resolve(c)
}

// resolve determines the version and the priority. A reconnect stays with the
// version that started the answer, even if the traffic weights have changed.
func (s *Server) resolve(c *generationCall) *Failure {
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
	if c.resumeFrom != nil {
		ref = c.resumeFrom.Ref
	}
	c.ref = ref
	if !c.id.HasPriority {
		c.id.Priority = priority
	}
	return nil
}

// runOnce marks the call's key as running while it runs the call. If this node keeps a
// finished answer under the key, runOnce sends that answer instead.
func (s *Server) runOnce(w http.ResponseWriter, r *http.Request, c *generationCall) *Failure {
	if f := s.checkOtherNodes(r.Context(), c); f != nil {
		return f
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	e, f := s.acquireKey(ctx, c, cancel)
	if f != nil {
		return f
	}
	if kept := s.keys.answer(e); kept != nil {
		return s.replay(w, c, kept)
	}
	var kept *finishedAnswer
	defer func() { s.keys.release(e, kept) }()
	if s.KeyRegistry != nil {
		s.KeyRegistry.Announce(c.id.Account, c.id.Key, c.params.Hash)
		defer s.KeyRegistry.Drop(c.id.Account, c.id.Key)
	}
	kept, f = s.run(ctx, w, c)
	return f
}

// lookupTimeout bounds the query that finds out whether the key is running on another node.
// An unreachable node must not delay the request, since the query only prevents unnecessary
// work and is not needed for correctness.
const lookupTimeout = 100 * time.Millisecond

// checkOtherNodes refuses a request whose key is running on another node. Exception: a
// reconnect is allowed, because it takes over the caller's earlier stream from a node that
// has lost the connection to the caller.
func (s *Server) checkOtherNodes(ctx context.Context, c *generationCall) *Failure {
	if s.KeyRegistry == nil || c.id.KeyGenerated || c.resumeFrom != nil {
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

// inProgress returns the refusal of a request whose key is in use. The outcome describes
// the request that is running under the key: that request has been started, so the outcome
// is unknown and not not-run.
func inProgress() *Failure {
	return &Failure{
		Status:     http.StatusConflict,
		Code:       codeInProgress,
		Message:    "a request with this key is running",
		Outcome:    fleet.Unknown,
		RetryAfter: retryInProgress,
	}
}

// acquireKey marks the key as running, or returns the entry of a finished answer. A
// reconnect may find that its own earlier run is still running, because the node has not
// noticed yet that the connection broke. acquireKey then ends the earlier run first: two
// runs would keep taking the engine's stream from each other.
func (s *Server) acquireKey(ctx context.Context, c *generationCall, cancel context.CancelCauseFunc) (*keyEntry, *Failure) {
	name := keyName(c.id.Account, c.id.Key)
	for {
		e, acquired := s.keys.acquire(name, c.params.Hash, cancel)
		if acquired {
			return e, nil
		}
		if e.hash != c.params.Hash {
			return nil, keyReused()
		}
		if s.keys.answer(e) != nil {
			return e, nil
		}
		if c.resumeFrom == nil {
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

func (s *Server) newSink(w http.ResponseWriter, c *generationCall) *streamSink {
	start := cursor.Cursor{
		Request:  c.id.Key,
		Account:  c.id.Account,
		Ref:      c.ref,
		BodyHash: c.params.Hash,
	}
	if c.resumeFrom != nil {
		start = *c.resumeFrom
	}
	sink := newStreamSink(w, s.Sealer, start, c.form)
	sink.http2 = c.http2
	sink.limit = s.KeptAnswerBytes / 4
	// The text before the cursor is known only if the caller sent it. Without that text the
	// answer can't be kept, so the rest of its text isn't collected either.
	if c.resumeFrom != nil && c.params.ResumeText != nil {
		sink.text = []byte(*c.params.ResumeText)
	}
	sink.discardText = c.resumeFrom != nil && c.params.ResumeText == nil
	return sink
}

func (s *Server) run(ctx context.Context, w http.ResponseWriter, c *generationCall) (*finishedAnswer, *Failure) {
	req := s.request(c)
	if c.params.Stream {
		sink := s.newSink(w, c)
		release := sink.abortOn(ctx)
		defer release()
		f := failureOf(s.Runner.Run(ctx, req, sink))
		return s.endStream(sink, f)
	}
	sink := &bufferSink{collector{limit: int(s.AnswerBytes)}}
	f := failureOf(s.Runner.Run(ctx, req, sink))
	if sink.discardText {
		f = &Failure{Status: http.StatusBadGateway, Code: codeAnswerTooLarge, Outcome: fleet.Failed,
			Message: "the answer is larger than this node holds: ask for it streamed"}
	}
	if f != nil {
		return nil, f
	}
	kept := sink.answer()
	s.writeCompletion(w, c, kept)
	return kept, nil
}

func (s *Server) endStream(sink *streamSink, f *Failure) (*finishedAnswer, *Failure) {
	if f == nil {
		sink.writeDone()
		return sink.answer(), nil
	}
	if !sink.started {
		return nil, f
	}
	s.countFailure(f)
	sink.writeFailure(f)
	return nil, nil
}

func (s *Server) request(c *generationCall) generation.Request {
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
	if c.resumeFrom == nil {
		return req
	}
	req.Resume = &generation.ResumePoint{
		Backend:     c.resumeFrom.Backend,
		Incarnation: c.resumeFrom.Incarnation,
		Attempt:     c.resumeFrom.Attempt,
		Offset:      c.resumeFrom.Offset,
		Software:    c.resumeFrom.Software,
	}
	if c.params.ResumeText != nil {
		req.Resume.Text = *c.params.ResumeText
		req.Resume.HaveText = true
	}
	return req
}
