package daemon

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"wigeondale/admission"
	"wigeondale/backend"
	"wigeondale/callerapi"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/hedge"
	"wigeondale/once"
	"wigeondale/placement"
	"wigeondale/quarantine"
)

const (
	servicePoolPrefix = "service/" // prefix of the pool names of services
	serviceTries      = 3
	serviceCost       = 1 // tokens charged to the account for a call
	codeNoReplica     = "no_replica"
	codeDuplicate     = "duplicate_key"
	codeLost          = "connection_lost"
	codeDeadline      = "deadline"
	// unknownRetryAfter is the Retry-After of a response which says that it is unknown
	// whether a call ran. Repeating the call under the same key is safe, but a call that is
	// repeated earlier would get the same response.
	unknownRetryAfter = 5 * time.Second
)

// services sends calls to services that are not model engines.
type services struct {
	node   string
	admit  *admission.Controller
	claims claims
	pick   *picker
	client *backend.ServiceClient
	retry  *admission.RetryBudget
	hedge  *hedge.Hedger
	mon    placement.Watcher
	guard  *quarantine.Guard
	seq    atomic.Uint64
}

// Do sends the call. It claims the key of a call that is not idempotent, and repeats a
// call at another backend server only if that is safe.
func (s *services) Do(ctx context.Context, call callerapi.ServiceCall) (*http.Response, error) {
	release, err := s.admit.Admit(ctx, admission.Ticket{
		Account: call.Account, Pool: servicePoolPrefix + call.Service,
		Priority: call.Priority, Cost: serviceCost, Deadline: call.Deadline,
	})
	if err != nil {
		return nil, refusalFailure(0, toUnavailable(err)) // callerapi sets the status that belongs to the code
	}
	defer release(serviceCost)
	if call.Idempotent {
		return s.send(ctx, call, serviceTries)
	}
	return s.sendOnce(ctx, call)
}

// sendOnce claims the key and sends the call a single time.
func (s *services) sendOnce(ctx context.Context, call callerapi.ServiceCall) (*http.Response, error) {
	attempt := s.node + "/" + strconv.FormatUint(s.seq.Add(1), 10)
	granted, err := s.claims.Claim(ctx, call.Account, call.Key, call.BodyHash, attempt)
	if errors.Is(err, once.ErrKeyReused) {
		return nil, &callerapi.Failure{Status: http.StatusUnprocessableEntity, Code: "key_reused",
			Message: "this key was used with another body", Outcome: fleet.NotRun}
	}
	if err != nil {
		return nil, refusalFailure(http.StatusServiceUnavailable, err)
	}
	if !granted {
		return nil, &callerapi.Failure{Status: http.StatusConflict, Code: codeDuplicate,
			Message: "this key is claimed by an earlier request", Outcome: fleet.Unknown, RetryAfter: unknownRetryAfter}
	}
	// The deadlines are checked again, since the process may have been stopped while the
	// claim was in progress. A call whose deadline has passed must not be sent.
	if once.CheckDeadline(ctx) != nil || expired(call.Deadline) {
		s.voidClaim(call, attempt)
		return nil, &callerapi.Failure{Status: http.StatusGatewayTimeout, Code: codeDeadline,
			Message: "the deadline passed before the call was sent", Outcome: fleet.NotRun, RetryAfter: replicaRetryAfter}
	}
	resp, err := s.send(ctx, call, 1)
	if f, ok := errors.AsType[*callerapi.Failure](err); ok && f.Outcome == fleet.NotRun {
		s.voidClaim(call, attempt)
	}
	return resp, err
}

func (s *services) voidClaim(call callerapi.ServiceCall, attempt string) {
	// If voiding fails, the key stays used. The call then still never runs twice, but the
	// caller can't repeat it under the same key.
	_ = s.claims.VoidAsync(call.Account, call.Key, attempt)
}

func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// serviceOf returns the name of the service that a pool belongs to. ok is false if the pool
// is one of a model.
func serviceOf(pool string) (name string, ok bool) { return strings.CutPrefix(pool, servicePoolPrefix) }

// send sends the call to one backend server after another, up to tries in all, until one
// answers. A call of which any byte may have been sent is repeated only if it is idempotent
// and the retry budget allows it.
func (s *services) send(ctx context.Context, call callerapi.ServiceCall, tries int) (*http.Response, error) {
	tried := &triedSet{}
	s.retry.First()
	submission := s.guard.Track(quarantine.Subject{
		Account: call.Account, Method: call.Method, Host: call.Service, Target: call.Path + "?" + call.Query, Body: call.Body,
	})
	for n := 1; ; n++ {
		if submission.Refusal(ctx) != nil {
			return nil, quarantinedFailure()
		}
		resp, err := s.try(ctx, call, tried, submission)
		if err == nil {
			return resp, nil
		}
		_, noReplica := errors.AsType[*generation.Unavailable](err)
		if errors.Is(err, backend.ErrWithheld) && ctx.Err() == nil {
			n-- // nothing was sent; the backend server is not chosen again
			continue
		}
		if noReplica || n >= tries || ctx.Err() != nil || !s.retry.Take() {
			return nil, tried.failure(call, err)
		}
	}
}

