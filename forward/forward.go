// Package forward passes requests on from a router that is cut off from the backend servers to a
// router that reaches them, and runs the requests that other routers pass on.
//
// Callers go on to use a router that has lost its links to the backend servers. Without this
// package such a router could only refuse their requests, although the other routers could serve
// them.
//
// A request passes through two routers at most: a router runs a request that was passed on to it or
// answers at once that it does not. Both routers guarantee what package generation guarantees: a request
// has run unless the router that it was passed on to states that it has not. If the stream between
// them is lost, only a request that may run again is sent once more. When the caller leaves, or the
// first router ends, the stream closes, and with it ends the run.
package forward

import (
	"cmp"
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/zeebo/errs"

	"wigeondale/backend"
	"wigeondale/bounded"
	"wigeondale/event"
	"wigeondale/fleet"
	"wigeondale/generation"
)

// Error is the class of this package's errors.
var Error = errs.Class("forward")

const (
	// maxRouters is the number of routers that are asked to take a request.
	maxRouters = 3
	// aliveInterval is how often a router states that it works on a request, and aliveTimeout
	// the time without any message after which the stream counts as lost. A process that is
	// paused for a second is no reason to run its requests again.
	aliveInterval = 300 * time.Millisecond
	aliveTimeout  = 2500 * time.Millisecond
	// refusedRetryAfter is the time to come back of a request that no router takes.
	refusedRetryAfter = 600 * time.Millisecond
	// sendTimeout bounds the time to send a request to the other router.
	sendTimeout = 2 * time.Second
)

// Conn is a stream to another router, implemented by *peer.Stream.
type Conn interface {
	Send(ctx context.Context, v any) error
	SendBytes(ctx context.Context, b []byte) error
	Receive(ctx context.Context, timeout time.Duration, v any) error
	ReceiveBytes(ctx context.Context, timeout time.Duration) ([]byte, error)
	Close()
}

// Config configures a Forwarder.
type Config struct {
	FailureDomain string
	// CutOff reports whether this router is cut off from a service.
	CutOff func(service string) bool
	// CheckCutOff reports the same after a check, if there is reason for one.
	CheckCutOff func(ctx context.Context, service string) bool
	// Routers returns the other routers that are not known to be cut off from a service, and how
	// many routers of this failure domain, this one included, are cut off from it.
	Routers func(service string) (reaching []Router, cutOffInDomain int)
	// Open opens a stream to a router.
	Open func(ctx context.Context, r Router) (Conn, error)
	// Version returns the version of the configuration in force, or 0 if there are no versions.
	Version func() int64
	// Check returns an error if, by this router's configuration, a request that another router
	// passed on must not run. version is the other router's. Nil allows all.
	Check func(req *generation.Request, version int64) error
	// Priority returns the level of a request among those of its service by this router's configuration, and false if that doesn't have the route. The
	// message has only the configured number, in which a missing priority is 0, the most urgent one.
	Priority func(service, route, account string) (int, bool)
	// OneSoftware reports whether all backend servers of a service run one software version. Nil
	// means that they do.
	OneSoftware func(service string) bool
	// Answers bounds the memory of the answers that are sent to other routers; nil means no bound.
	Answers *bounded.Pool
	// TakenBytes bounds the memory of the requests of other routers that run here; 0 means 16 MB.
	TakenBytes int64
	Log        *event.Log
	Set        *metrics.Set
}

// Forwarder passes requests on and runs those of other routers. It implements
// generation.Forwarder.
type Forwarder struct {
	cfg     Config
	chooser *chooser
	meters  meters
	// takenBytes limits the memory of the requests of other routers.
	takenBytes byteBudget
	serving    atomic.Int64 // requests of other routers that have not ended
}

type meters struct {
	passedOn, notTaken, takenOver, rejected *metrics.Counter
}

// New returns a Forwarder.
func New(cfg Config) *Forwarder {
	if cfg.Set == nil {
		cfg.Set = metrics.NewSet()
	}
	if cfg.Version == nil {
		cfg.Version = func() int64 { return 0 }
	}
	if cfg.OneSoftware == nil {
		cfg.OneSoftware = func(string) bool { return true }
	}
	if cfg.Check == nil {
		cfg.Check = func(*generation.Request, int64) error { return nil }
	}
	return &Forwarder{
		cfg: cfg, chooser: newChooser(cfg.FailureDomain), takenBytes: byteBudget{most: cmp.Or(cfg.TakenBytes, maxTakenBytes)},
		meters: meters{
			passedOn:  cfg.Set.NewCounter("wigeon_requests_passed_on_total"),
			notTaken:  cfg.Set.NewCounter("wigeon_requests_not_taken_total"),
			takenOver: cfg.Set.NewCounter("wigeon_requests_taken_over_total"),
			rejected:  cfg.Set.NewCounter("wigeon_requests_taken_rejected_total"),
		},
	}
}

