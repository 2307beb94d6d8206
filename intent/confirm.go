package intent

import (
	"context"
	"errors"
	"time"

	"wigeondale/clock"
	"wigeondale/event"
)

// MaxConfirm bounds one call of Confirm.
const MaxConfirm = 15 * time.Second

// settleWait is the pause between two tries to settle an append whose answer
// was lost.
const settleWait = 100 * time.Millisecond

// Confirm accepts a plan: it appends the plan's changes as the next revision of
// the log, and returns that revision. Confirming a plan twice, at one node or
// several, is one change. Errors: *ConflictError (nothing changed; make a new
// plan), ErrUnavailable (this call changed nothing), ErrUnsettled (not known;
// the same plan may be confirmed again).
func (k *Keeper) Confirm(ctx context.Context, p Plan) (Revision, error) {
	if p.Refused() {
		return Revision{}, &ConflictError{Base: p.Base, Head: k.State().Revision, Conflicts: p.Conflicts}
	}
	ctx, cancel := context.WithTimeout(ctx, MaxConfirm)
	defer cancel()
	doubt := false // an append of this call may yet take effect
	for {
		r, done, err := k.confirmOnce(ctx, p)
		if done {
			return r, err
		}
		doubt = doubt || (err != nil && !errors.Is(err, ErrUnavailable))
		if err == nil {
			continue // another plan took the place: compare with the new head
		}
		if !doubt {
			return Revision{}, Error.New("%w (%v)", ErrUnavailable, err)
		}
		clock.Sleep(ctx, settleWait)
		if ctx.Err() != nil {
			k.cfg.Events.Emit(event.ConfirmUnsettled, "plan", p.ID, "error", err)
			return Revision{}, Error.New("%w (%v)", ErrUnsettled, err)
		}
	}
}

// confirmOnce looks for the plan in the log and, if it isn't there, tries to
// create it as the entry after the head. An append whose answer was lost is
// tried again at the same number for as long as that is free: the late one and
// the new one are then the same entry. It goes on to a higher number only when
// an entry of another plan holds the former, so that the late one can't land.
func (k *Keeper) confirmOnce(ctx context.Context, p Plan) (r Revision, done bool, err error) {
	began := time.Now()
	if !k.loaded.Load() && !k.syncLog(ctx) {
		return Revision{}, false, ErrUnavailable
	}
	if err := k.catchUp(ctx); err != nil {
		return Revision{}, false, errors.Join(ErrUnavailable, err)
	}
	k.clock.confirm(began, time.Now())
	s := k.State()
	if n, ok := s.Plans[p.ID]; ok {
		return p.Revision(n), true, nil
	}
	if conflicts := s.Conflicts(p); len(conflicts) > 0 {
		// No lost append of this plan can land after this refusal: without a new
		// revision the same state would have led to the same append as before, and
		// the new revision holds the number that the lost one was for.
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
		return Revision{}, false, nil // the head is further on; nothing was written
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
