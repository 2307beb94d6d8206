package relay

import (
	"net/http"
	"time"

	"wigeondale/backend"
	"wigeondale/clock"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/route"
)

// job is one request with everything that was decided about it at its start.
type job struct {
	cfg      *Config
	req      *Request
	route    *route.Route
	service  string
	engine   route.Service
	account  string
	urgency  int // level among the requests of the service
	stated   int // the configured priority
	version  int64
	timeout  time.Duration
	deadline clock.Deadline
}

func newJob(req *Request, rt *route.Route, account *route.Account, table *route.Table, service string) *job {
	j := &job{
		req:     req,
		route:   rt,
		service: service,
		stated:  rt.StatedPriority,
		version: table.Version,
		timeout: timeoutOf(req, rt),
	}
	j.engine = table.Service(j.service)
	if account != nil {
		j.account = account.Name
		if account.HasPriority {
			j.stated = account.StatedPriority
		}
	}
	j.urgency = table.Level(j.service, account, rt)
	if j.timeout > 0 {
		j.deadline = clock.DeadlineIn(j.timeout)
	}
	return j
}

// timeoutOf returns the shorter of the client's and the route's timeout. A timeout of 0 or
// less means no limit.
func timeoutOf(req *Request, rt *route.Route) time.Duration {
	switch {
	case req.ClientTimeout <= 0:
		return rt.Timeout
	case rt.Timeout <= 0:
		return req.ClientTimeout
	}
	return min(req.ClientTimeout, rt.Timeout)
}

// age estimates how long ago the client sent the request for the first time. The estimate
// is the route's timeout minus the client's remaining time, since it assumes that clients
// wait for about as long as the route allows. If the client or the route has no timeout,
// the estimate is 0. The estimate is used only to order waiting requests, since a client
// may have set a shorter timeout from the start.
func (j *job) age() time.Duration {
	if j.req.ClientTimeout <= 0 || j.route.Timeout <= 0 {
		return 0
	}
	return max(j.route.Timeout-j.req.ClientTimeout, 0)
}

// maxWait returns how long a request waits for a backend server. An answer is late if it comes
// after the route's target time. By default a request waits for half of this time, since the
// other half is needed to run the request. For streams, the configuration may set another
// time.
func (j *job) maxWait() time.Duration {
	if j.route.Kind == route.Stream && j.cfg.StreamMaxWait != nil {
		return j.cfg.StreamMaxWait(j.route.Target)
	}
	return j.route.Target / 2
}

func (j *job) generation() generation.Request {
	req := generation.Request{
		ID:            j.req.ID,
		Account:       j.account,
		Priority:      fleet.Batch,
		NonIdempotent: !j.route.Replayable(),
		Opaque: &generation.Opaque{
			Opaque: &backend.Opaque{
				Method:         j.req.Method,
				Target:         j.req.Target,
				Host:           j.req.Host,
				Header:         j.req.Header,
				Body:           j.req.Body,
				Route:          j.route.Name,
				Account:        j.account,
				Streaming:      j.route.Kind == route.Stream,
				Resumable:      j.route.Replayable(),
				Deadline:       j.deadline,
				Urgency:        j.urgency,
				StatedPriority: j.stated,
			},
			Service:          j.service,
			ConfigVersion:    j.version,
			FirstChunk:       j.req.FirstChunk,
			PromptTokens:     j.req.PromptTokens,
			MaxAnswerTokens:  j.req.MaxAnswerTokens,
			LengthHint:       j.req.LengthHint,
			PromptParts:      j.req.PromptParts,
			Model:            j.req.Model,
			HasPartialAnswer: j.req.HasPartialAnswer,
			BeganAs:          j.req.BeganAs,
			MaxAttempts:      max(j.route.MaxAttempts, 1),
			MaxWait:          j.maxWait(),
			FirstChunkTarget: j.route.Target,
			SinceFirstTry:    j.age(),
			Copies:           j.copying(),
		},
	}
	if j.route.Kind != route.Stream {
		req.Priority = fleet.Interactive
	}
	if j.timeout > 0 {
		req.Deadline = time.Now().Add(j.timeout)
	}
	return req
}

// copying returns which copies of the run are made. Only a run that may be continued elsewhere
// needs copies.
func (j *job) copying() generation.Copying {
	if j.route.Kind != route.Stream || !j.route.Resumable {
		return generation.Copying{}
	}
	return generation.Copying{KeptUpToDate: j.engine.KeepsCopies, OnDemand: j.engine.MakesCopies}
}

// result derives from the outcome of a run what still has to be sent to the client.
func (j *job) result(res generation.Result) Result {
	switch {
	case res.Outcome == fleet.Complete:
		return Result{}
	case res.Tokens > 0:
		return Result{Broken: true}
	case res.Code == generation.CodeQuarantined, res.Code == generation.CodePartQuarantined:
		return Result{Status: http.StatusInternalServerError}
	case res.Outcome == fleet.NotRun:
		return Result{Status: http.StatusServiceUnavailable, RetryAfter: j.retryAfter(res.RetryAfter)}
	case j.deadline.Passed():
		return Result{Status: http.StatusGatewayTimeout}
	}
	return Result{Status: http.StatusBadGateway}
}

// retryAfter limits the time after which the client is advised to send the request again
// to a third of the client's remaining time, for the reason stated at retryAfterDivisor.
func (j *job) retryAfter(advice time.Duration) time.Duration {
	if j.req.ClientTimeout <= 0 {
		return advice
	}
	left := j.deadline.Remaining() + j.req.ClientTimeout - j.timeout
	return max(min(advice, left/retryAfterDivisor), 0)
}