// CutOff implements generation.Forwarder.
func (f *Forwarder) CutOff(service string) bool { return f.cfg.CutOff(service) }

// CheckCutOff implements generation.Forwarder.
func (f *Forwarder) CheckCutOff(ctx context.Context, service string) bool {
	return f.cfg.CheckCutOff(ctx, service)
}

// Open returns the number of requests that are passed on and not ended, by router.
func (f *Forwarder) Open() map[string]int { return f.chooser.counts() }

// Forward implements generation.Forwarder. It asks one router after the other as long as it is
// certain that the request has not run.
func (f *Forwarder) Forward(ctx context.Context, h generation.Handover) (generation.ForwardedStream, error) {
	service := serviceOf(&h.Request)
	tried := map[string]bool{}
	var last error = Error.New("no other router reaches the backend servers")
	for range maxRouters {
		reaching, cutOff := f.cfg.Routers(service)
		r, release, ok := f.chooser.choose(service, reaching, cutOff, tried, time.Now())
		if !ok {
			break
		}
		tried[r.ID] = true
		s, err := f.tryRouter(ctx, r, h)
		if err == nil {
			f.meters.passedOn.Inc()
			s.release = release
			return s, nil
		}
		release()
		last = err
		f.meters.notTaken.Inc()
		f.cfg.Log.Emit(event.RequestNotTaken, "request", h.Request.ID, "service", service, "to", r.ID, "err", err)
		if !f.passOver(r, service, err) {
			return nil, err
		}
	}
	return nil, &generation.Unavailable{Code: generation.CodeCutOff, RetryAfter: refusedRetryAfter, Err: last}
}

// passOver reports whether the next router may be asked after an error of a router, which is then
// avoided for some time.
func (f *Forwarder) passOver(r Router, service string, err error) bool {
	now := time.Now()
	if errors.Is(err, backend.ErrNotSent) {
		f.chooser.avoid(r.ID, "", now.Add(unreachableFor), now)
		return true
	}
	end, ok := errors.AsType[*generation.RemoteEnd](err)
	if !ok || end.Outcome != fleet.NotRun {
		return false
	}
	switch end.Code {
	case generation.CodeCutOff, generation.CodeNoReplica, generation.CodeStopping, codeBusy, codeOutdated:
		f.chooser.avoid(r.ID, service, now.Add(notTakenFor), now)
		return true
	}
	return false
}

// tryRouter passes a request on to one router and waits until the answer begins. The error wraps
// backend.ErrNotSent if the router received nothing, and is a *generation.RemoteEnd if the request
// ended there without an answer.
func (f *Forwarder) tryRouter(ctx context.Context, r Router, h generation.Handover) (*stream, error) {
	conn, err := f.cfg.Open(ctx, r)
	if err != nil {
		return nil, Error.New("%w: %w", backend.ErrNotSent, err)
	}
	s := &stream{conn: conn, ctx: ctx, router: r.ID}
	if err := f.send(ctx, conn, h); err != nil {
		s.Close()
		return nil, Error.New("%w: %w", backend.ErrBroken, err)
	}
	m, err := s.receive()
	if err == nil && m.Kind == answerEnd && m.Outcome != fleet.Complete {
		err = m.end()
	}
	if err != nil {
		s.Close()
		return nil, err
	}
	s.first = m
	s.begin(m)
	return s, nil
}

func (f *Forwarder) send(ctx context.Context, conn Conn, h generation.Handover) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	start, body := encode(h, f.cfg.Version(), f.cfg.OneSoftware(serviceOf(&h.Request)))
	if err := conn.Send(ctx, start); err != nil {
		return err
	}
	if len(body) == 0 {
		return nil
	}
	return conn.SendBytes(ctx, body)
}

func serviceOf(req *generation.Request) string {
	if req.Opaque == nil {
		return ""
	}
	return req.Opaque.Service
}
