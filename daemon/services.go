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
	servicePool   = "service/" // begins the names of services' pools
	serviceTries  = 3
	serviceCost   = 1 // tokens charged to the account for a plain call
	codeNoReplica = "no_replica"
	codeDuplicate = "duplicate_key"
	codeLost      = "connection_lost"
	codeDeadline  = "deadline"
	// unknownWait is told when nobody knows whether a call ran: asking again
	// under the same key is safe, and tells nothing new sooner.
	unknownWait = 5 * time.Second
)

// services passes plain calls to backend servers.
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

// Do claims the call when it is not idempotent, sends it, and repeats it at
// another backend server only when that is safe.
func (s *services) Do(ctx context.Context, call callerapi.ServiceCall) (*http.Response, error) {
	release, err := s.admit.Admit(ctx, admission.Ticket{
		Account: call.Account, Pool: servicePool + call.Service,
		Priority: call.Priority, Cost: serviceCost, Deadline: call.Deadline,
	})
	if err != nil {
		return nil, refusal(0, refusedBy(err)) // its code has a status
	}
	defer release(serviceCost)
	if call.Idempotent {
		return s.send(ctx, call, serviceTries)
	}
	return s.once(ctx, call)
}

// once claims the key and sends the call a single time.
func (s *services) once(ctx context.Context, call callerapi.ServiceCall) (*http.Response, error) {
	attempt := s.node + "/" + strconv.FormatUint(s.seq.Add(1), 10)
	granted, err := s.claims.Claim(ctx, call.Account, call.Key, call.BodyHash, attempt)
	if errors.Is(err, once.ErrKeyReused) {
		return nil, &callerapi.Failure{Status: http.StatusUnprocessableEntity, Code: "key_reused",
			Message: "this key was used with another body", Outcome: fleet.NotRun}
	}
	if err != nil {
		return nil, refusal(http.StatusServiceUnavailable, err)
	}
	if !granted {
		return nil, &callerapi.Failure{Status: http.StatusConflict, Code: codeDuplicate,
			Message: "this key is claimed by an earlier request", Outcome: fleet.Unknown, RetryAfter: unknownWait}
	}
	// The process may have been frozen while the claim was under way.
	if once.CheckDeadline(ctx) != nil || expired(call.Deadline) {
		s.void(call, attempt)
		return nil, &callerapi.Failure{Status: http.StatusGatewayTimeout, Code: codeDeadline,
			Message: "the deadline passed before the call was sent", Outcome: fleet.NotRun, RetryAfter: replicaWait}
	}
	resp, err := s.send(ctx, call, 1)
	if f, ok := errors.AsType[*callerapi.Failure](err); ok && f.Outcome == fleet.NotRun {
		s.void(call, attempt)
	}
	return resp, err
}

func (s *services) void(call callerapi.ServiceCall, attempt string) {
	// A claim that can't be voided leaves the key used: safe, if unkind.
	_ = s.claims.VoidAsync(call.Account, call.Key, attempt)
}

func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// serviceOf is the service whose pool it is.
func serviceOf(pool string) (name string, ok bool) { return strings.CutPrefix(pool, servicePool) }

// send tries up to tries backend servers. A call of which a byte may have left
// is repeated only if it is idempotent, and within the retry budget.
func (s *services) send(ctx context.Context, call callerapi.ServiceCall, tries int) (*http.Response, error) {
	tried := &triedSet{}
	s.retry.First()
	followed := s.guard.Track(quarantine.Subject{
		Account: call.Account, Method: call.Method, Host: call.Service, Target: call.Path + "?" + call.Query, Body: call.Body,
	})
	for n := 1; ; n++ {
		if followed.Refusal(ctx) != nil {
			return nil, held()
		}
		resp, err := s.try(ctx, call, tried, followed)
		if err == nil {
			return resp, nil
		}
		_, none := errors.AsType[*generation.Unavailable](err)
		if none || n >= tries || ctx.Err() != nil || !s.retry.Take() {
			return nil, tried.failure(call, err)
		}
	}
}

