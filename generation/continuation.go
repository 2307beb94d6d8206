package generation

import (
	"errors"
	"net/http"

	"wigeondale/backend"
	"wigeondale/event"
)

// An answer that is valid as a first one may be invalid behind a part of a stream: its text would become part of the stream, and its end
// would count as the end of the stream. A client resumes a stream that is broken off, but not one that ends as complete. Therefore an answer
// continues a stream only if it has the same form, and ends it only if its attempt has delivered a chunk of the rest.

var (
	errOtherForm = errors.New("the answer is no continuation of the stream")
	errNoChunk   = errors.New("the answer ended without a chunk, which doesn't prove that the stream is complete")
)

// formBefore returns the form of the answer of which the caller has a part before the run begins, or nil if it has none. A router of a build
// that doesn't state the form has delivered a part if the answer began as this request.
func formBefore(req *Request) *backend.Form {
	o := req.Opaque
	if o.Form == nil && req.Forwarded && o.HasPartialAnswer && o.BeganAs == req.ID {
		return &backend.Form{Status: http.StatusOK}
	}
	return o.Form
}

// joins reports whether the next chunk is joined to chunks that the caller has from this answer, also through the router that passed the
// request on.
func (x *run) joins() bool { return x.form != nil }

// checkHead returns an error if the answer with the given head can't go on with the stream of which the caller has a part.
func (x *run) checkHead(head *backend.Head) error {
	switch {
	case head == nil || x.req.Opaque == nil:
		return nil // the chunks of such an answer name what they belong to
	case x.joins():
		form, typed := head.Form(), *x.form
		if typed.MediaType == "" {
			typed.MediaType = backend.EventStream // a stream has no other type
		}
		if form != *x.form && form != typed {
			return Error.New("%w: %w: %v after %v", backend.ErrMismatch, errOtherForm, form, *x.form)
		}
	case x.req.Opaque.Streaming && x.req.Opaque.HasPartialAnswer:
		// The client sees any other status. What it has is known to be a stream of events.
		if form := head.Form(); form.Status == http.StatusOK && form.MediaType != "" && form.MediaType != backend.EventStream {
			return Error.New("%w: %w: %v", backend.ErrMismatch, errOtherForm, form)
		}
	}
	return nil
}

// recordDelivery records that the caller gets a chunk, and the form of the stream if it is the first one.
func (x *run) recordDelivery(a *attempt) {
	x.endStated = false
	head := a.stream.Head()
	if x.joins() || head == nil || x.req.Opaque == nil {
		return
	}
	form := head.Form()
	x.form = &form
}

// unprovenEnd returns an error if the end of the answer of a doesn't prove that the stream is complete. An answer without a chunk does if
// the attempt before it broke off behind the end of its body. If a client has taken a stream up, two such answers do, or one if no other
// backend server can be asked.
func (x *run) unprovenEnd(a *attempt) error {
	o := x.req.Opaque
	if err := x.unconfirmedEnd(a); err != nil || o == nil || !o.Streaming || a.accepted > 0 || x.endStated {
		return err
	}
	asksAnother := o.HasPartialAnswer && !a.forwarded && x.emptyAnswer == nil
	if !x.joins() && !asksAnother {
		return nil
	}
	if !x.joins() {
		x.emptyAnswer = a.stream.Head()
	}
	return Error.New("%w: %w", backend.ErrBroken, errNoChunk)
}

// recordUnusable records an answer of a sound backend server that can't be used. Another attempt follows.
func (x *run) recordUnusable(a *attempt, cause string, err error) string {
	x.waitErr = err
	if !a.forwarded {
		x.Watcher.Result(a.backend.ID, nil)
	}
	x.current = a
	x.logLoss(a, cause, err)
	a.closeReader()
	return "lost"
}

// deliverEmptyAnswer delivers the head of an answer without chunks to a client that has taken a stream up.
func (x *run) deliverEmptyAnswer() string {
	x.replaceKept()
	x.detach()
	if err := x.sink.Begin(Position{Attempt: x.attemptNumber}, x.emptyAnswer); err != nil {
		return x.callerDisconnected(err)
	}
	return "kept-answer"
}

// logContinues logs which answer goes on with an opaque answer of which the caller has a part.
func (x *run) logContinues(a *attempt, head *backend.Head) {
	if o := x.req.Opaque; o == nil || head == nil || !x.joins() && !o.HasPartialAnswer {
		return
	}
	x.opts.Log.Emit(event.AnswerContinues, "request", x.req.ID, "attempt", a.origin.Attempt, "backend", a.origin.Backend,
		"status", head.Status, "type", head.Header.Get("Content-Type"), "from", x.filter.next)
}

// checkChunk returns an error if a chunk of a can't be joined to the part of the stream that the caller has.
func (x *run) checkChunk(a *attempt, t backend.Token) error {
	if !x.joins() {
		return nil
	}
	if t.Finish != "" {
		return Error.New("%w: %w: a complete answer", backend.ErrMismatch, errOtherForm)
	}
	if head := a.stream.Head(); head != a.checkedHead {
		if err := x.checkHead(head); err != nil {
			return err
		}
		a.checkedHead = head
	}
	return nil
}
