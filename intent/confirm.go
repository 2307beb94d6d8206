package intent

import (
	"context"
	"errors"
	"time"

	"wigeondale/clock"
	"wigeondale/event"
)

// MaxConfirm is the time limit of one call of Confirm, including all its tries.
const MaxConfirm = 15 * time.Second

// settleWait is the delay before Confirm tries again to find out the outcome of an
// append whose response was lost.
const settleWait = 100 * time.Millisecond

// Confirm accepts a plan: it appends the plan's changes to the log as the next revision
// and returns that revision. A plan that is confirmed more than once, at one node or
// several, takes effect once. Errors: *ConflictError (nothing changed; make a new
// plan), ErrUnavailable (this call changed nothing), ErrUnsettled (outcome unknown; the
// same plan may be confirmed again).
func (k *Keeper) Confirm(ctx context.Context, p Plan) (Revision, error) {
	if p.Refused() {
		return Revision{}, &ConflictError{Base: p.Base, Head: k.State().Revision, Conflicts: p.Conflicts}
	}
	ctx, cancel := context.WithTimeout(ctx, MaxConfirm)
	defer cancel()
	outcomeUnknown := false // an append of this call may still take effect
	for {
		r, done, err := k.confirmOnce(ctx, p)
		if done {
			return r, err
		}
		outcomeUnknown = outcomeUnknown || (err != nil && !errors.Is(err, ErrUnavailable))
		if err == nil {
			continue // another plan has this revision: compare with the new state
		}
		if !outcomeUnknown {
			return Revision{}, Error.New("%w (%v)", ErrUnavailable, err)
		}
		clock.Sleep(ctx, settleWait)
		if ctx.Err() != nil {
			k.cfg.Events.Emit(event.ConfirmUnsettled, "plan", p.ID, "error", err)
			return Revision{}, Error.New("%w (%v)", ErrUnsettled, err)
		}
	}
}

// confirmOnce looks for the plan in the log and, if the plan isn't there, tries to create
// it as the entry after the last one. An append whose response was lost is repeated at the
// same position as long as that position is free, so that the delayed append and the new
// one are the same entry. confirmOnce moves on to a higher position only when the entry of
// another plan is at that position, because then the delayed append can't take effect.
func (k *Keeper) confirmOnce(ctx context.Context, p Plan) (r Revision, done bool, err error) {
	startedAt := time.Now()
	if !k.loaded.Load() && !k.syncLog(ctx) {
		return Revision{}, false, ErrUnavailable
	}
	if err := k.catchUp(ctx); err != nil {
		return Revision{}, false, errors.Join(ErrUnavailable, err)
	}
	k.clock.confirm(startedAt, time.Now())
	s := k.State()
	if n, ok := s.Plans[p.ID]; ok {
		return p.Revision(n), true, nil
	}
	if conflicts := s.Conflicts(p); len(conflicts) > 0 {
		// After this refusal, no earlier append of this plan whose response was lost can
		// take effect. That append was tried because the plan had no conflict in the earlier
		// state. The plan has a conflict now only because new revisions were installed. The
		// first of these revisions is at the position of that append, so the position is
		// taken.
		k.cfg.Events.Emit(event.PlanConflict, "plan", p.ID, "head", s.Revision)
		return Revision{}, true, &ConflictError{Base: p.Base, Head: s.Revision, Conflicts: conflicts}
	}
	return k.append(ctx, p, s.Revision+1)
}

func (k *Keeper) append(ctx context.Context, p Plan, n uint64) (Revision, bool, error) {
	r := p.Revision(n)
	data, err := EncodeRevision(r)
	if err != nil {
		return Revision{}, true, err
	}
	call, cancel := context.WithTimeout(ctx, k.cfg.CallTimeout)
	defer cancel()
	won, existing, err := k.cfg.Log.AppendAt(call, n, p.ID, data)
	if errors.Is(err, ErrTruncated) {
		return Revision{}, false, nil // the log continues at a later position; nothing was written
	}
	if err != nil {
		return Revision{}, false, err
	}
	if !won {
		k.installEntry(existing)
		return Revision{}, false, nil
	}
	k.install(r)
	k.cfg.PeerClient.Flood(r)
	k.cfg.Events.Emit(event.PlanAccepted, "plan", p.ID, "revision", n, "operator", p.Operator)
	return r, true, nil
}
