// Package relay forwards requests with an opaque body to the service of their route, and
// gives each request its one final, true answer.
//
// A router that has no configuration yet, or an outdated one, must not report that a route or
// a key doesn't exist: it refuses the request and states after which time the client should
// send the request again. A refusal means that no part of the request ran. The refusal is
// given at once, and only while it is certain that nothing ran; package generation decides
// whether that is certain. A request that ran and whose answer is lost gets a status that
// doesn't state whether it ran (502, or 504 after the deadline), or a broken connection if its
// answer has started. At the route's timeout the final answer is given, even if an attempt is
// still running.
package relay

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/backend"
	"wigeondale/clock"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/route"
)

// Error is the class of this package's errors.
var Error = errs.Class("relay")

// Request is one request as a client sent it.
type Request struct {
	ID            string // as chosen by the client
	Method        string
	Target        string // request target, unchanged
	Path          string // of the target, unchanged
	Host          string
	Header        http.Header // end-to-end headers
	Body          []byte
	Key           string        // API key, if any
	ClientTimeout time.Duration // how long the client waits; 0 if not stated
	// FirstChunk is the number of the first chunk that the client wants of a stream.
	FirstChunk int
	// HasPartialAnswer reports that the client has chunks before FirstChunk from an earlier
	// try.
	HasPartialAnswer bool
	// BeganAs is the id of the client's earlier try that brought the first chunk of its partial
	// answer, or "" if the client doesn't state it.
	BeganAs         string
	PromptTokens    int      // tokens of the prompt, 0 if not stated
	MaxAnswerTokens int      // maximum number of tokens of the answer, 0 if not stated
	LengthHint      int      // client's estimate of the tokens of the answer, 0 if not stated
	PromptParts     []string // ids of the prompt's parts, in order
	Model           string   // model that the request names, empty if it names none
}

// Result states what still has to be sent to the client when a request has ended.
type Result struct {
	// Status is the status of the answer that still has to be sent to the client; 0 if the
	// backend server's answer was delivered.
	Status     int
	RetryAfter time.Duration // with a refusal
	// Broken reports that an answer has started and can't be completed: the connection must be
	// closed in a way that doesn't make the answer look complete.
	Broken bool
}

// Runner runs one request on as many backend servers as needed.
type Runner interface {
	Run(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result
}

// Budgets counts the first tries of requests, by service. The number of retries is limited
// to a share of the first tries.
type Budgets interface {
	First(service string)
}

// Config configures a Relay.
type Config struct {
	Table   *route.Current
	Runner  Runner
	Budgets Budgets
	// StreamMaxWait returns how long a stream waits for a backend server, given the stream's
	// target time. If it is nil, a stream waits for half of the target.
	StreamMaxWait func(target time.Duration) time.Duration
	// OnStreamEnd is called with each stream that has ended; it may be nil.
	OnStreamEnd func(StreamEnd)
	Log         *event.Log
	Set         *metrics.Set
}

// Relay serves requests. It is safe for concurrent use.
type Relay struct {
	cfg       Config
	m         *meters
	startedAt time.Time
}

// New returns a Relay.
func New(cfg Config) *Relay {
	if cfg.Set == nil {
		cfg.Set = metrics.NewSet()
	}
	return &Relay{cfg: cfg, m: newMeters(cfg.Set), startedAt: time.Now()}
}

const (
	// startGrace is how long after its start a Relay lets requests wait for the first
	// configuration. If there is none by then, the store is assumed to be unreachable.
	startGrace = 500 * time.Millisecond
	// startPoll is how often a waiting request checks whether there is a configuration.
	startPoll = 5 * time.Millisecond
	// noConfigRetryAfter is the time after which refused clients are told to send their
	// request again if there is no configuration after startGrace. The store is
	// unreachable then, and a client that sends its request again too soon is refused
	// again.
	noConfigRetryAfter = 2 * time.Second
	// A client is told to send its request again after at most its remaining time divided by
	// retryAfterDivisor. A request that is sent again later could not be served in time any
	// more.
	retryAfterDivisor = 3
)

// Serve runs req to its end. It delivers to sink from the calling goroutine; ctx ends when the
// client disconnects.
func (r *Relay) Serve(ctx context.Context, req *Request, sink generation.Sink) Result {
	startedAt := time.Now()
	table := r.table(ctx)
	if table == nil {
		return r.refuse(req, nil, http.StatusServiceUnavailable, "no configuration yet", noConfigRetryAfter)
	}
	rt, ok := table.Match(req.Host, req.Path)
	if !ok {
		return r.refuse(req, table, http.StatusNotFound, "no route", 0)
	}
	account, known := table.Account(req.Key)
	if !known && !rt.Open && !table.Keyless {
		return r.refuse(req, table, http.StatusUnauthorized, "unknown key", 0)
	}
	j := newJob(req, rt, account, table)
	j.cfg = &r.cfg
	r.cfg.Budgets.First(j.service)
	res := r.cfg.Runner.Run(ctx, j.generation(), sink)
	v := j.result(res)
	r.ended(j, res, v, time.Since(startedAt))
	r.streamEnded(j, res)
	return v
}

// table returns the route table in force, or nil if there is none. Just after the start of
// the router it waits for the first table.
//
// After all routers have crashed and started again, clients send their requests again before
// the routers have read the store. Without the wait, the clients would be told to send their
// requests again two seconds later because of a configuration that is available after a tenth
// of a second. The symptom is refusals for lack of a configuration right after a start.
func (r *Relay) table(ctx context.Context) *route.Table {
	for {
		t := r.cfg.Table.Get()
		if t != nil || time.Since(r.startedAt) > startGrace {
			return t
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(startPoll):
		}
	}
}

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

func newJob(req *Request, rt *route.Route, account *route.Account, table *route.Table) *job {
	j := &job{
		req:     req,
		route:   rt,
		service: rt.Pick(rand.Uint64()),
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
