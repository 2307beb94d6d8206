package daemon

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/admission"
	"wigeondale/backpressure"
	"wigeondale/callerapi"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/placement"
	"wigeondale/routing"
)

const (
	// prefixBlocks is the number of leading blocks of a prompt that routing considers.
	prefixBlocks = 64
	// replicaRetryAfter is the Retry-After of responses that refuse a request when a
	// replica is expected back soon.
	replicaRetryAfter = time.Second
)

// picker chooses engines for package generation.
type picker struct {
	dir    *directory.Directory
	mon    *health.Monitor
	router *routing.Router
	domain string
	// pressure holds what backend servers ask of the routers.
	pressure *backpressure.Tracker
}

// Lookup finds an engine in the directory, whether or not the engine is leaving.
func (p *picker) Lookup(id string) (fleet.Backend, bool) { return p.dir.Backend(id) }

// Pick chooses an engine. At the moment of dispatch it checks again that the engine is
// not leaving and not reserved for another request's probe.
func (p *picker) Pick(_ context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	req := routing.PickRequest{
		Ref:           a.Ref,
		Priority:      a.Priority,
		Blocks:        fleet.PrefixBlocks(a.Prompt, prefixBlocks),
		Exclude:       a.Exclude,
		FailureDomain: p.domain,
		PromptBytes:   len(a.Prompt),
		Resume:        a.Resume,
		Request:       xxhash.Sum64String(a.RequestID),
		FleetKnown:    p.dir.FleetKnown(),
		Usable:        p.mon.Usable,
	}
	return p.pick(ofSoftware(p.dir.Snapshot(a.Ref), a.Binding), req)
}

// ofSoftware returns the engines at which an answer may go on that has begun at a software version:
// those that state this version. An answer that began at an engine that states none, or whose
// client's position states none, goes on only where no engine states one.
func ofSoftware(all []routing.Candidate, b *generation.Binding) []routing.Candidate {
	if b == nil {
		return all
	}
	differs := func(c routing.Candidate) bool { return c.Software != b.Version }
	switch {
	case b.Unknown, b.Version == "" && slices.ContainsFunc(all, differs):
		return nil
	case !slices.ContainsFunc(all, differs):
		return all
	}
	return slices.DeleteFunc(slices.Clone(all), differs)
}

// service chooses a replica of a service that is not a model engine.
func (p *picker) service(name string, exclude map[string]bool) (fleet.Backend, generation.LoadShare, error) {
	req := routing.PickRequest{
		Priority:      fleet.Interactive,
		Exclude:       exclude,
		FailureDomain: p.domain,
		FleetKnown:    true,
		Usable:        p.mon.Usable,
	}
	return p.pick(p.dir.Service(name), req)
}

func (p *picker) pick(candidates []routing.Candidate, req routing.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	c := placement.Chooser{Dir: p.dir, Mon: p.mon, Pressure: p.pressure, RetryAfter: replicaRetryAfter}
	return c.Pick(p.router, candidates, req, directory.Load{Requests: 1})
}

// Standby implements generation.Picker. It never finds an engine for a copy, since engines
// that speak the product's own protocol (not the platform's) keep no copies of runs.
func (p *picker) Standby(generation.PickRequest, fleet.Backend) (fleet.Backend, generation.LoadShare, bool) {
	return fleet.Backend{}, nil, false
}

// KeepsCopy implements generation.Picker. It always returns false, for the same reason as
// Standby.
func (p *picker) KeepsCopy(string) bool { return false }

// sharedBudget implements generation.RetryBudget with one retry budget for all requests; it
// ignores the service that its methods are given.
type sharedBudget struct{ *admission.RetryBudget }

// Take implements generation.RetryBudget.
func (b sharedBudget) Take(string) bool { return b.RetryBudget.Take() }

// Continue implements generation.RetryBudget. It is only called for opaque responses, and
// always allows the retry.
func (b sharedBudget) Continue(string) bool { return true }

// Await implements generation.RetryBudget. Routers of this interface lend no budget.
func (b sharedBudget) Await(context.Context, string, bool, time.Duration) bool { return false }

// admitter applies admission control to generations. It also counts first tries, since the
// retry budget allows a share of their number as retries.
type admitter struct {
	ctl   *admission.Controller
	retry *admission.RetryBudget
}

// Admit waits until the request may start within the limits of its client account.
func (a admitter) Admit(ctx context.Context, t generation.Ticket) (func(), error) {
	release, err := a.ctl.Admit(ctx, admission.Ticket{
		Account:  t.Account,
		Pool:     t.Model,
		Priority: t.Priority,
		Cost:     t.Cost,
		Deadline: t.Deadline,
		Resume:   t.Resume,
	})
	if err != nil {
		return nil, toUnavailable(err)
	}
	if !t.Resume {
		a.retry.First()
	}
	return func() { release(t.Cost) }, nil
}

func toUnavailable(err error) error {
	refused, ok := errors.AsType[*admission.Refused](err)
	if !ok {
		return &generation.Unavailable{Err: err}
	}
	return &generation.Unavailable{Code: codeOf[refused.Reason], RetryAfter: refused.RetryAfter, Err: err}
}

// codeOf maps admission's reasons to the codes of the caller API. The reasons themselves
// can't be returned to callers: with a code that is not in the caller API's list, a request
// over the limit of its client account would get the status of an overload.
var codeOf = map[admission.Reason]string{
	admission.ReasonUnknownAccount: callerapi.CodeNotReady, // the account's limits have not reached this router yet
	admission.ReasonRate:           callerapi.CodeRateLimited,
	admission.ReasonConcurrency:    callerapi.CodeAccountLimit,
	admission.ReasonQueueFull:      callerapi.CodeOverloaded,
	admission.ReasonDeadline:       generation.CodeDeadline,
	admission.ReasonCancelled:      generation.CodeCallerDisconnected,
	admission.ReasonNoReplica:      generation.CodeNoReplica,
}

// codeLeaving is the code with which an engine refuses work because it is leaving.
const codeLeaving = "leaving"
