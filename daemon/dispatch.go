package daemon

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeondale/admission"
	"wigeondale/callerapi"
	"wigeondale/directory"
	"wigeondale/fleet"
	"wigeondale/generation"
	"wigeondale/health"
	"wigeondale/placement"
	"wigeondale/routing"
)

const (
	// prefixBlocks is how many leading blocks of a prompt routing looks at.
	prefixBlocks = 64
	// replicaWait is told when a replica is expected back soon.
	replicaWait = time.Second
)

// picker chooses engines for package generation.
type picker struct {
	dir    *directory.Directory
	mon    *health.Monitor
	router *routing.Router
	domain string
}

// Lookup finds a known engine, leaving or not.
func (p *picker) Lookup(id string) (fleet.Backend, bool) { return p.dir.Backend(id) }

// Pick chooses an engine and checks once more, at the moment of dispatch, that
// it is neither leaving nor taken by another probe.
func (p *picker) Pick(_ context.Context, a generation.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	ask := routing.PickRequest{
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
	return p.pick(p.dir.Snapshot(a.Ref), ask)
}

// service chooses a backend server of a plain service.
func (p *picker) service(name string, exclude map[string]bool) (fleet.Backend, generation.LoadShare, error) {
	ask := routing.PickRequest{
		Priority:      fleet.Interactive,
		Exclude:       exclude,
		FailureDomain: p.domain,
		FleetKnown:    true,
		Usable:        p.mon.Usable,
	}
	return p.pick(p.dir.Service(name), ask)
}

func (p *picker) pick(candidates []routing.Candidate, ask routing.PickRequest) (fleet.Backend, generation.LoadShare, error) {
	c := placement.Chooser{Dir: p.dir, Mon: p.mon, RetryAfter: replicaWait}
	return c.Pick(p.router, candidates, ask, directory.Load{Requests: 1})
}

// Standby implements generation.Picker: engines of this protocol keep no copies.
func (p *picker) Standby(generation.PickRequest, fleet.Backend) (fleet.Backend, generation.LoadShare, bool) {
	return fleet.Backend{}, nil, false
}

// KeepsCopy implements generation.Picker.
func (p *picker) KeepsCopy(string) bool { return false }

// sharedBudget is one retry budget for all models.
type sharedBudget struct{ *admission.RetryBudget }

// Take implements generation.RetryBudget.
func (b sharedBudget) Take(string) bool { return b.RetryBudget.Take() }

// Continue implements generation.RetryBudget: only opaque answers ask.
func (b sharedBudget) Continue(string) bool { return true }

// admitter applies admission to generations and counts their first tries, of
// which the budget allows a share of retries.
type admitter struct {
	ctl   *admission.Controller
	retry *admission.RetryBudget
}

// Admit waits for a turn within the limits of the client account.
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
		return nil, refusedBy(err)
	}
	if !t.Resume {
		a.retry.First()
	}
	return func() { release(t.Cost) }, nil
}

func refusedBy(err error) error {
	refused, ok := errors.AsType[*admission.Refused](err)
	if !ok {
		return &generation.Unavailable{Err: err}
	}
	return &generation.Unavailable{Code: codeOf[refused.Reason], RetryAfter: refused.RetryAfter, Err: err}
}

// codeOf gives admission's reasons the codes that callers know. A code that
// they don't know would give a limit of the account the status of an overload.
var codeOf = map[admission.Reason]string{
	admission.ReasonUnknownAccount: callerapi.CodeNotReady, // its limits are not here yet
	admission.ReasonRate:           callerapi.CodeRateLimited,
	admission.ReasonConcurrency:    callerapi.CodeAccountLimit,
	admission.ReasonQueueFull:      callerapi.CodeOverloaded,
	admission.ReasonDeadline:       generation.CodeDeadline,
	admission.ReasonCancelled:      generation.CodeCallerDisconnected,
	admission.ReasonNoReplica:      generation.CodeNoReplica,
}

// codeLeaving is the code by which an engine refuses work because it leaves.
const codeLeaving = "leaving"