// try sends the call, and hedges it with a second try if the first is slow and the call
// may be repeated.
func (s *services) try(ctx context.Context, call callerapi.ServiceCall, tried *triedSet, submission *quarantine.Submission) (*http.Response, error) {
	resp, release, err := hedge.Do(ctx, s.hedge, hedge.Call[*http.Response]{
		Pool:       call.Service,
		Idempotent: call.Idempotent,
		HasOther: func() bool {
			return !submission.Suspected() && len(s.pick.dir.Service(call.Service)) > tried.len()
		},
		Try: func(tryCtx context.Context, second bool) (*http.Response, error) {
			return s.tryOne(tryCtx, call, tried, submission, second)
		},
		Discard: func(resp *http.Response) { resp.Body.Close() },
	})
	if err != nil {
		return nil, err
	}
	resp.Body = &releasingBody{resp.Body, release}
	return resp, nil
}

func (s *services) tryOne(
	ctx context.Context, call callerapi.ServiceCall, tried *triedSet, submission *quarantine.Submission, second bool,
) (*http.Response, error) {
	b, share, err := s.pick.service(call.Service, tried.all())
	if err != nil {
		return nil, err
	}
	defer share.End()
	tried.sending(b.ID)
	sentAt := time.Now()
	resp, err := s.client.Do(ctx, b, toBackend(call))
	if err == nil {
		resp.Body = &reportedBody{WatchedBody: backend.WatchBody(resp.Body), report: func(err error) { s.mon.Result(b.ID, err) }}
		submission.Answered(0)
		return resp, nil
	}
	tried.settle(err)
	s.reportResult(ctx, b.ID, err, second)
	if ctx.Err() == nil && !errors.Is(err, backend.ErrNotSent) {
		submission.AwaitExamination(ctx, submission.Lost(quarantine.Loss{Backend: b, Ran: time.Since(sentAt), Cause: err.Error()}))
	}
	return resp, err
}

// quarantinedFailure is the final response to a call that is quarantined because backend
// servers crashed while they ran it.
func quarantinedFailure() *callerapi.Failure {
	return &callerapi.Failure{Status: http.StatusInternalServerError, Code: generation.CodeQuarantined,
		Message: "backend servers crashed under this call: it is not sent on", Outcome: fleet.Failed}
}

// reportResult reports the result of a try without an answer to the failure detector. A try that ran into the
// caller's deadline counts against its backend server. So does, with less weight, a first
// try that lost to a second try sent long after it. Nothing is reported for a second try
// that lost, since it had less time, nor for a try that the caller cancelled: neither shows
// that the backend server is slow or faulty.
func (s *services) reportResult(ctx context.Context, id string, err error, second bool) {
	cause := context.Cause(ctx)
	switch {
	case errors.Is(err, backend.ErrWithheld):
		// Nothing was sent, and nothing shows that the backend server is sick.
	case err != nil && errors.Is(cause, hedge.ErrOtherAnswered):
		if !second {
			s.mon.Late(id)
		}
	case !errors.Is(cause, context.Canceled):
		s.mon.Result(id, err)
	}
}

// releasingBody is the response body of the winning try. Closing it calls release, which
// ends the context of that try.
type releasingBody struct {
	io.ReadCloser
	release func()
}

func (b *releasingBody) Close() error {
	err := b.ReadCloser.Close()
	b.release()
	return err
}

func toBackend(call callerapi.ServiceCall) backend.Call {
	return backend.Call{
		Method:     call.Method,
		Path:       "/" + call.Path,
		RawQuery:   call.Query,
		Header:     call.Header,
		Body:       call.Body,
		RequestID:  call.RequestID,
		Idempotent: call.Idempotent,
	}
}

// lostFailure returns the answer to a call that got no answer from its backend server, which may have run it.
func lostFailure(call callerapi.ServiceCall) *callerapi.Failure {
	f := &callerapi.Failure{Status: http.StatusBadGateway, Code: codeLost,
		Message: "the connection to the backend server broke", Outcome: fleet.Unknown, RetryAfter: unknownRetryAfter}
	if expired(call.Deadline) {
		f.Status, f.Code = http.StatusGatewayTimeout, codeDeadline
		f.Message = "the deadline passed before the answer came"
	}
	return f
}

// unreachableFailure returns the answer to a call of which no byte was sent.
func unreachableFailure() *callerapi.Failure {
	return &callerapi.Failure{Status: http.StatusServiceUnavailable, Code: codeNoReplica,
		Message: "no backend server could be reached", Outcome: fleet.NotRun, RetryAfter: replicaRetryAfter}
}

// refusalFailure returns the answer to a call that was not sent, for the reason in err.
func refusalFailure(status int, err error) *callerapi.Failure {
	f := &callerapi.Failure{Status: status, Code: codeNoReplica, Message: err.Error(), Outcome: fleet.NotRun, RetryAfter: replicaRetryAfter}
	if u, ok := errors.AsType[*generation.Unavailable](err); ok {
		f.RetryAfter = max(u.RetryAfter, time.Millisecond)
		if u.Code != "" {
			f.Code = u.Code
		}
	}
	return f
}
