// Package relay passes requests with an opaque body to the service of their
// route, and gives each its one final, true answer.
//
// Failure stories. A router that does not know its configuration yet, or knows
// an old one, must not say that a route or a key doesn't exist: it refuses with
// the time to come back. A refusal says that nothing ran; it is given at once,
// and only while that is true (package generation decides it). A request that
// ran and whose answer is lost gets an answer that promises nothing. At the
// route's timeout the final answer is given, whatever is under way.
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
	ID            string // as the client chose it
	Method        string
	Target        string // request target, unchanged
	Path          string // of the target, unchanged
	Host          string
	Header        http.Header // end-to-end headers
	Body          []byte
	Key           string        // API key, if any
	ClientTimeout time.Duration // how long the client waits; 0 when it did not say
	// FirstChunk is the number of the first piece that the client wants of a stream.
	FirstChunk int
	// HasPartialAnswer tells that the client has pieces before First from an earlier try.
	HasPartialAnswer bool
	PromptTokens     int      // tokens of the prompt, 0 when not stated
	MaxAnswerTokens  int      // most tokens of the answer, 0 when not stated
	PromptParts      []string // ids of the prompt's parts, in order
}

// Result is how a request ended.
type Result struct {
	// Status of the answer that the client still has to be given; 0 when the
	// backend server's answer was delivered.
	Status     int
	RetryAfter time.Duration // with a refusal
	// Broken tells that an answer has begun and can't be completed: the
	// connection must end so that the answer does not look whole.
	Broken bool
}

// Runner carries one request over as many backend servers as it takes.
type Runner interface {
	Run(ctx context.Context, req generation.Request, sink generation.Sink) generation.Result
}

// Budgets count first tries, of which a share may be tried again.
type Budgets interface {
	First(service string)
}

// Config of a Relay.
type Config struct {
	Table   *route.Current
	Runner  Runner
	Budgets Budgets
	// StreamMaxWait says how long a stream waits for a backend server, by its target; nil for
	// half of it.
	StreamMaxWait func(target time.Duration) time.Duration
	Log           *event.Log
	Set           *metrics.Set
}

// Relay serves requests. It may be shared by goroutines.
type Relay struct {
	cfg   Config
	m     *meters
	began time.Time
}

// New returns a Relay.
func New(cfg Config) *Relay {
	if cfg.Set == nil {
		cfg.Set = metrics.NewSet()
	}
	return &Relay{cfg: cfg, m: newMeters(cfg.Set), began: time.Now()}
}

const (
	// startGrace is how long after its begin a Relay has requests wait for the first
	// configuration. One that is not there by then means that the store is away.
	startGrace = 500 * time.Millisecond
	// startPoll is how often it looks meanwhile.
	startPoll = 5 * time.Millisecond
	// unknownRetry is told while no configuration is known after that: the store is away,
	// and a client that comes back too soon is refused once more.
	unknownRetry = 2 * time.Second
	// retryShare is the largest part of a client's remaining time that it is
	// told to wait: later it could not be served any more.
	retryShare = 3
)