// try sends the call, with a second try beside the first if that is late and
// the call may be repeated.
func (s *services) try(ctx context.Context, call callerapi.ServiceCall, tried *triedSet, followed *quarantine.Submission) (*http.Response, error) {
	resp, release, err := hedge.Do(ctx, s.hedge, hedge.Call[*http.Response]{
		Pool:       call.Service,
		Idempotent: call.Idempotent,
		HasOther: func() bool {
			return !followed.Suspected() && len(s.pick.dir.Service(call.Service)) > tried.len()
		},
		Try: func(one context.Context, second bool) (*http.Response, error) {
			resp, err := s.tryOne(one, call, tried, followed, second)
			tried.note(err)
			return resp, err
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
	ctx context.Context, call callerapi.ServiceCall, tried *triedSet, followed *quarantine.Submission, second bool,
) (*http.Response, error) {
	b, share, err := s.pick.service(call.Service, tried.all())
	if err != nil {
		return nil, err
	}
	defer share.End()
	tried.add(b.ID)
	began := time.Now()
	resp, err := s.client.Do(ctx, b, toBackend(call))
	s.judge(ctx, b.ID, err, second)
	if err == nil {
		followed.Answered()
	} else if ctx.Err() == nil && !errors.Is(err, backend.ErrNotSent) {
		followed.AwaitExamination(ctx, followed.Lost(quarantine.Loss{Backend: b, Ran: time.Since(began), Cause: err.Error()}))
	}
	return resp, err
}

// held is the final answer of a call under which backend servers crashed.
func held() *callerapi.Failure {
	return &callerapi.Failure{Status: http.StatusInternalServerError, Code: generation.CodeQuarantined,
		Message: "backend servers crashed under this call: it is not sent on", Outcome: fleet.Failed}
}

// judge reports how a try ended. One that ran into the caller's deadline tells
// something of its backend server, and so, weakly, does a first try that lost
// against a second sent long after it. A second try that lost had less time,
// and one that its caller gave up tells nothing.
func (s *services) judge(ctx context.Context, id string, err error, second bool) {
	cause := context.Cause(ctx)
	switch {
	case err != nil && errors.Is(cause, hedge.ErrOtherAnswered):
		if !second {
			s.mon.Late(id)
		}
	case !errors.Is(cause, context.Canceled):
		s.mon.Result(id, err)
	}
}

// releasingBody ends the winning try's context when the answer was read.
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

// lost says what is known of a call whose answer did not come.
func lost(call callerapi.ServiceCall, err error) *callerapi.Failure {
	f := &callerapi.Failure{Status: http.StatusBadGateway, Code: codeLost,
		Message: "the connection to the backend server broke", Outcome: fleet.Unknown, RetryAfter: unknownWait}
	switch {
	case errors.Is(err, backend.ErrNotSent):
		f.Status, f.Code = http.StatusServiceUnavailable, codeNoReplica
		f.Message, f.Outcome, f.RetryAfter = "no backend server could be reached", fleet.NotRun, replicaWait
	case expired(call.Deadline):
		f.Status, f.Code = http.StatusGatewayTimeout, codeDeadline
		f.Message = "the deadline passed before the answer came"
	}
	return f
}

// refusal turns a reason for which nothing was sent into the caller's answer.
func refusal(status int, err error) *callerapi.Failure {
	f := &callerapi.Failure{Status: status, Code: codeNoReplica, Message: err.Error(), Outcome: fleet.NotRun, RetryAfter: replicaWait}
	if u, ok := errors.AsType[*generation.Unavailable](err); ok {
		f.RetryAfter = max(u.RetryAfter, time.Millisecond)
		if u.Code != "" {
			f.Code = u.Code
		}
	}
	return f
}
