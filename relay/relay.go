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

	"wigeondale/event"
	"wigeondale/generation"
	"wigeondale/route"
	"wigeondale/stopping"
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
	Protocol        string   // of the client's connection, such as HTTP/1.1
	// Unreadable names a header without which it isn't known what the client asks for, and that can't be read; "" if there is none.
	// ResumeUnreadable does the same for the part of a stream that it asks for.
	Unreadable, ResumeUnreadable string
	// NoStreams reports that the client can't tell a stream that was cut from a whole one.
	NoStreams bool
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
	// RecordedAt returns which of several services has a record of a stream, or "" if none has. It fails if that isn't known. It may be
	// nil.
	RecordedAt func(ctx context.Context, account, beganAs string, services []string) (service string, err error)
	// LearnMoves makes Table know the moves of routes that this process has not seen, if they can be found out. It may be nil.
	LearnMoves func(ctx context.Context)
	// Stop ends what requests wait for shortly before the process ends; nil if the process lets all of them end.
	Stop *stopping.Gate
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
	// unknownServiceRetry is the time to come back for a client whose stream may have begun at another service: a record may arrive.
	unknownServiceRetry = 500 * time.Millisecond
	// A client is told to send its request again after at most its remaining time divided by
	// retryAfterDivisor. A request that is sent again later could not be served in time any
	// more.
	retryAfterDivisor = 3
)

// Serve runs req to its end. It delivers to sink from the calling goroutine; ctx ends when the
// client disconnects.
func (r *Relay) Serve(ctx context.Context, req *Request, sink generation.Sink) Result {
	startedAt := time.Now()
	ctx, done := r.cfg.Stop.UntilEnd(ctx)
	defer done()
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
	if status, reason := unservable(req, rt); status != 0 {
		return r.refuse(req, table, status, reason, 0)
	}
	service, known := r.service(ctx, req, rt, account)
	if !known {
		return r.refuse(req, table, http.StatusServiceUnavailable, "the stream may have begun at another service", unknownServiceRetry)
	}
	j := newJob(req, rt, account, table, service)
	j.cfg = &r.cfg
	r.cfg.Budgets.First(j.service)
	res := r.cfg.Runner.Run(ctx, j.generation(), sink)
	v := j.result(res)
	r.ended(j, res, v, time.Since(startedAt))
	r.streamEnded(j, res)
	return v
}

// unservable returns the status and the reason with which a request is refused that no backend server can serve, or 0.
func unservable(req *Request, rt *route.Route) (status int, reason string) {
	stream := rt.Kind == route.Stream
	switch {
	case req.Unreadable != "":
		return http.StatusBadRequest, "unreadable " + req.Unreadable
	case stream && req.NoStreams:
		return http.StatusUpgradeRequired, "no streams over this protocol"
	case stream && req.ResumeUnreadable != "":
		return http.StatusBadRequest, "unreadable " + req.ResumeUnreadable
	case stream && req.HasPartialAnswer && !rt.Resumable:
		return http.StatusBadRequest, "streams of the route can't be resumed"
	}
	return 0, ""
}

// service returns the service for a request, and false for a stream that is taken up if it may have begun at another one.
func (r *Relay) service(ctx context.Context, req *Request, rt *route.Route, account *route.Account) (service string, known bool) {
	switch {
	case rt.Kind != route.Stream:
		return rt.Pick(rand.Uint64()), true
	case !req.HasPartialAnswer:
		return rt.PickStream(req.ID), true
	}
	o := r.cfg.Table.Origin(rt, req.Host, req.Path, req.BeganAs)
	if o.MovesUnknown && r.cfg.LearnMoves != nil {
		r.cfg.LearnMoves(ctx)
		o = r.cfg.Table.Origin(rt, req.Host, req.Path, req.BeganAs)
	}
	if o.Certain || req.BeganAs == "" || r.cfg.RecordedAt == nil {
		return o.Service, o.Certain
	}
	name := ""
	if account != nil {
		name = account.Name
	}
	recorded, err := r.cfg.RecordedAt(ctx, name, req.BeganAs, append(o.Others, o.Service))
	return recorded, err == nil && recorded != ""
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