// Serve carries req to its end. It delivers to sink from the calling goroutine;
// ctx ends when the client is gone.
func (r *Relay) Serve(ctx context.Context, req *Request, sink generation.Sink) Result {
	began := time.Now()
	table := r.table(ctx)
	if table == nil {
		return r.refuse(req, nil, http.StatusServiceUnavailable, "no configuration yet", unknownRetry)
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
	v := j.verdict(res)
	r.ended(j, res, v, time.Since(began))
	return v
}

// table is the one in force, nil if none is known. Just after the start it waits for the first.
//
// What goes wrong without it: all routers are killed, and clients are back before the
// routers have read the store. They are told that the store is away and come back two
// seconds later, for what is there in a tenth of a second. It shows as refusals for want
// of a configuration right after a start.
func (r *Relay) table(ctx context.Context) *route.Table {
	for {
		t := r.cfg.Table.Get()
		if t != nil || time.Since(r.began) > startGrace {
			return t
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(startPoll):
		}
	}
}

// job is one request with all that was decided about it at its begin.
type job struct {
	cfg      *Config
	req      *Request
	route    *route.Route
	service  string
	engine   route.Service
	account  string
	priority int
	version  int64
	timeout  time.Duration
	deadline clock.Deadline
}

func newJob(req *Request, rt *route.Route, account *route.Account, table *route.Table) *job {
	j := &job{
		req:      req,
		route:    rt,
		service:  rt.Pick(rand.Uint64()),
		priority: rt.Priority,
		version:  table.Version,
		timeout:  timeoutOf(req, rt),
	}
	j.engine = table.Service(j.service)
	if account != nil {
		j.account = account.Name
		if account.HasPriority {
			j.priority = account.Priority
		}
	}
	if j.timeout > 0 {
		j.deadline = clock.DeadlineIn(j.timeout)
	}
	return j
}

// timeoutOf is the shorter of what the client waits and what the route allows.
func timeoutOf(req *Request, rt *route.Route) time.Duration {
	switch {
	case req.ClientTimeout <= 0:
		return rt.Timeout
	case rt.Timeout <= 0:
		return req.ClientTimeout
	}
	return min(req.ClientTimeout, rt.Timeout)
}

// age is how long ago the client tried first, as far as what is left of its time tells:
// clients wait for about as long as the route allows. It orders requests that wait, and
// decides nothing else, since a client may wait for less from the begin.
func (j *job) age() time.Duration {
	if j.req.ClientTimeout <= 0 || j.route.Timeout <= 0 {
		return 0
	}
	return max(j.route.Timeout-j.req.ClientTimeout, 0)
}

// patience is how long a request waits for a backend server: half of the time until its
// answer is late, since the rest is needed for its work, or as the relay is told.
func (j *job) patience() time.Duration {
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
				Method:    j.req.Method,
				Target:    j.req.Target,
				Host:      j.req.Host,
				Header:    j.req.Header,
				Body:      j.req.Body,
				Route:     j.route.Name,
				Account:   j.account,
				Streaming: j.route.Kind == route.Stream,
				Resumable: j.route.Replayable(),
				Deadline:  j.deadline,
				Urgency:   j.priority,
			},
			Service:          j.service,
			FirstChunk:       j.req.FirstChunk,
			PromptTokens:     j.req.PromptTokens,
			MaxAnswerTokens:  j.req.MaxAnswerTokens,
			PromptParts:      j.req.PromptParts,
			HasPartialAnswer: j.req.HasPartialAnswer,
			MaxAttempts:      max(j.route.MaxAttempts, 1),
			MaxWait:          j.patience(),
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

// copying is what is done about copies: only a run that may go on elsewhere needs one.
func (j *job) copying() generation.Copying {
	if j.route.Kind != route.Stream || !j.route.Resumable {
		return generation.Copying{}
	}
	return generation.Copying{KeptUpToDate: j.engine.KeepsCopies, OnDemand: j.engine.MakesCopies}
}

// verdict turns the outcome into what the client is still to be told.
func (j *job) verdict(res generation.Result) Result {
	switch {
	case res.Outcome == fleet.Complete:
		return Result{}
	case res.Tokens > 0:
		return Result{Broken: true}
	case res.Code == generation.CodeQuarantined:
		return Result{Status: http.StatusInternalServerError}
	case res.Outcome == fleet.NotRun:
		return Result{Status: http.StatusServiceUnavailable, RetryAfter: j.retryAfter(res.RetryAfter)}
	case j.deadline.Passed():
		return Result{Status: http.StatusGatewayTimeout}
	}
	return Result{Status: http.StatusBadGateway}
}

// retryAfter keeps the advice within what is left to the client.
func (j *job) retryAfter(advice time.Duration) time.Duration {
	if j.req.ClientTimeout <= 0 {
		return advice
	}
	left := j.deadline.Remaining() + j.req.ClientTimeout - j.timeout
	return max(min(advice, left/retryShare), 0)
}
